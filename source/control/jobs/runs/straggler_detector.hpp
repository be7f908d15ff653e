// Compares runs with their siblings: finds slow and stalling workers, and runs that are to be moved or duplicated.
#pragma once
#include "control/jobs/state/scheduler_state.hpp"

namespace calicostall {

// What is to be done about a run. evacuate: it cannot end before its worker terminates.
enum class StragglerAction { none, evacuate, duplicate, migrate };

// Owns the fleet's mean ratio of measured to expected durations; all else is in the state. Times are microseconds of
// the monotonic clock.
class StragglerDetector {
public:
    explicit StragglerDetector(SchedulerState& state) : state_(state) {}

    // A run is done: records how long its step takes, and how its worker compares with its siblings' workers.
    void on_run_done(WorkerRecord& worker, const RunRecord& run, JobRecord& record, Micros now);
    // A status report has shown a run that goes on.
    void on_run_reported(WorkerRecord& worker, RunRecord& run, const ActiveRun& active, Micros now);
    // When the run is to be evaluated again.
    Micros next_check_at(const RunRecord& run, Micros now) const;
    // Runs that stand still, crawl, or cannot end before their worker terminates are moved or duplicated. A run that
    // stalls also counts against its worker.
    StragglerAction evaluate(WorkerRecord& worker, RunRecord& run, Micros now);

private:
    // How a run stands against what is expected of its step; all durations.
    struct Progress {
        Micros expected = 0, elapsed = 0, remaining = 0;
    };

    Micros expected_duration(const RunRecord& run, const JobRecord& record) const;
    Progress progress_of(const RunRecord& run, const JobRecord& record, Micros now) const;
    bool is_stalled(const RunRecord& run, const Progress& progress, Micros now) const;
    bool is_crawling(const WorkerRecord& worker, const RunRecord& run, const JobRecord& record,
                     const Progress& progress) const;
    void check_progress(WorkerRecord& worker, RunRecord& run, Micros now);
    double relative_to_fleet(double ratio);

    SchedulerState& state_;
    double fleet_log_ratio_ = 0;  // running mean of the logarithms of all ratios
};

}  // namespace calicostall
