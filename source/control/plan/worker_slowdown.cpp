#include "control/plan/worker_slowdown.hpp"

namespace calicostall {

namespace {

// A single comparison says no more than this: its siblings may have been lucky, or have died early.
constexpr double min_ratio = 0.25;
constexpr double max_ratio = 12.0;

}  // namespace

void WorkerSlowdown::record(double ratio, double weight) {
    value_ += weight * (std::clamp(ratio, min_ratio, max_ratio) - value_);
}

}  // namespace calicostall
