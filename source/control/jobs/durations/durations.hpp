// How long tasks take, by what was measured. Owns one estimator for each queue; what siblings of a step took is kept
// with the job.
#pragma once
#include "control/jobs/state/job_record.hpp"
#include "control/plan/runtime_estimator.hpp"

namespace calicostall {

// Expected durations of tasks, in microseconds.
class Durations {
public:
    // How long a task of this step takes on a sound worker near its data.
    // Example: Micros expected = durations.expected(record, 0);
    Micros expected(const JobRecord& record, std::uint32_t step) const;
    // How long the longest of `task_count` tasks of this step takes there: tasks of one step are uneven.
    // Example: Micros longest = durations.expected_longest(record, 0, 31);
    Micros expected_longest(const JobRecord& record, std::uint32_t step, std::uint64_t task_count) const;
    // Whether enough siblings of the same step have ended to rely on their mean.
    static bool is_measured(const JobRecord& record, std::uint32_t step);
    // A task of the step has taken `duration`.
    void record(JobRecord& record, std::uint32_t step, Micros duration);

private:
    std::map<std::string, RuntimeEstimator> estimators_;  // by queue
};

}  // namespace calicostall
