// Writes what each queue asked for and got, span by span, to the log, from where `forecast` reads it.
#pragma once
#include "control/jobs/state/job_entry.hpp"
#include "forecast/history.hpp"
#include "shared/record/log.hpp"
#include "shared/settings/config.hpp"

namespace calicostall {

class HistoryRecorder {
public:
    explicit HistoryRecorder(Micros span) : length_(span) {}
    bool on() const { return length_ != 0; }
    static double accelerators(const Step& step) {
        return double(step.gpu) + double(step.cpu) / 1000 / cores_per_accelerator;
    }
    void note_arrival(const JobEntry& entry, std::uint32_t step, Micros expected) {
        QueueSpan& span = spans_[entry.queue()];
        span.priority = entry.job.fixed.priority;
        const Step& wanted = entry.job.fixed.spec.steps[step];
        if (!wanted.long_running) span.arrived += accelerators(wanted) * wanted.count * double(expected) / 1e6;
    }
    void note_use(const JobEntry& entry, const RunEntry& run, Micros now) {
        if (!on() || run.ordered_at == 0) return;
        spans_[entry.queue()].used +=
            accelerators(entry.job.fixed.spec.steps[run.name.step]) * double(now - run.ordered_at) / 1e6;
    }
    void note_waiting(const std::string& queue, std::int64_t priority, std::int64_t tasks, Micros passed) {
        QueueSpan& span = spans_[queue];
        span.priority = priority;
        span.waited += double(tasks) * double(passed) / 1e6;
    }
    // Writes the spans that are over.
    template <class Fleet>
    void tell(Micros wall, const Config& config, Fleet fleet) {
        if (!on()) return;
        std::int64_t span = wall / length_;
        if (span == now_) return;
        double accelerators_in_all = fleet();
        for (auto& [queue, each] : spans_) {
            each.span = now_;
            each.length = length_;
            each.queue = queue;
            each.fleet = accelerators_in_all;
            each.whole = whole_;
            if (now_ != 0) log_line("history", "{}", each.line());
        }
        whole_ = now_ != 0;
        now_ = span;
        spans_.clear();
        for (const Queue& queue : config.queues)
            spans_[queue.host + "|" + queue.prefix].priority = queue.priority;
    }
    void clear() {
        spans_.clear();
        now_ = 0;
        whole_ = false;
    }

private:
    Micros length_;
    std::map<std::string, QueueSpan> spans_;
    std::int64_t now_ = 0;
    bool whole_ = false;
};

}  // namespace calicostall
