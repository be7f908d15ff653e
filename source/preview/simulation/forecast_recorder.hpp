// Writes the forecast: what becomes of the tasks, runs and copies of a simulation.
#pragma once
#include "preview/simulation/state.hpp"

namespace calicostall {

// Example: recorder.record_all_pending(); ... recorder.record_placement(run); ... recorder.finish();
class ForecastRecorder {
public:
    explicit ForecastRecorder(SimulationState& state) : state_(state) {}

    // Pending tasks: those of all jobs, of one occurrence of a job, or one. `wait_reason` says why they don't start at
    // once; if it is empty, the reason follows later.
    void record_all_pending();
    void record_pending_occurrence(std::uint32_t job, std::uint64_t number, const std::string& wait_reason);
    void record_pending_task(const TaskKey& key, std::string wait_reason);
    // Why a task is pending, as the first plan states it.
    void record_wait_reason(const TaskKey& key, UnplacedReason reason);

    // Runs: one of the snapshot, one that starts, one whose expected end changed, one that is preempted.
    void record_running(ProjectedRun& run, bool in_doubt);
    void record_placement(ProjectedRun& run);
    void record_end_change(const ProjectedRun& run);
    void record_preemption(const ProjectedRun& run, Micros checkpointed, const std::string& preempted_by);
    // A task with more than one run, or one that runs again after it was done.
    void record_duplicate(const TaskKey& key, Micros at, bool allowed);

    // Gives a reason to each pending task that has none, and sorts the tasks.
    void finish();

private:
    void record_pending_step(const TaskKey& first, const std::string& wait_reason);

    SimulationState& state_;
};

}  // namespace calicostall
