// Whether a task could ever run on the workers that are present or join.
#pragma once
#include "preview/simulation/state.hpp"

namespace calicostall {

// Why no worker that stays or joins could ever run a task of the step; empty if one could, or if that isn't known.
// Example: "label missing"
std::string infeasibility_reason(const SimulationState& state, const ProjectedJob& job, std::uint32_t step);

}  // namespace calicostall
