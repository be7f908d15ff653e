/// The workers as the planner sees them. Pure.
#pragma once
#include "control/plan/view.hpp"

namespace calicostall {

/// The workers of all services with what runs there and what is free. Workers are kept in buckets by the magnitude of
/// their free resources, so that a plan looks only at those which may fit. Owns the workers' descriptions; whoever asks
/// for plans keeps them up to date.
///
/// A worker is named by its index: it stays the same until the worker is removed, and may be used again after.
/// Example: Fleet fleet; std::uint32_t index = fleet.add(worker); fleet.begin_run(index, run);
///          fleet.end_run(index, run.id); fleet.remove(index);
class Fleet {
public:
    /// What the workers of one service have together.
    struct ServiceTotals {
        size_t worker_count = 0;
        Resources capacity;
    };
    /// The members of a gang: the worker's index and the run's number.
    using GangMembers = std::vector<std::pair<std::uint32_t, std::uint64_t>>;

    /// Adds a worker with its runs; its free resources follow from them. Returns its index.
    std::uint32_t add(PlanWorker worker);
    void remove(std::uint32_t worker_index);

    /// Takes in what the worker says of itself anew; its runs stay.
    void update_worker(std::uint32_t worker_index, NameId service, std::vector<NameId> labels, NameId rack,
                       const Resources& capacity);

    /// Takes in how far the worker is to be used; see `PlanWorker` for the values.
    void update_health(std::uint32_t worker_index, bool is_schedulable, double slowdown, double reliability,
                       std::uint32_t max_runs = 0, bool is_paused = false);

    /// Replaces all runs of a worker in one go.
    void replace_runs(std::uint32_t worker_index, std::vector<PlanRun> runs);

    void begin_run(std::uint32_t worker_index, PlanRun run);

    /// Removes a run, if the worker has it.
    void end_run(std::uint32_t worker_index, std::uint64_t id);

    /// The run; null if the worker doesn't have it. Its resources and its gang must not be changed.
    PlanRun* find_run(std::uint32_t worker_index, std::uint64_t id);

    const PlanWorker& at(std::uint32_t worker_index) const { return slots_[worker_index].worker; }

    /// Whether there is a worker at the index.
    bool is_used(std::uint32_t worker_index) const {
        return worker_index < slots_.size() && slots_[worker_index].is_used;
    }

    /// One more than the highest index that was ever used.
    size_t index_count() const { return slots_.size(); }

    /// The members of a gang; null if none of them runs.
    const GangMembers* gang_members(std::uint64_t gang_id) const;

    ServiceTotals service_totals(NameId service) const;

    /// Calls visit(worker_index) for the workers of a service which may have `resources` free, and for others of their
    /// buckets.
    template <class Visit>
    void for_each_candidate(NameId service, const Resources& resources, Visit visit) const {
        auto found = buckets_.find(service);
        if (found == buckets_.end()) return;
        const auto [min_cpu, min_memory] = bucket_of(resources);
        for (const auto& [bucket, members] : found->second) {
            if (bucket.first < min_cpu || bucket.second < min_memory) continue;
            for (std::uint32_t worker_index : members)
                visit(worker_index);
        }
    }

private:
    /// The magnitudes of free processors and of free memory.
    using Bucket = std::pair<int, int>;

    struct Slot {
        PlanWorker worker;
        bool is_used = false;
        Bucket bucket;
        size_t bucket_position = 0;  // among the members of the bucket
    };

    static int magnitude(std::int64_t amount) { return amount <= 0 ? 0 : 64 - __builtin_clzll(std::uint64_t(amount)); }
    static Bucket bucket_of(const Resources& free) { return {magnitude(free.cpu), magnitude(free.memory)}; }

    std::uint32_t take_free_index();
    void add_to_service(const PlanWorker& worker);
    void remove_from_service(const PlanWorker& worker);
    void add_to_gang(std::uint32_t worker_index, const PlanRun& run);
    void remove_from_gang(std::uint32_t worker_index, const PlanRun& run);
    void add_to_bucket(std::uint32_t worker_index);
    void remove_from_bucket(std::uint32_t worker_index);

    std::vector<Slot> slots_;  // by index
    std::vector<std::uint32_t> free_indexes_;
    std::unordered_map<NameId, std::map<Bucket, std::vector<std::uint32_t>>> buckets_;  // by service
    std::unordered_map<NameId, ServiceTotals> services_;
    std::unordered_map<std::uint64_t, GangMembers> gangs_;
};

}  // namespace calicostall
