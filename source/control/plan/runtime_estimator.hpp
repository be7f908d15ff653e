/// How long the tasks of a queue take, learnt from what they took. Pure.
#pragma once
#include "control/plan/log_mean.hpp"

namespace calicostall {

/// Learns how far the estimates of one queue are off, and how long its tasks take in general. Owns these statistics.
/// Durations are microseconds.
/// Example: estimator.record(estimate, actual); Micros expected = estimator.expected_runtime(estimate);
class RuntimeEstimator {
public:
    /// Takes in what a task took.
    /// @param estimate  what its job said; 0: nothing
    void record(Micros estimate, Micros actual);

    /// How far the durations of tasks that are said to be alike lie apart: the deviation of their logarithms; 0 while
    /// there are too few samples.
    double log_deviation() const;

    /// What a task is expected to take: its corrected estimate and the usual duration, weighed by how well each has
    /// predicted so far.
    /// @param estimate  what its job says; 0: nothing
    Micros expected_runtime(Micros estimate) const;

private:
    LogMean log_error_;    // actual against estimate
    LogMean log_runtime_;  // of all tasks
};

/// What the largest of `count` values drawn from a normal distribution is expected to be, in deviations above the mean
/// (Blom's approximation with formula 26.2.22 of Abramowitz and Stegun).
/// Example: expected_normal_maximum(1) is about 0, expected_normal_maximum(30) about 2.04
double expected_normal_maximum(std::uint64_t count);

}  // namespace calicostall
