#include "control/plan/settings.hpp"

namespace calicostall {

void PlannerSettings::check(Findings& findings) const {
    // Of the options that have other bounds than 0 and a million.
    static const std::map<std::string_view, std::pair<double, double>> bounds{
        {"points-double", {1, 1e6}}, {"ratio-priority", {1.01, 1e6}}, {"ratio-remaining", {0, 100}},
        {"ratio-run", {0, 1}},       {"waste-most", {0, 100}},        {"urgent-most", {0, 0.9}},
        {"reservations", {0, 1000}}};
    each_planner_option(*this, [&](const char* name, const char*, double value) {
        auto found = bounds.find(name);
        auto [minimum, maximum] = found == bounds.end() ? std::pair(0.0, 1e6) : found->second;
        if (!(value >= minimum && value <= maximum))
            findings.add(fmt::format("--{}", name), fmt::format("must lie between {} and {}", minimum, maximum));
    });
}

}  // namespace calicostall
