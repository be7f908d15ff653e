// The runs of a simulation: how they begin, end, and are preempted.
#pragma once
#include "preview/simulation/forecast_recorder.hpp"
#include "preview/simulation/pending_items.hpp"
#include "preview/simulation/state.hpp"

namespace calicostall {

// Example: std::uint64_t id = runs.begin(run); ... runs.complete(id);
class ProjectedRuns {
public:
    ProjectedRuns(SimulationState& state, ForecastRecorder& recorder, PendingItems& pending)
        : state_(state), recorder_(recorder), pending_(pending) {}

    // Reserves the run's resources and schedules its end. Returns its ID.
    std::uint64_t begin(ProjectedRun run);
    // Its end becomes unknown: it lasts until its worker is heard of or the lease expires.
    void clear_end(std::uint64_t id);
    void set_end(std::uint64_t id, Micros at, bool stopping);
    // The members of a gang end together, when the slowest does. Does nothing for gang 0.
    void align_gang_end(std::uint64_t gang);

    // Its task is done, with those of its gang; copies are stopped.
    void complete(std::uint64_t id);
    // The run ended without a result: its task is pending again.
    void terminate(std::uint64_t id);

    // Records that a run is preempted. `preempted_by`: see Preemption.
    void mark_preempted(std::uint64_t id, const std::string& preempted_by);
    // The same, and orders it to stop.
    void stop(std::uint64_t id, const std::string& preempted_by);

private:
    PlanRun make_plan_run(std::uint64_t id, const ProjectedRun& run) const;
    void remove(std::uint64_t id);

    SimulationState& state_;
    ForecastRecorder& recorder_;
    PendingItems& pending_;
};

}  // namespace calicostall
