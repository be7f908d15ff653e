/// What a job is worth, how long it takes at least, and how much capacity it needs: the measures of the order under
/// overload. Pure.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "common.hpp"

namespace calicostall {

struct Step;

/// The capacity of one service: thousandths of a core, MB. Zeros: not known yet.
struct ServiceCapacity {
    double cpu = 0, memory = 0;
};

/// Which part of the capacity one task of the step takes, by what it takes most of; 0 while the capacity is unknown.
/// Example: capacity_share(step, {64000, 131072}) == 0.25 for a task of 16 cores and 1 GB
double capacity_share(const Step& step, const ServiceCapacity& capacity);

/// How long a task of a step takes in general, and the longest of its tasks; microseconds.
struct StepDurations {
    Micros typical = 0, longest = 0;
};

/// How long `tasks` of a step take in a share of the capacity, in microseconds: the longest of them, and the typical
/// duration for each wave before the last. The members of a gang run at once.
/// Example: duration_in_share(step, 9, durations, capacity, 0.25) == durations.longest + 2 * durations.typical
///          for tasks of a twelfth of the capacity each
Micros duration_in_share(const Step& step, std::uint64_t tasks, const StepDurations& durations,
                         const ServiceCapacity& capacity, double share);

/// A step that is wider than this share of the capacity counts as waves in its latency target.
constexpr double target_share = 0.25;
/// What a step has at the best.
constexpr double full_share = 1;

/// The work of one occurrence of a job: core-seconds, and the seconds of the service's full capacity that it fills.
struct JobWork {
    double core_seconds = 0, capacity_seconds = 0;

    /// Adds tasks of a step.
    /// @param task_duration  of each task, in microseconds
    void add(const Step& step, std::uint64_t tasks, Micros task_duration, const ServiceCapacity& capacity);
};

/// What a job is worth against the mean of its queue: 0.3 and 0.7 times its work, at most 4.
/// Example: job_value(200, 100) == 1.7
double job_value(double core_seconds, double mean_core_seconds);

/// The mean work of the jobs of each queue; newer ones weigh more. Owns these means.
class MeanWork {
public:
    void record(const std::string& queue, double core_seconds);

    /// 0: no job of the queue was seen.
    double mean(const std::string& queue) const;

private:
    struct Mean {
        double value = 0;
        std::uint64_t count = 0;
    };
    std::map<std::string, Mean> means_;  // by queue
};

/// Which of a queue's large jobs go before their like, so that an order by value density doesn't leave the large ones
/// to the end: every fourth of the largest tenth and every fourth of the fifth below it, against the jobs seen
/// recently. Owns the recent sizes of each queue. Example: LargeJobBoosts boosts; if
/// (boosts.grants_boost("a.example|/q/", 1200)) density += large_job_boost;
class LargeJobBoosts {
public:
    /// Counts a new job of the queue, and decides whether it gets the boost.
    bool grants_boost(const std::string& queue, double core_seconds);

private:
    struct QueueSizes {
        std::deque<double> recent;             // core-seconds, the newest last
        std::uint64_t largest = 0, large = 0;  // jobs of the tenth, and of the fifth below it
    };
    std::map<std::string, QueueSizes> sizes_by_queue_;
};

/// In doublings of the value density.
constexpr double large_job_boost = 1;

/// The binary logarithm of what a job earns for each second of the full capacity that its remaining work takes. It
/// rises while the job's tasks end: what is nearly done goes before what has hardly begun. Example:
/// log_value_density(1, 2) == -1
double log_value_density(double value, double remaining_capacity_seconds);

}  // namespace calicostall
