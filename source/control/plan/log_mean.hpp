/// Statistics of logarithms. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

/// A running mean and variance of logarithms in which newer samples weigh more: the newest counts for a twentieth at
/// least.
class LogMean {
public:
    /// @param value  a natural logarithm
    void add(double value);
    double mean() const { return mean_; }

    /// 1 while there are too few samples to tell.
    double variance() const;
    std::uint64_t count() const { return count_; }

private:
    double mean_ = 0, variance_ = 0;
    std::uint64_t count_ = 0;
};

}  // namespace calicostall
