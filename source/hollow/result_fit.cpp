#include "hollow/result_fit.hpp"

#include <sstream>

namespace calicostall {

LinearFit fit_result_lines(const std::string& text, const std::string& over, const std::string& of,
                           Findings& findings) {
    std::vector<std::pair<double, double>> points;
    std::istringstream stream(text);
    std::string line;
    for (size_t number = 1; std::getline(stream, line); ++number) {
        const std::string location = fmt::format("line {}", number);
        boost::system::error_code error;
        const boost::json::value document = boost::json::parse(line, error);
        if (error) {
            findings.add(location, "cannot be read as JSON");
            continue;
        }
        const std::optional<double> x = number_at(document, over);
        const std::optional<double> y = number_at(document, of);
        if (!x)
            findings.add(location, fmt::format("has no number at {}", over));
        else if (!y)
            findings.add(location, fmt::format("has no number at {}", of));
        else
            points.emplace_back(*x, *y);
    }
    if (points.size() < 2 && findings.empty()) findings.add("results", "need at least two lines");
    return fit_line(points);
}

}  // namespace calicostall
