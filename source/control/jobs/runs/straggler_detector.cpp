#include "control/jobs/runs/straggler_detector.hpp"

#include <cmath>

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

constexpr Micros min_check_interval = milliseconds(250);
constexpr Micros min_migration_interval = seconds(2);  // between two moves of runs of one job
constexpr Micros max_report_age = seconds(1);          // an older report shows nothing about a stall
constexpr std::uint64_t min_reports_without_progress = 2;
constexpr Micros lateness_tolerance = milliseconds(200);  // beyond the expected duration
constexpr double slow_ratio = 2;                          // a run that takes so many times as long is slow
// Weights in the worker's running means: a measured ratio, and a stall, which counts as a ratio of 6.
constexpr double ratio_weight = 0.2;
constexpr double stall_ratio = 6;
constexpr double stall_weight = 0.3;
constexpr double stall_reliability_weight = 0.2;
constexpr double fleet_weight = 0.02;

}  // namespace

void StragglerDetector::on_run_done(WorkerRecord& worker, const RunRecord& run, JobRecord& record, Micros now) {
    const Step& step = record.job.definition.spec.steps[run.id.step];
    Micros duration = run.ordered_at > 0 ? now - run.ordered_at : 0;
    if (duration <= 0 || step.long_running || !worker.is_measurable) return;
    if (run.is_remote) duration = Micros(double(duration) / state_.settings.planner.remote_factor);
    // Only siblings of the same step are a measure; an estimate is too rough to speak against a worker.
    if (Durations::is_measured(record, run.id.step)) {
        const double ratio = double(duration) / double(state_.durations.expected(record, run.id.step));
        worker.slowdown.record(relative_to_fleet(ratio), ratio_weight);
    }
    if (worker.slowdown.is_slow()) return;  // the durations of a slow worker say nothing about the job
    state_.durations.record(record, run.id.step, duration);
}

void StragglerDetector::on_run_reported(WorkerRecord& worker, RunRecord& run, const ActiveRun& active, Micros now) {
    if (!active.checkpoint.empty()) run.checkpoint = active.checkpoint;
    ++run.reports_without_progress;
    if (active.progress_percent > run.percent || run.progressed_at == 0) {
        run.progressed_at = now;
        run.reports_without_progress = 0;
    }
    run.percent = active.progress_percent;
    run.reported_at = now;
    run.missed_reports = 0;
    check_progress(worker, run, now);
}

Micros StragglerDetector::next_check_at(const RunRecord& run, Micros now) const {
    const Micros earliest = now + min_check_interval;
    const auto job = state_.jobs.find(run.id.job);
    if (job == state_.jobs.end() || run.ordered_at == 0) return earliest;
    return std::max(earliest, run.ordered_at + expected_duration(run, job->second));
}

StragglerAction StragglerDetector::evaluate(WorkerRecord& worker, RunRecord& run, Micros now) {
    ++state_.operation_count;
    if (run.state != RunState::running || run.is_stop_requested || !worker.is_reconciled || worker.is_unresponsive)
        return StragglerAction::none;
    const auto found = state_.jobs.find(run.id.job);
    if (found == state_.jobs.end() || found->second.job.has_ended()) return StragglerAction::none;
    JobRecord& record = found->second;
    const Step& step = record.job.definition.spec.steps[run.id.step];
    const Progress progress = progress_of(run, record, now);
    if (worker.info.is_draining && worker.shutdown_at >= 0 && !step.gang)
        if (step.long_running || progress.remaining > worker.shutdown_at - now) return StragglerAction::evacuate;
    if (step.long_running || step.gang || run.ordered_at == 0 || run.progressed_at == 0) return StragglerAction::none;
    const bool stalled = is_stalled(run, progress, now);
    if (!stalled && !is_crawling(worker, run, record, progress)) return StragglerAction::none;
    if (step.duplicate_ok) return run.is_duplicated ? StragglerAction::none : StragglerAction::duplicate;
    if (now - record.last_migrated_at < min_migration_interval) return StragglerAction::none;
    record.last_migrated_at = now;
    counters().add(stalled ? "runs_moved_standing" : "runs_moved_crawling");
    // A crawling run is no further proof against its worker: that it is slow was measured already.
    if (stalled) {
        worker.slowdown.record(stall_ratio, stall_weight);
        state_.fleet_reliability.record(worker.node, true, stall_reliability_weight, now);
    }
    return StragglerAction::migrate;
}

Micros StragglerDetector::expected_duration(const RunRecord& run, const JobRecord& record) const {
    const Micros expected = state_.durations.expected(record, run.id.step);
    return run.is_remote ? Micros(double(expected) * state_.settings.planner.remote_factor) : expected;
}

StragglerDetector::Progress StragglerDetector::progress_of(const RunRecord& run, const JobRecord& record,
                                                           Micros now) const {
    const Micros expected = expected_duration(run, record);
    const Micros elapsed = now - run.ordered_at;
    // The percent is as old as the report that showed it.
    const Micros elapsed_at_report = run.reported_at - run.ordered_at;
    const Micros total =
        run.percent > 0 && elapsed_at_report > 0 ? elapsed_at_report * 100 / run.percent : std::max(expected, elapsed);
    return {expected, elapsed, std::max<Micros>(total - elapsed, 0)};
}

// Only reports show whether it moved: without newer ones nothing is known against it.
bool StragglerDetector::is_stalled(const RunRecord& run, const Progress& progress, Micros now) const {
    const Micros stalled_for = run.reported_at - run.progressed_at;
    return run.reports_without_progress >= min_reports_without_progress && now - run.reported_at < max_report_age &&
           stalled_for > std::max(state_.settings.min_stall_time, progress.expected) &&
           progress.elapsed > 2 * progress.expected;
}

// A slow worker's run that would be done sooner elsewhere.
bool StragglerDetector::is_crawling(const WorkerRecord& worker, const RunRecord& run, const JobRecord& record,
                                    const Progress& progress) const {
    return worker.slowdown.is_slow() && run.percent > 0 && Durations::is_measured(record, run.id.step) &&
           progress.elapsed > 2 * progress.expected &&
           progress.remaining > 2 * (progress.expected + state_.settings.stop_grace);
}

// A run that takes far longer than its siblings counts against its worker before it ends.
void StragglerDetector::check_progress(WorkerRecord& worker, RunRecord& run, Micros now) {
    const auto job = state_.jobs.find(run.id.job);
    if (job == state_.jobs.end() || run.state != RunState::running || run.is_counted_slow) return;
    if (job->second.job.definition.spec.steps[run.id.step].long_running) return;
    if (run.ordered_at == 0 || !worker.is_measurable) return;
    const Micros expected = expected_duration(run, job->second);
    const Micros elapsed = now - run.ordered_at;
    if (elapsed < expected + lateness_tolerance) return;
    const double total = run.percent > 0 ? double(elapsed) * 100 / double(run.percent) : double(elapsed) * 2;
    const double ratio = total / double(expected) / std::exp(fleet_log_ratio_);
    if (ratio < slow_ratio) return;
    run.is_counted_slow = true;
    if (Durations::is_measured(job->second, run.id.step)) worker.slowdown.record(ratio, ratio_weight);
}

// The ratio against what the whole fleet shows recently: expectations that are off speak against nobody.
double StragglerDetector::relative_to_fleet(double ratio) {
    const double log_ratio = std::log(std::clamp(ratio, 0.1, 10.0));
    const double relative = ratio / std::exp(fleet_log_ratio_);
    fleet_log_ratio_ += fleet_weight * (log_ratio - fleet_log_ratio_);
    return relative;
}

}  // namespace calicostall
