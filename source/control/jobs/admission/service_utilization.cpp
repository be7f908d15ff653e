#include "control/jobs/admission/service_utilization.hpp"

namespace calicostall {

namespace {

constexpr double observation_weight = 0.05;
constexpr double min_observation = 0.3;  // a service that was only just given work isn't a service that fills badly

}  // namespace

void ServiceUtilization::record(double used_share, bool has_waiting) {
    if (!has_waiting) return;
    utilization_ += observation_weight * (std::clamp(used_share, min_observation, 1.0) - utilization_);
}

}  // namespace calicostall
