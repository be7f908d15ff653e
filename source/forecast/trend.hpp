// Exponential smoothing of a series of values. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

// Level, slope and, where a season is given, an additive seasonal component (Holt-Winters), with the mean absolute
// deviation of the expected values.
// Example: Trend trend(0); for (double value : values) trend.add(value); double mean = trend.mean(3);
class Trend {
public:
    // `season`: the number of values in a season; 0: none.
    explicit Trend(size_t season) : season_(season, 0.0) {}

    void add(double value);
    // The expected value `ahead` (at least 1) values after the last one, never below 0.
    double mean(size_t ahead) const;
    // The mean and so many deviations, widened with the distance: rarely exceeded.
    double upper_bound(size_t ahead, double deviations) const;

private:
    double seasonal(size_t index) const;

    std::vector<double> season_;  // the component of each value of a season
    double level_ = 0;
    double slope_ = 0;
    double deviation_ = 0;
    size_t count_ = 0;
};

}  // namespace calicostall
