// Writes what each queue asked for and got, span by span, to the log, from where `forecast` reads it.
#pragma once
#include "control/jobs/state/job_record.hpp"
#include "forecast/history.hpp"
#include "shared/settings/config.hpp"

namespace calicostall {

// Sums up the present span of each queue; finished spans go to the log. Lengths are microseconds, sums are
// accelerator-seconds (or task-seconds, where tasks wait).
class HistoryRecorder {
public:
    // @param span_length  microseconds; 0: no history is kept
    explicit HistoryRecorder(Micros span_length) : span_length_(span_length) {}
    bool is_enabled() const { return span_length_ != 0; }
    // What one task of the step takes, in accelerators.
    static double accelerator_count(const Step& step);
    // Tasks of a step have come in; `expected` is the expected duration of one.
    void record_arrival(const JobRecord& record, std::uint32_t step, Micros expected);
    // A run has ended.
    void record_use(const JobRecord& record, const RunRecord& run, Micros now);
    // So many tasks of a queue were ready and had no worker for this time.
    void record_pending(const std::string& queue, std::int64_t priority, std::int64_t tasks, Micros elapsed);
    // Writes the spans that are over by the wall clock, and begins the next ones.
    // @param total_accelerators  tells the fleet's accelerators; called only when spans are written
    void write_finished_spans(Micros wall_clock, const Config& config,
                              const std::function<double()>& total_accelerators);
    void clear();

private:
    Micros span_length_;
    std::map<std::string, QueueSpan> spans_;  // by queue
    std::int64_t current_span_ = 0;           // number since 1970; 0: none has begun
    bool is_span_complete_ = false;           // this leader has held the record since the span's beginning
};

}  // namespace calicostall
