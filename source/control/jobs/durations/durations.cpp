#include "control/jobs/durations/durations.hpp"

#include <cmath>

namespace calicostall {

namespace {

constexpr std::uint32_t min_siblings = 2;  // so many ended siblings are a measure of their step

}  // namespace

Micros Durations::expected(const JobRecord& record, std::uint32_t step) const {
    if (is_measured(record, step)) {
        const auto& [sum, count] = record.measured_durations.at(step);
        return sum / count;
    }
    const Micros estimate = record.job.definition.spec.steps[step].estimate;
    const auto estimator = estimators_.find(record.queue_name());
    if (estimator == estimators_.end()) return RuntimeEstimator{}.expected_runtime(estimate);
    return estimator->second.expected_runtime(estimate);
}

Micros Durations::expected_longest(const JobRecord& record, std::uint32_t step, std::uint64_t task_count) const {
    const auto estimator = estimators_.find(record.queue_name());
    const double deviation = estimator == estimators_.end() ? 0 : estimator->second.log_deviation();
    double beyond = deviation * expected_normal_maximum(task_count);
    // What is expected of a measured step is the mean of its siblings, not their median.
    if (is_measured(record, step)) beyond -= deviation * deviation / 2;
    return Micros(double(expected(record, step)) * std::exp(std::max(0.0, beyond)));
}

bool Durations::is_measured(const JobRecord& record, std::uint32_t step) {
    const auto measured = record.measured_durations.find(step);
    return measured != record.measured_durations.end() && measured->second.second >= min_siblings;
}

void Durations::record(JobRecord& record, std::uint32_t step, Micros duration) {
    auto& [sum, count] = record.measured_durations[step];
    sum += duration;
    ++count;
    estimators_[record.queue_name()].record(record.job.definition.spec.steps[step].estimate, duration);
}

}  // namespace calicostall
