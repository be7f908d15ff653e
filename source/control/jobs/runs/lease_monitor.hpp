// The leases of the workers: each worker is checked when its lease may have expired or it was not heard of for long.
#pragma once
#include "control/jobs/runs/worker_registry.hpp"

namespace calicostall {

// Owns when each worker is checked next; the leases' ends stand with the workers. `now` is the monotonic clock,
// `wall_clock` the time of day, both in microseconds.
class LeaseMonitor {
public:
    LeaseMonitor(SchedulerState& state, RunCompletion& completion, WorkerRegistry& registry)
        : state_(state), completion_(completion), registry_(registry) {}

    // Checks the worker at this time instead of any other.
    void schedule_check(WorkerRecord& worker, const std::string& worker_id, Micros at);
    // Expires leases, queries workers that were not heard of for long, and forgets those that are over.
    void run_due_checks(Micros now, Micros wall_clock);
    void clear() { checks_due_.clear(); }

private:
    Micros next_check_at(const WorkerRecord& worker) const;
    bool is_forgettable(const WorkerRecord& worker, const std::string& worker_id, Micros now) const;
    void expire_lease(WorkerRecord& worker, Micros now, Micros wall_clock);
    void mark_unreconciled(WorkerRecord& worker);

    SchedulerState& state_;
    RunCompletion& completion_;
    WorkerRegistry& registry_;
    std::multimap<Micros, std::string> checks_due_;  // -> worker id
};

}  // namespace calicostall
