/// The resources that the queues of each priority level use and used recently: headroom for the urgent ones. Pure.
#pragma once
#include "control/plan/settings.hpp"
#include "control/plan/view.hpp"

namespace calicostall {

/// Counts what the levels of each service use. Long work of a less urgent level leaves free what more urgent ones used
/// recently; the peak decays over `PlannerSettings::urgent_memory`. Owns these counts.
/// Example: demand.add(service, level, run.resources); demand.advance(now); demand.remove(service, level,
/// run.resources);
class UrgentDemand {
public:
    /// What is kept free: thousandths of a core, MB.
    struct Headroom {
        double cpu = 0, memory = 0;
    };

    explicit UrgentDemand(const PlannerSettings& settings) : settings_(settings) {}

    void add(NameId service, std::int64_t level, const Resources& resources);
    void remove(NameId service, std::int64_t level, const Resources& resources);
    void clear() { usage_.clear(); }

    /// Lets the peaks decay up to `now`, in microseconds of the plan's clock; to be called before each plan.
    void advance(Micros now);

    /// Calls visit(service, level, cpu, memory) for the decayed peak of each level, as `restore` takes it back.
    template <class Visit>
    void each(Visit visit) const {
        for (const auto& [service, levels] : usage_)
            for (const auto& [level, usage] : levels)
                visit(service, level, usage.decayed_cpu, usage.decayed_memory);
    }
    void restore(NameId service, std::int64_t level, double cpu, double memory);

    /// What work of a level leaves free for more urgent ones, beyond what they use now.
    /// @param length  how long the work takes, in microseconds: short work leaves less
    /// @param capacity  all resources of the service
    Headroom headroom_for_urgent(NameId service, std::int64_t level, Micros length, const Resources& capacity) const;

    /// What a level uses on a service now.
    Resources in_use(NameId service, std::int64_t level) const;

    /// What all levels use on a service now.
    Resources in_use(NameId service) const;

private:
    struct LevelUsage {
        Resources current;
        Resources peak;  // since the last `advance`
        double decayed_cpu = 0, decayed_memory = 0;
    };

    PlannerSettings settings_;
    std::unordered_map<NameId, std::map<std::int64_t, LevelUsage>> usage_;  // by service and level
    Micros advanced_at_ = 0;                                                // 0: never
};

}  // namespace calicostall
