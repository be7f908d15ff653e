#include "control/jobs/history/history_recorder.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

double HistoryRecorder::accelerator_count(const Step& step) {
    return double(step.gpu) + double(step.cpu) / 1000 / cores_per_accelerator;
}

void HistoryRecorder::record_arrival(const JobRecord& record, std::uint32_t step, Micros expected) {
    QueueSpan& span = spans_[record.queue_name()];
    span.priority = record.job.definition.priority;
    const Step& step_spec = record.job.definition.spec.steps[step];
    if (step_spec.long_running) return;
    span.arrived += accelerator_count(step_spec) * step_spec.count * double(expected) / 1e6;
}

void HistoryRecorder::record_use(const JobRecord& record, const RunRecord& run, Micros now) {
    if (!is_enabled() || run.ordered_at == 0) return;
    const Step& step = record.job.definition.spec.steps[run.id.step];
    spans_[record.queue_name()].used += accelerator_count(step) * double(now - run.ordered_at) / 1e6;
}

void HistoryRecorder::record_pending(const std::string& queue, std::int64_t priority, std::int64_t tasks,
                                     Micros elapsed) {
    QueueSpan& span = spans_[queue];
    span.priority = priority;
    span.waited += double(tasks) * double(elapsed) / 1e6;
}

void HistoryRecorder::write_finished_spans(Micros wall_clock, const Config& config,
                                           const std::function<double()>& total_accelerators) {
    if (!is_enabled()) return;
    const std::int64_t span = wall_clock / span_length_;
    if (span == current_span_) return;
    const double fleet = total_accelerators();
    for (auto& [queue, each] : spans_) {
        each.span = current_span_;
        each.length = span_length_;
        each.queue = queue;
        each.fleet = fleet;
        each.is_complete = is_span_complete_;
        if (current_span_ != 0) log_line("history", "{}", each.to_line());
    }
    is_span_complete_ = current_span_ != 0;
    current_span_ = span;
    spans_.clear();
    for (const Queue& queue : config.queues)
        spans_[queue.host + "|" + queue.path_prefix].priority = queue.priority;
}

void HistoryRecorder::clear() {
    spans_.clear();
    current_span_ = 0;
    is_span_complete_ = false;
}

}  // namespace calicostall
