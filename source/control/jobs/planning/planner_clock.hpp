/// The clock of the scheduler's plans. Pure.
#pragma once
#include "common.hpp"
#include "control/plan/view.hpp"

namespace calicostall {

/// Converts wall-clock times to the planner's monotonic clock. Deadlines and submissions follow the wall clock, which
/// may be set; plans are made by the monotonic one. Owns the offset between the two.
/// Example: PlannerClock clock; clock.synchronize(now, wall_clock); clock.to_monotonic(wall_clock) == now
class PlannerClock {
public:
    /// Takes in both clocks, in microseconds. Returns whether the wall clock has jumped: then what was converted before
    /// has to be converted again.
    bool synchronize(Micros now, Micros wall_clock);

    /// @param wall_clock  microseconds of the wall clock
    Micros to_monotonic(Micros wall_clock) const { return wall_clock - offset_; }

    /// The same priority with its times by the monotonic clock.
    SchedulingPriority to_monotonic(SchedulingPriority priority) const;

private:
    Micros offset_ = 0;  // wall clock less monotonic clock
};

}  // namespace calicostall
