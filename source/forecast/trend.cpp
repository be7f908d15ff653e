#include "forecast/trend.hpp"

#include <cmath>

namespace calicostall {

namespace {

// Smoothing weights: larger for the first values, so that the trend adapts to them soon.
constexpr size_t first_values = 4;
constexpr double first_level_weight = 0.5;
constexpr double level_weight = 0.35;
constexpr double first_slope_weight = 0.3;
constexpr double slope_weight = 0.12;
constexpr double season_weight = 0.3;
constexpr double deviation_weight = 0.15;
// The standard deviation of a normal distribution in mean absolute deviations.
constexpr double standard_deviation = 1.25;
// How much wider the bound becomes with each value ahead.
constexpr double widening = 0.12;

}  // namespace

double Trend::seasonal(size_t index) const {
    return season_.empty() ? 0 : season_[index % season_.size()];
}

void Trend::add(double value) {
    const bool is_early = count_ < first_values;
    if (count_ == 0) {
        level_ = value;
    } else {
        const double error = value - (level_ + slope_ + seasonal(count_));
        const double weight = is_early ? first_level_weight : level_weight;
        deviation_ =
            count_ == 1 ? std::abs(error) : (1 - deviation_weight) * deviation_ + deviation_weight * std::abs(error);
        const double previous_level = level_;
        level_ = level_ + slope_ + weight * error;
        slope_ += (is_early ? first_slope_weight : slope_weight) * (level_ - previous_level - slope_);
        if (!season_.empty()) season_[count_ % season_.size()] += season_weight * (1 - weight) * error;
    }
    ++count_;
}

double Trend::mean(size_t ahead) const {
    return std::max(0.0, level_ + slope_ * double(ahead) + seasonal(count_ + ahead - 1));
}

double Trend::upper_bound(size_t ahead, double deviations) const {
    return mean(ahead) + deviations * standard_deviation * deviation_ * std::sqrt(1 + widening * double(ahead));
}

}  // namespace calicostall
