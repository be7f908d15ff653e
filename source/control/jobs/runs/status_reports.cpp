#include "control/jobs/runs/status_reports.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

constexpr Micros rejection_pause = milliseconds(500);  // so long a worker that rejected a start gets no other
constexpr double rejection_weight = 0.1;               // in the worker's running share of failures
constexpr std::uint64_t max_missed_reports = 3;        // a run that so many reports in a row don't show is stopped

// Why a worker rejected a start (worker protocol).
constexpr const char* reason_no_capacity = "room";
constexpr const char* reason_outdated = "old";
constexpr const char* reason_draining = "draining";

}  // namespace

void StatusReports::on_order_result(WorkerRecord& worker, const OrderResult& result, Micros now) {
    const auto run_id = RunId::parse(result.task, result.run);
    if (!run_id) return;
    const auto found = worker.runs.find(*run_id);
    if (found == worker.runs.end()) return;
    RunRecord& run = found->second;
    if (result.outcome != OrderOutcome::started) return on_start_rejected(worker, run, result.reason, now);
    if (run.state != RunState::ordered) return;
    run.state = RunState::running;
    run.state_since = now - result.age;
    run.ordered_at = run.state_since;
}

void StatusReports::on_start_rejected(WorkerRecord& worker, RunRecord& run, const std::string& reason, Micros now) {
    const bool lacks_capacity = reason == reason_no_capacity;
    const bool is_expected = reason == reason_outdated || reason == reason_draining;
    counters().add(lacks_capacity ? "starts_without_room" : "starts_turned_away");
    if (!is_expected) worker.starts_suspended_until = now + rejection_pause;
    // A faulty worker rejects starts though it has capacity.
    if (!is_expected && !lacks_capacity) state_.fleet_reliability.record(worker.node, true, rejection_weight, now);
    orders_.request_stop(worker, run);
}

void StatusReports::on_status_report(WorkerRecord& worker, const WorkerStatusReport& report, Micros now,
                                     Micros wall_clock) {
    worker.status_query_due = false;
    worker.is_measurable = !report.follows_gap;
    std::set<RunId> reported;
    for (const ActiveRun& active : report.active) {
        const auto run_id = RunId::parse(active.task, active.run);
        if (!run_id) continue;
        reported.insert(*run_id);
        on_active_run(worker, *run_id, active, now);
    }
    for (const FinishedRun& finished : report.finished) {
        if (finished.sequence <= worker.last_recorded_end) continue;
        const auto run_id = RunId::parse(finished.task, finished.run);
        on_finished_run(worker, finished, run_id, now, wall_clock);
        if (run_id) reported.insert(*run_id);
    }
    if (!lists_all_runs(report)) return counters().add("reports_cut");
    worker.covered_at = now;
    check_unreported_runs(worker, report, reported, now, wall_clock);
    if (!worker.is_reconciled) leases_.schedule_check(worker, worker.info.worker_id, now);
    worker.is_reconciled = true;
}

void StatusReports::on_active_run(WorkerRecord& worker, const RunId& run_id, const ActiveRun& active, Micros now) {
    const auto found = worker.runs.find(run_id);
    if (found == worker.runs.end()) return orders_.stop_unknown_run(worker, run_id, now);
    RunRecord& run = found->second;
    if (run.state == RunState::ordered) {
        run.state = RunState::running;
        run.state_since = now;
    }
    if (run.state == RunState::running || run.state == RunState::stopping)
        straggler_detector_.on_run_reported(worker, run, active, now);
    run.missed_reports = 0;
    if (run.state == RunState::stopping) repeat_stop_if_due(worker, run, now);
}

void StatusReports::on_finished_run(WorkerRecord& worker, const FinishedRun& finished,
                                    const std::optional<RunId>& run_id, Micros now, Micros wall_clock) {
    worker.last_recorded_end = finished.sequence;
    worker.unacknowledged_ends[finished.sequence] = false;
    const auto outcome = parse_run_outcome(finished.outcome);
    const std::string& worker_id = worker.info.worker_id;
    JobRecord* record = nullptr;
    if (run_id && outcome)
        record = completion_.end_run(worker, *run_id, *outcome, finished.checkpoint, wall_clock, now);
    // The worker may forget the end once it is in the record; at once where it changes nothing there.
    if (!record) return completion_.on_end_committed(worker_id, finished.sequence);
    record->on_commit.emplace_back(
        [this, worker_id, sequence = finished.sequence] { completion_.on_end_committed(worker_id, sequence); });
}

void StatusReports::check_unreported_runs(WorkerRecord& worker, const WorkerStatusReport& report,
                                          const std::set<RunId>& reported, Micros now, Micros wall_clock) {
    const std::set<std::string> answered_stops(report.answered_stops.begin(), report.answered_stops.end());
    std::vector<RunId> stopped_runs;
    for (auto& [run_id, run] : worker.runs) {
        if (reported.contains(run_id)) continue;
        if (run.state == RunState::stopping &&
            answered_stops.contains(fmt::format("{} {}", run_id.task_name(), run_id.run)))
            stopped_runs.push_back(run_id);
        else
            on_unreported_run(worker, run, now);
    }
    // A stop that was answered and a later report without the run: it never began, or its end was taken note of.
    for (const RunId& run_id : stopped_runs)
        completion_.end_run(worker, run_id, RunOutcome::stopped, {}, wall_clock, now);
}

// Orders and their answers may be lost: they are given again.
void StatusReports::on_unreported_run(WorkerRecord& worker, RunRecord& run, Micros now) {
    switch (run.state) {
        case RunState::intent_recorded:
            return;
        case RunState::ordered:
            if (!worker.is_reconciled) orders_.queue_start(worker.info.worker_id, run.id, now);
            return;
        case RunState::stopping:
            return repeat_stop_if_due(worker, run, now);
        case RunState::running:
            if (++run.missed_reports < max_missed_reports) return;
            counters().add("runs_missing");
            orders_.request_stop(worker, run);
    }
}

// A run that is to stop and isn't known to have ended: the stop may be lost with the queue of an earlier process of the
// agent or of an earlier leader, or at the agent. A repeated stop is the same stop.
void StatusReports::repeat_stop_if_due(WorkerRecord& worker, RunRecord& run, Micros now) {
    const bool may_be_lost = !worker.is_reconciled;
    const bool is_overdue = run.stop_repeat_at != 0 && now >= run.stop_repeat_at;
    if (may_be_lost || is_overdue) orders_.repeat_stop(worker, run.id);
    if (may_be_lost || is_overdue || run.stop_repeat_at == 0) run.stop_repeat_at = now + state_.settings.stop_grace;
}

}  // namespace calicostall
