/// How much slower a worker is than others. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

/// How the durations of a worker's runs compare with those of their siblings elsewhere: 1 is usual, 3 is three times as
/// long.
class WorkerSlowdown {
public:
    /// Takes in one comparison.
    /// @param ratio  the run's duration against its siblings'
    /// @param weight  0 to 1: how much it says
    void record(double ratio, double weight);

    /// Goes a share (0 to 1) of the way back to the usual: without new comparisons a worker is slowly used again.
    void recover(double share) { value_ += share * (1.0 - value_); }
    double value() const { return value_; }
    bool is_slow() const { return value_ > slow_threshold; }

private:
    static constexpr double slow_threshold = 1.8;

    double value_ = 1.0;
};

}  // namespace calicostall
