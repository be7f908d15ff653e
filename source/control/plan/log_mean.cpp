#include "control/plan/log_mean.hpp"

namespace calicostall {

namespace {

constexpr double min_newest_weight = 0.05;
constexpr std::uint64_t min_samples_for_variance = 4;
constexpr double unknown_variance = 1.0;
constexpr double min_variance = 0.01;  // no sample is surer than this, however alike those before were

}  // namespace

void LogMean::add(double value) {
    const double weight = std::max(min_newest_weight, 1.0 / double(++count_));
    const double difference = value - mean_;
    mean_ += weight * difference;
    variance_ = (1 - weight) * (variance_ + weight * difference * difference);
}

double LogMean::variance() const {
    if (count_ < min_samples_for_variance) return unknown_variance;
    return std::max(min_variance, variance_);
}

}  // namespace calicostall
