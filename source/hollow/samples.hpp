// Measured values and their percentiles.
#pragma once
#include <boost/json.hpp>

#include "common.hpp"

namespace calicostall {

// May be used on any thread.
// Example: Samples samples; samples.add(3); samples.add(9); samples.quantile(0.5) == 3
class Samples {
public:
    void add(double value);
    void clear();
    // The value at a share (0 to 1) of the sorted values, by the nearest rank; 0 without values.
    double quantile(double share) const;
    size_t count() const;
    // Count, percentiles and the number of values that were dropped.
    boost::json::object json() const;

private:
    static constexpr size_t max_samples = 1000000;  // bounds the memory; further values are dropped
    mutable std::mutex lock_;
    std::vector<double> values_;
    size_t dropped_ = 0;
};

}  // namespace calicostall
