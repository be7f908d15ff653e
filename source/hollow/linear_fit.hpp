// A line through points by least squares, and numbers within lines of results.
#pragma once
#include <boost/json.hpp>

#include "common.hpp"

namespace calicostall {

struct LinearFit {
    size_t points = 0;
    double slope = 0;
    double intercept = 0;
    double slope_error = 0;  // the standard error of the slope; 0 with fewer than three points
    double r_squared = 0;    // the share of the variance that the line explains
    double value_at(double x) const { return intercept + slope * x; }
};

// Example: fit_line({{50, 1.0}, {100, 2.0}, {200, 4.0}}).slope == 0.02
LinearFit fit_line(const std::vector<std::pair<double, double>>& points);

// The number at a path of field names, joined by dots; nothing if there is none.
// Example: number_at(line, "owner.cpu_share") -> 0.31
std::optional<double> number_at(const boost::json::value& line, std::string_view path);

}  // namespace calicostall
