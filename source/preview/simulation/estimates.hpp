// Estimates of durations and priorities, computed as the daemons compute them.
#pragma once
#include "preview/simulation/state.hpp"

namespace calicostall {

// How long a task of a step takes on a worker (microseconds): as learnt, longer on a slow worker or away from its data.
Micros expected_duration(const SimulationState& state, const ProjectedJob& job, std::uint32_t step, size_t worker);

// The scheduling priority of a step. It follows from the whole job and its first unfinished occurrence.
SchedulingPriority scheduling_priority_of(const ProjectedJob& job, std::uint32_t step);

// The longest chain of a job's dependent steps by learnt durations, microseconds.
Micros critical_path(const SnapshotJob& job);

}  // namespace calicostall
