#include "control/jobs/planning/planner_clock.hpp"

namespace calicostall {

namespace {

// A smaller change is drift or slew: it moves no plan.
constexpr Micros jump_threshold = milliseconds(50);

}  // namespace

bool PlannerClock::synchronize(Micros now, Micros wall_clock) {
    const Micros offset = wall_clock - now;
    if (std::abs(offset - offset_) <= jump_threshold) return false;
    offset_ = offset;
    return true;
}

SchedulingPriority PlannerClock::to_monotonic(SchedulingPriority priority) const {
    priority.submitted_at = to_monotonic(priority.submitted_at);
    priority.deadline = to_monotonic(priority.deadline);
    return priority;
}

}  // namespace calicostall
