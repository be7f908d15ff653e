#include "hollow/linear_fit.hpp"

namespace calicostall {

LinearFit fit_line(const std::vector<std::pair<double, double>>& points) {
    LinearFit fit;
    fit.points = points.size();
    if (points.empty()) return fit;
    const double count = double(points.size());
    double mean_x = 0;
    double mean_y = 0;
    for (auto [x, y] : points) {
        mean_x += x / count;
        mean_y += y / count;
    }
    double variation_x = 0;
    double variation_y = 0;
    double covariation = 0;
    for (auto [x, y] : points) {
        variation_x += (x - mean_x) * (x - mean_x);
        variation_y += (y - mean_y) * (y - mean_y);
        covariation += (x - mean_x) * (y - mean_y);
    }
    fit.intercept = mean_y;
    if (variation_x <= 0) return fit;
    fit.slope = covariation / variation_x;
    fit.intercept = mean_y - fit.slope * mean_x;
    double residual = 0;
    for (auto [x, y] : points)
        residual += (y - fit.value_at(x)) * (y - fit.value_at(x));
    fit.r_squared = variation_y > 0 ? 1 - residual / variation_y : 1;
    if (points.size() > 2) fit.slope_error = std::sqrt(residual / (count - 2) / variation_x);
    return fit;
}

std::optional<double> number_at(const boost::json::value& line, std::string_view path) {
    const boost::json::value* node = &line;
    while (!path.empty()) {
        size_t dot = path.find('.');
        std::string_view name = path.substr(0, dot);
        path = dot == std::string_view::npos ? std::string_view() : path.substr(dot + 1);
        if (!node->is_object()) return std::nullopt;
        node = node->as_object().if_contains(name);
        if (!node) return std::nullopt;
    }
    if (!node->is_number()) return std::nullopt;
    return node->to_number<double>();
}

}  // namespace calicostall
