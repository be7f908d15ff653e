// The room that the queues of each level use and used lately: a standing reservation for the urgent ones.
#pragma once
#include "control/plan/settings.hpp"
#include "control/plan/view.hpp"

namespace calicostall {

// Example: demand.add(service, level, run.room); demand.remove(service, level, run.room); demand.advance(now);
// Long work of a less urgent level leaves what more urgent ones used lately; the peak fades over `urgent_memory`.
class UrgentDemand {
public:
    explicit UrgentDemand(const PlannerSettings& settings) : settings_(settings) {}
    void add(Name service, std::int64_t level, const Resources& room) {
        Use& use = uses_[service][level];
        use.now += room;
        use.peak = most(use.peak, use.now);
    }
    void remove(Name service, std::int64_t level, const Resources& room) { uses_[service][level].now -= room; }
    void clear() { uses_.clear(); }
    void advance(Micros now) {
        double fade = at_ ? std::exp(-double(now - at_) / double(settings_.urgent_memory)) : 1;
        at_ = now;
        for (auto& [service, levels] : uses_)
            for (auto& [level, use] : levels) {
                use.faded_cpu = std::max(double(use.peak.cpu), use.faded_cpu * fade);
                use.faded_memory = std::max(double(use.peak.memory), use.faded_memory * fade);
                use.peak = use.now;
            }
    }
    // What a preview takes over from the daemon: see(service, level, faded cpu, faded memory), and back.
    template <class See>
    void each(See see) const {
        for (const auto& [service, levels] : uses_)
            for (const auto& [level, use] : levels)
                see(service, level, use.faded_cpu, use.faded_memory);
    }
    void restore(Name service, std::int64_t level, double cpu, double memory) {
        Use& use = uses_[service][level];
        use.faded_cpu = cpu, use.faded_memory = memory;
    }
    struct Kept {
        double cpu = 0, memory = 0;
    };
    // What work of this level and length leaves free for more urgent levels, beyond what they use now.
    Kept kept_from(Name service, std::int64_t level, Micros length, const Resources& capacity) const {
        Kept kept;
        auto found = uses_.find(service);
        if (found == uses_.end()) return kept;
        double patience = std::clamp(double(length) / double(std::max<Micros>(settings_.urgent_length, 1)), 0.0, 1.0);
        for (const auto& [other, use] : found->second) {
            if (other >= level) break;
            kept.cpu += patience * std::clamp(use.faded_cpu - double(use.now.cpu), 0.0,
                                              settings_.urgent_most * double(capacity.cpu));
            kept.memory += patience * std::clamp(use.faded_memory - double(use.now.memory), 0.0,
                                                 settings_.urgent_most * double(capacity.memory));
        }
        // Less than a hundredth of the service is not worth keeping.
        if (kept.cpu < 0.01 * double(capacity.cpu)) kept.cpu = 0;
        if (kept.memory < 0.01 * double(capacity.memory)) kept.memory = 0;
        return kept;
    }
    // What a level has in use on a service now.
    Resources in_use(Name service, std::int64_t level) const {
        auto found = uses_.find(service);
        if (found == uses_.end()) return {};
        auto use = found->second.find(level);
        return use == found->second.end() ? Resources{} : use->second.now;
    }
    Resources in_use(Name service) const {
        Resources sum;
        if (auto found = uses_.find(service); found != uses_.end())
            for (const auto& [level, use] : found->second)
                sum += use.now;
        return sum;
    }

private:
    static Resources most(const Resources& left, const Resources& right) {
        return {std::max(left.cpu, right.cpu), std::max(left.memory, right.memory), std::max(left.gpu, right.gpu)};
    }
    struct Use {
        Resources now, peak;
        double faded_cpu = 0, faded_memory = 0;
    };
    PlannerSettings settings_;
    std::unordered_map<Name, std::map<std::int64_t, Use>> uses_;
    Micros at_ = 0;
};

}  // namespace calicostall
