#include "control/plan/job_value.hpp"

#include <algorithm>
#include <cmath>

#include "control/jobs/spec.hpp"

namespace calicostall {

namespace {

constexpr double value_base = 0.3;               // of any job, whatever its work
constexpr double value_per_relative_work = 0.7;  // of a job with the mean work of its queue
constexpr double max_value = 4;
constexpr double newest_weight = 0.02;    // of the newest job in the mean of many
constexpr size_t recent_sizes_kept = 64;  // jobs of a queue with which a new one's size is compared
constexpr double largest_share = 0.1;     // the largest tenth
constexpr double large_share = 0.3;       // and the fifth below it
constexpr std::uint64_t boost_interval = 4;
constexpr double min_capacity_seconds = 1e-6;  // a job that is all but done
constexpr double micros_per_second = 1e6;
constexpr double thousandths_per_core = 1e3;

}  // namespace

double capacity_share(const Step& step, const ServiceCapacity& capacity) {
    double by_cpu = capacity.cpu > 0 ? double(step.cpu) / capacity.cpu : 0;
    double by_memory = capacity.memory > 0 ? double(step.memory) / capacity.memory : 0;
    return std::max(by_cpu, by_memory);
}

Micros duration_in_share(const Step& step, std::uint64_t tasks, const StepDurations& durations,
                         const ServiceCapacity& capacity, double share) {
    if (tasks == 0) return 0;
    if (step.gang || step.long_running) return durations.longest;
    double waves = capacity_share(step, capacity) * double(tasks) / share;
    return durations.longest + Micros(std::max(0.0, waves - 1) * double(durations.typical));
}

void JobWork::add(const Step& step, std::uint64_t tasks, Micros task_duration, const ServiceCapacity& capacity) {
    double task_seconds = double(tasks) * double(task_duration) / micros_per_second;
    core_seconds += task_seconds * double(step.cpu) / thousandths_per_core;
    capacity_seconds += task_seconds * capacity_share(step, capacity);
}

double job_value(double core_seconds, double mean_core_seconds) {
    if (mean_core_seconds <= 0) return 1;
    return std::min(max_value, value_base + value_per_relative_work * core_seconds / mean_core_seconds);
}

void MeanWork::record(const std::string& queue, double core_seconds) {
    Mean& mean = means_[queue];
    double weight = std::max(newest_weight, 1.0 / double(++mean.count));
    mean.value += weight * (core_seconds - mean.value);
}

double MeanWork::mean(const std::string& queue) const {
    auto found = means_.find(queue);
    return found == means_.end() ? 0 : found->second.value;
}

bool LargeJobBoosts::grants_boost(const std::string& queue, double core_seconds) {
    QueueSizes& sizes = sizes_by_queue_[queue];
    sizes.recent.push_back(core_seconds);
    if (sizes.recent.size() > recent_sizes_kept) sizes.recent.pop_front();
    const auto larger =
        std::count_if(sizes.recent.begin(), sizes.recent.end(), [&](double other) { return other > core_seconds; });
    double rank = double(larger) / double(sizes.recent.size());
    if (rank < largest_share) return sizes.largest++ % boost_interval == 0;
    if (rank < large_share) return sizes.large++ % boost_interval == 0;
    return false;
}

double log_value_density(double value, double remaining_capacity_seconds) {
    if (remaining_capacity_seconds <= 0) return 0;
    return std::log2(value / std::max(remaining_capacity_seconds, min_capacity_seconds));
}

}  // namespace calicostall
