// Runs the planner in a simulation and executes its plans.
#pragma once
#include "preview/placement_simulator.hpp"
#include "preview/simulation/forecast_recorder.hpp"
#include "preview/simulation/pending_items.hpp"
#include "preview/simulation/projected_runs.hpp"
#include "preview/simulation/state.hpp"

namespace calicostall {

// What one plan did.
struct PlanEffect {
    bool has_changes = false;    // a run starts or stops
    bool is_unfinished = false;  // the planner left out items: plan again soon
};

// Example: PlanEffect effect = executor.plan();
class PlanExecutor {
public:
    PlanExecutor(SimulationState& state, ForecastRecorder& recorder, PendingItems& pending, ProjectedRuns& runs,
                 const PlannerFunction& planner)
        : state_(state), recorder_(recorder), pending_(pending), runs_(runs), planner_(planner) {}

    // Plans once, if anything is pending.
    PlanEffect plan();
    // The same for the first plan, which also tells why tasks are pending.
    PlanEffect first_plan();

private:
    Plan run_planner();
    PlanEffect execute(const Plan& plan);
    void record_wait_reasons(const std::vector<UnplacedItem>& unplaced);
    void stop_run(const Stop& planned);
    void start_runs(const std::vector<Start>& starts);
    // `gang`: in and out, the gang ID of the item's earlier starts in this plan; 0 before the first.
    void start_run(const PendingItem& item, const Start& planned, size_t worker, std::uint64_t& gang);
    ProjectedRun make_run(const TaskKey& key, const Start& planned, size_t worker) const;

    SimulationState& state_;
    ForecastRecorder& recorder_;
    PendingItems& pending_;
    ProjectedRuns& runs_;
    const PlannerFunction& planner_;
    std::optional<ScanPosition> resume_position_;  // of the last plan, if it was incomplete
};

}  // namespace calicostall
