#include "preview/verification/verifier.hpp"

namespace calicostall {

PreviewVerifier::PreviewVerifier(const SavedPreview& preview, const std::vector<RunEvent>& events,
                                 const VerificationSettings& settings)
    : preview_(preview),
      settings_(settings),
      log_(preview, events, settings.logs_complete_until),
      causes_(preview, log_, settings.tolerance) {}

VerificationResult PreviewVerifier::verify() {
    result_.is_comparable = log_.covered_until() > 0;
    for (const auto& [queue, priority] : preview_.queues)
        result_.queues[queue].priority = priority;
    if (!result_.is_comparable) return std::move(result_);
    for (const auto& [task, predicted] : preview_.tasks)
        verify_task(task, predicted);
    verify_preemptions();
    return std::move(result_);
}

PreviewVerifier::TaskCheck PreviewVerifier::check_task(const std::string& task,
                                                       const SavedPreview::Task& predicted) const {
    TaskCheck check{predicted};
    check.start = log_.find_start(task);
    if (check.start && check.start->at > log_.covered_until()) check.start = nullptr;
    check.is_placed = predicted.outcome == PlacementOutcome::placed;
    if (!check.start) return check;
    const Micros late_by = check.start->at - predicted.starts_after;
    check.is_early = !check.is_placed || late_by < -settings_.tolerance;
    check.is_on_worker = check.start->worker == predicted.worker;
    check.is_on_time = std::abs(late_by) <= settings_.tolerance;
    return check;
}

void PreviewVerifier::verify_task(const std::string& task, const SavedPreview::Task& predicted) {
    QueueVerification& queue = result_.queues[predicted.queue];
    const TaskCheck check = check_task(task, predicted);
    if (check.is_placed && !check.start && predicted.starts_after + settings_.tolerance > log_.covered_until()) {
        ++queue.not_covered;
        return;
    }
    if (!check.is_placed || predicted.starts_after > 0) queue.waited.add(!check.is_early);
    if (check.is_placed) {
        queue.worker.add(check.is_on_worker);
        queue.start_time.add(check.is_on_time);
        if (predicted.starts_after == 0) queue.worker_at_once.add(check.is_on_worker);
        if (predicted.starts_after < log_.first_disturbance())
            queue.undisturbed.add(check.is_on_worker && check.is_on_time);
    }
    std::string description = describe_miss(check);
    if (!description.empty()) record_miss(predicted.queue, context_of(task, check), std::move(description));
}

std::string PreviewVerifier::describe_miss(const TaskCheck& check) {
    const SavedPreview::Task& predicted = check.predicted;
    if (!check.is_placed) {
        if (!check.is_early) return {};
        return fmt::format("started though said to {}",
                           predicted.outcome == PlacementOutcome::infeasible ? "land nowhere" : "wait");
    }
    if (!check.start) return "did not start";
    const double late_by_s = double(check.start->at - predicted.starts_after) / 1e6;
    if (!check.is_on_worker) return fmt::format("started on {} instead of {}", check.start->worker, predicted.worker);
    if (check.is_early) return fmt::format("started {:.2f} s early", -late_by_s);
    if (!check.is_on_time) return fmt::format("started {:.2f} s late", late_by_s);
    return {};
}

MissContext PreviewVerifier::context_of(const std::string& task, const TaskCheck& check) const {
    MissContext miss;
    miss.task = task;
    if (!check.predicted.worker.empty()) miss.workers.push_back(check.predicted.worker);
    if (check.start) miss.workers.push_back(check.start->worker);
    miss.until = std::max(check.is_placed ? check.predicted.starts_after : Micros(0),
                          check.start ? check.start->at : log_.covered_until());
    miss.is_early = check.is_early;
    return miss;
}

void PreviewVerifier::verify_preemptions() {
    std::set<std::string> predicted;
    for (const SavedPreview::Preemption& preemption : preview_.preemptions) {
        predicted.insert(preemption.task);
        QueueVerification& queue = result_.queues[preemption.queue];
        const Micros latest = preemption.after + settings_.tolerance;
        if (latest > log_.covered_until()) {
            ++queue.not_covered;
            continue;
        }
        const bool is_correct = log_.was_stopped_near(preemption.task, preemption.after, settings_.tolerance);
        queue.preemptions.add(is_correct);
        if (!is_correct)
            record_miss(preemption.queue, {preemption.task, {preemption.worker}, latest}, "was not pushed aside");
    }
    verify_unpredicted_preemptions(predicted);
}

void PreviewVerifier::verify_unpredicted_preemptions(const std::set<std::string>& predicted) {
    for (const auto& [task, run] : preview_.running) {
        const std::optional<Micros> stopped_at = log_.first_stop(task);
        if (!stopped_at || *stopped_at > log_.covered_until()) continue;
        if (predicted.contains(task) || log_.find_job_end(job_of(task))) continue;
        ++result_.queues[run.queue].unpredicted_preemptions;
        record_miss(run.queue, {task, {run.worker}, *stopped_at}, "was stopped though not said");
    }
}

void PreviewVerifier::record_miss(const std::string& queue, const MissContext& miss, std::string description) {
    std::string cause = causes_.find(miss);
    ++result_.queues[queue].causes[cause];
    result_.misses.push_back({miss.task, queue, std::move(description), std::move(cause)});
}

}  // namespace calicostall
