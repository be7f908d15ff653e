/// The workers and their runs as the planner sees them, kept up to date from the scheduler's state.
#pragma once
#include "control/jobs/planning/planner_clock.hpp"
#include "control/jobs/state/scheduler_state.hpp"
#include "control/plan/fleet.hpp"
#include "control/plan/urgent_demand.hpp"

namespace calicostall {

/// What an index in the fleet stands for. It is renewed with each change of the worker, before it is used.
struct PlannedWorker {
    std::string worker_id;
    WorkerRecord* record = nullptr;                  // null: the index is free
    const WorkerReliability* reliability = nullptr;  // of its machine
};

/// Mirrors the workers of the scheduler's state into the planner's fleet, and what they run into the demand of urgent
/// queues. Owns the fleet, the demand and the indexes of the workers; the records belong to the state.
/// Example: fleet_view.update_worker(worker_id, now); fleet_view.update_health(now); plan with fleet_view.fleet()
class FleetView {
public:
    /// The state, the names and the clock must outlive the view.
    FleetView(SchedulerState& state, NameTable& names, const PlannerClock& clock);

    /// Takes in that a worker was added, has changed or is gone, with all its runs.
    /// @param now  monotonic time in microseconds
    void update_worker(const std::string& worker_id, Micros now);

    /// Takes in how reliable the workers are; to be called before each plan, as it changes with time too.
    void update_health(Micros now);

    /// Fades the demand of urgent queues to `now`; to be called before each plan.
    void advance_demand(Micros now) { demand_.advance(now); }

    void clear();

    /// The worker's index in the fleet; none while it doesn't count for its service.
    std::optional<std::uint32_t> index_of(const std::string& worker_id) const;

    const PlannedWorker& at(std::uint32_t worker_index) const { return workers_[worker_index]; }
    const Fleet& fleet() const { return fleet_; }
    const UrgentDemand& demand() const { return demand_; }

private:
    void remove_worker(const std::string& worker_id);
    void add_worker(const std::string& worker_id, WorkerRecord& worker, PlanWorker described);
    void update_description(const std::string& worker_id, WorkerRecord& worker);
    PlanWorker described(const WorkerRecord& worker) const;
    void replace_runs(const WorkerRecord& worker, Micros now);
    void remove_demand_of_runs(std::uint32_t worker_index);
    PlanRun to_plan_run(const RunRecord& record, Micros now) const;
    Micros describe_job(PlanRun& run, const RunRecord& record, const JobRecord& job) const;

    SchedulerState& state_;
    NameTable& names_;
    const PlannerClock& clock_;
    Fleet fleet_;
    UrgentDemand demand_;
    std::map<std::string, std::uint32_t> indexes_;  // by worker ID
    std::vector<PlannedWorker> workers_;            // by index
};

}  // namespace calicostall
