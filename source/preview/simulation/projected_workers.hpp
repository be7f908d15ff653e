// The workers of a simulation: how they join, accept starts, drain and shut down.
#pragma once
#include "preview/simulation/projected_runs.hpp"
#include "preview/simulation/state.hpp"

namespace calicostall {

// Example: workers.add(snapshot_worker); ... workers.shut_down(worker);
class ProjectedWorkers {
public:
    ProjectedWorkers(SimulationState& state, ProjectedRuns& runs) : state_(state), runs_(runs) {}

    void add(const SnapshotWorker& recorded);
    // Updates the planner's fleet: whether the worker accepts starts now, its slowdown and its reliability.
    void update_fleet(size_t worker);
    void drain(size_t worker);
    // It ends without a report: its runs are in doubt until their lease has surely expired.
    void shut_down(size_t worker);
    // All its runs are over. A worker that has shut down leaves the fleet.
    void expire_lease(size_t worker);
    // Preempts runs that cannot end before their worker shuts down, as the daemons do.
    void preempt_before_shutdown(size_t worker, Micros shutdown_at);

private:
    PlanWorker make_plan_worker(const SnapshotWorker& recorded);

    SimulationState& state_;
    ProjectedRuns& runs_;
};

}  // namespace calicostall
