#include "preview/verification/miss_causes.hpp"

namespace calicostall {

namespace {

// Whether any key has an event at `until` or before.
bool has_any_event_until(const EventTimes& times, Micros until) {
    return std::any_of(times.begin(), times.end(),
                       [&](const auto& each) { return has_event_until(times, each.first, until); });
}

}  // namespace

MissCauses::MissCauses(const SavedPreview& preview, const RunLogIndex& log, Micros tolerance)
    : preview_(preview), log_(log), tolerance_(tolerance) {
    add_estimate_errors();
    add_misplaced_starts();
}

void MissCauses::add_estimate_errors() {
    for (const auto& [task, run] : preview_.running)
        if (run.ends_after >= 0) check_duration(task, {run.worker, 0}, run.ends_after);
    for (const auto& [task, predicted] : preview_.tasks) {
        const RunLogIndex::RunStart* start = log_.find_start(task);
        if (predicted.ends_after >= 0 && start)
            check_duration(task, *start, predicted.ends_after - predicted.starts_after);
    }
}

void MissCauses::check_duration(const std::string& task, const RunLogIndex::RunStart& start, Micros predicted) {
    const RunLogIndex::RunEnd* end = log_.find_end(task);
    const Micros took = (end ? end->at : log_.covered_until()) - start.at;
    const bool is_not_longer = took <= predicted + tolerance_;
    const bool is_as_predicted =
        end && end->outcome == "done" ? std::abs(took - predicted) <= tolerance_ : end || is_not_longer;
    if (is_as_predicted) return;
    const Micros at = start.at + std::min(took, predicted);
    estimate_errors_by_worker_[start.worker].push_back(at);
    estimate_errors_by_occurrence_[occurrence_of(task)].push_back({at, task});
}

void MissCauses::add_misplaced_starts() {
    for (const auto& [task, predicted] : preview_.tasks) {
        const RunLogIndex::RunStart* start = log_.find_start(task);
        if (predicted.outcome == PlacementOutcome::placed && start && start->worker != predicted.worker)
            misplaced_starts_[start->worker].push_back(start->at);
    }
}

std::string MissCauses::find(const MissContext& miss) const {
    if (auto cause = cluster_cause(miss)) return *cause;
    if (auto cause = worker_cause(miss)) return *cause;
    if (auto cause = remote_cause(miss)) return *cause;
    return "unexplained";
}

std::optional<std::string> MissCauses::cluster_cause(const MissContext& miss) const {
    const RunLogIndex::RunEnd* job_end = log_.find_job_end(job_of(miss.task));
    if (job_end && job_end->outcome != "done" && job_end->at <= miss.until) return "job " + job_end->outcome;
    if (preview_.unheard_workers > 0) return "workers not heard of";
    const std::optional<Micros> leader_changed_at = log_.leader_changed_at();
    if (leader_changed_at && *leader_changed_at <= miss.until) return "record changed hands";
    return std::nullopt;
}

std::optional<std::string> MissCauses::worker_cause(const MissContext& miss) const {
    if (has_lost_worker(miss)) return "worker lost";
    if (has_new_arrival(miss)) return "new arrival";
    if (has_event_until(log_.failures_by_job(), job_of(miss.task), miss.until)) return "a run failed";
    if (has_sibling_estimate_error(miss)) return "estimate off";
    for (const std::string& worker : miss.workers) {
        if (has_event_until(log_.failures_by_worker(), worker, miss.until)) return "a run failed";
        if (has_event_until(estimate_errors_by_worker_, worker, miss.until)) return "estimate off";
    }
    for (const std::string& worker : miss.workers)
        if (has_event_until(misplaced_starts_, worker, miss.until)) return "follows another miss";
    return std::nullopt;
}

std::optional<std::string> MissCauses::remote_cause(const MissContext& miss) const {
    const auto& lost_workers = log_.lost_workers();
    if (!lost_workers.empty() && lost_workers.begin()->second <= miss.until) return "another worker lost";
    if (!miss.is_early && has_any_event_until(log_.unpredicted_starts(), miss.until)) return "new arrival elsewhere";
    if (has_any_event_until(estimate_errors_by_worker_, miss.until)) return "estimate off elsewhere";
    return std::nullopt;
}

bool MissCauses::has_lost_worker(const MissContext& miss) const {
    return std::any_of(miss.workers.begin(), miss.workers.end(), [&](const std::string& worker) {
        auto lost = log_.lost_workers().find(worker);
        return lost != log_.lost_workers().end() && lost->second <= miss.until;
    });
}

bool MissCauses::has_new_arrival(const MissContext& miss) const {
    // A new arrival takes resources; it makes no task start earlier.
    if (miss.is_early) return false;
    return std::any_of(miss.workers.begin(), miss.workers.end(), [&](const std::string& worker) {
        return has_event_until(log_.unpredicted_starts(), worker, miss.until);
    });
}

bool MissCauses::has_sibling_estimate_error(const MissContext& miss) const {
    auto found = estimate_errors_by_occurrence_.find(occurrence_of(miss.task));
    if (found == estimate_errors_by_occurrence_.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](const TaskTime& error) { return error.at <= miss.until && error.task != miss.task; });
}

}  // namespace calicostall
