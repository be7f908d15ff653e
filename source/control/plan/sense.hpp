// What was seen of durations: corrects estimates and tells slow workers. Pure.
#pragma once
#include <cmath>

#include "common.hpp"

namespace calicostall {

// A running mean and variance of logarithms, in which newer samples weigh more.
class LogMean {
public:
    void add(double value) {
        double weight = std::max(0.05, 1.0 / double(++count_));
        double off = value - mean_;
        mean_ += weight * off;
        variance_ = (1 - weight) * (variance_ + weight * off * off);
    }
    double mean() const { return mean_; }
    double variance() const { return count_ < 4 ? 1.0 : std::max(0.01, variance_); }
    std::uint64_t count() const { return count_; }

private:
    double mean_ = 0, variance_ = 0;
    std::uint64_t count_ = 0;
};

// The durations of one queue: how far its estimates are off, and how long its tasks are in general.
// Example: sense.note(estimate, took); Micros expected = sense.expect(estimate);
class QueueSense {
public:
    void note(Micros estimate, Micros took) {
        double log_took = std::log(double(std::max<Micros>(took, 1000)));
        whole_.add(log_took);
        if (estimate > 0) off_.add(log_took - std::log(double(estimate)));
    }
    // How far the durations of tasks that are said to be alike lie apart: the deviation of their logarithms.
    double spread() const {
        if (whole_.count() < 8) return 0;
        double variance = off_.count() >= 8 ? std::min(off_.variance(), whole_.variance()) : whole_.variance();
        return std::sqrt(variance);
    }
    // Weighs the corrected estimate against the usual duration by how well each has told so far.
    Micros expect(Micros estimate) const {
        if (estimate <= 0) return whole_.count() ? Micros(std::exp(whole_.mean())) : seconds(1);
        double told = std::log(double(estimate)) + (off_.count() >= 4 ? off_.mean() : 0.0);
        if (whole_.count() < 8) return Micros(std::exp(told));
        double by_estimate = 1 / off_.variance(), by_usual = 1 / whole_.variance();
        return Micros(std::exp((told * by_estimate + whole_.mean() * by_usual) / (by_estimate + by_usual)));
    }

private:
    LogMean off_, whole_;
};

// What the largest of `count` values drawn from a normal distribution is expected to be, in deviations above the mean
// (Blom's approximation with formula 26.2.22 of Abramowitz and Stegun).
// Example: expected_largest(1) is about 0, expected_largest(30) about 2.04
inline double expected_largest(std::uint64_t count) {
    if (count < 2) return 0;
    double above = 1 - (double(count) - 0.375) / (double(count) + 0.25);
    double root = std::sqrt(-2 * std::log(above));
    return root - (2.30753 + 0.27061 * root) / (1 + 0.99229 * root + 0.04481 * root * root);
}

// How a worker's runs compare with their siblings elsewhere: 1 is usual, 3 is three times as long.
class Pace {
public:
    void note(double ratio, double weight) {
        ratio = std::clamp(ratio, 0.25, 12.0);
        value_ += weight * (ratio - value_);
    }
    // Without news a worker is slowly trusted again.
    void forget(double share) { value_ += share * (1.0 - value_); }
    double value() const { return value_; }
    bool slow() const { return value_ > 1.8; }

private:
    double value_ = 1.0;
};

}  // namespace calicostall
