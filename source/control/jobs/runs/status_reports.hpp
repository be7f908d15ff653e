// What workers say about their runs: answers to start orders, and reports of all that runs and has ended there.
#pragma once
#include "control/jobs/runs/lease_monitor.hpp"

namespace calicostall {

// Changes the shared state; has none of its own. `now` is the monotonic clock, `wall_clock` the time of day, both in
// microseconds.
class StatusReports {
public:
    StatusReports(SchedulerState& state, StragglerDetector& straggler_detector, OrderQueue& orders,
                  RunCompletion& completion, LeaseMonitor& leases)
        : state_(state),
          straggler_detector_(straggler_detector),
          orders_(orders),
          completion_(completion),
          leases_(leases) {}

    // The worker's answer to a start order. A start that was rejected may have been carried out at an earlier attempt:
    // only a stop and a later report make sure that it is over.
    void on_order_result(WorkerRecord& worker, const OrderResult& result, Micros now);
    // A report under this leader's fence. One that lists all ends reconciles the worker: from now on starts may be
    // ordered there.
    void on_status_report(WorkerRecord& worker, const WorkerStatusReport& report, Micros now, Micros wall_clock);

private:
    void on_start_rejected(WorkerRecord& worker, RunRecord& run, const std::string& reason, Micros now);
    void on_active_run(WorkerRecord& worker, const RunId& run_id, const ActiveRun& active, Micros now);
    void on_finished_run(WorkerRecord& worker, const FinishedRun& finished, const std::optional<RunId>& run_id,
                         Micros now, Micros wall_clock);
    // Whether the report shows every run that is on the worker or has ended there without having been acknowledged:
    // only then a run that it doesn't show is not there.
    bool lists_all_runs(const WorkerStatusReport& report) const {
        return report.finished.size() < state_.settings.max_listed_ends;
    }
    void check_unreported_runs(WorkerRecord& worker, const WorkerStatusReport& report, const std::set<RunId>& reported,
                               Micros now, Micros wall_clock);
    void on_unreported_run(WorkerRecord& worker, RunRecord& run, Micros now);
    void repeat_stop_if_due(WorkerRecord& worker, RunRecord& run, Micros now);

    SchedulerState& state_;
    StragglerDetector& straggler_detector_;
    OrderQueue& orders_;
    RunCompletion& completion_;
    LeaseMonitor& leases_;
};

}  // namespace calicostall
