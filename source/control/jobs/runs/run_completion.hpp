// The end of runs, and what follows from it for their task, their job, their siblings and their worker.
#pragma once
#include "control/jobs/runs/order_queue.hpp"

namespace calicostall {

// Changes the shared state; has none of its own. `wall_clock` is the time of day, `now` the monotonic clock, both in
// microseconds.
class RunCompletion {
public:
    RunCompletion(SchedulerState& state, StragglerDetector& straggler_detector, OrderQueue& orders)
        : state_(state), straggler_detector_(straggler_detector), orders_(orders) {}

    // The one place where a run leaves a worker.
    // @return the job that it changed; nullptr when the run was none of an open job's
    JobRecord* end_run(WorkerRecord& worker, const RunId& run_id, RunOutcome outcome, const std::string& checkpoint,
                       Micros wall_clock, Micros now);
    // Everything that ran on this incarnation is over.
    void end_all_runs(WorkerRecord& worker, RunOutcome outcome, Micros wall_clock, Micros now);
    // The end with this number, by the worker's count, is in the record; what the worker is told follows.
    void on_end_committed(const std::string& worker_id, std::uint64_t number);
    // The job has changed: it is proposed, and closed where it has ended.
    void on_job_changed(JobRecord& record);

private:
    void record_reliability(const WorkerRecord& worker, JobRecord& record, const RunId& run_id, RunOutcome outcome,
                            Micros now);
    void notify_run_ended(const WorkerRecord& worker, const JobRecord& record, const RunId& run_id,
                          RunOutcome outcome) const;
    void stop_siblings(JobRecord& record, const RunId& run_id);
    void stop_runs_of(JobRecord& record);

    SchedulerState& state_;
    StragglerDetector& straggler_detector_;
    OrderQueue& orders_;
};

}  // namespace calicostall
