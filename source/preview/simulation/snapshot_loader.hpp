// Loads a snapshot and a proposed change: fills the state of a simulation with what the leader knew at that moment, and
// schedules the events that are known already.
#pragma once
#include "preview/simulation/forecast_recorder.hpp"
#include "preview/simulation/projected_runs.hpp"
#include "preview/simulation/projected_workers.hpp"
#include "preview/simulation/state.hpp"

namespace calicostall {

// Example: SnapshotLoader(state, recorder, runs, workers).load();
class SnapshotLoader {
public:
    SnapshotLoader(SimulationState& state, ForecastRecorder& recorder, ProjectedRuns& runs, ProjectedWorkers& workers)
        : state_(state), recorder_(recorder), runs_(runs), workers_(workers) {}

    void load();

private:
    struct RecordedGang {
        std::uint32_t job = 0;
        std::uint64_t occurrence = 0;
        std::uint32_t step = 0, run = 0;
        auto operator<=>(const RecordedGang&) const = default;
    };

    void load_config();
    void load_jobs();
    void load_job(std::uint32_t index);
    void load_workers();
    void schedule_shutdown(size_t worker);
    void load_run(size_t worker, const SnapshotRun& recorded);
    // Sets what only a run of a known job has: its gang, its end, whether it is a copy.
    void set_job_details(ProjectedRun& run, const SnapshotRun& recorded);
    Micros end_of(const ProjectedRun& run, const SnapshotRun& recorded) const;
    void record_duplicates();
    void schedule_changes();
    // The gang ID of a run: runs of one step with the same run number belong to one gang.
    std::uint64_t gang_of(const TaskKey& key, std::uint32_t run);

    SimulationState& state_;
    ForecastRecorder& recorder_;
    ProjectedRuns& runs_;
    ProjectedWorkers& workers_;
    std::map<RecordedGang, std::uint64_t> gangs_;
};

// Schedules the next occurrence of a repeating job, if there is one.
void schedule_next_occurrence(SimulationState& state, std::uint32_t job_index);

}  // namespace calicostall
