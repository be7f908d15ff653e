// What a forward simulation reckons of work that waits or begins, as the daemons do.
#pragma once
#include "preview/forward/state.hpp"

namespace calicostall {

// How long a task of a step takes on a worker: as learnt, longer on a slow worker or away from its data.
Micros expected_duration(const ForwardState& state, const ForwardJob& job, std::uint32_t step, size_t worker);

// How a step stands with the planner, by the first time that is open, of the whole job.
Standing standing_of(const ForwardJob& job, std::uint32_t step);

// The longest chain of a job's steps by learnt durations.
Micros longest_chain(const SnapshotJob& job);

}  // namespace calicostall
