// The scheduler's gauges, for the daemon's periodic log line.
#pragma once
#include "control/jobs/state/scheduler_state.hpp"

namespace calicostall {

// Open jobs, ready tasks and placed runs by priority, the fraction of capacity in use, usable workers of all, and the
// nodes that are unreconciled, slow or unreliable.
// Example: "jobs_open=31 tasks_waiting=p0:12,p2:40, tasks_placed=p0:7, room_used=cpu:0.71,memory:0.55 workers=11/12"
std::string scheduler_gauges(const SchedulerState& state);

}  // namespace calicostall
