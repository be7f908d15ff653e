/// The two clocks of a machine, in microseconds.
#pragma once
#include "common.hpp"

namespace calicostall {

/// The monotonic clock, which only runs forward; all time-outs and leases are measured on it.
/// Example: Micros started_at = steady_now(); ... Micros duration = steady_now() - started_at;
Micros steady_now();

/// The time of day, microseconds since 1970, which may jump; only due times are compared with it.
/// Example: Micros due_at = first_at; if (wall_clock_now() >= due_at) begin();
Micros wall_clock_now();

}  // namespace calicostall
