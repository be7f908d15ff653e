#include "preview/simulation/state.hpp"

namespace calicostall {

bool ProjectedJob::are_dependencies_done(const std::vector<ProjectedStep>& steps, std::uint32_t step) const {
    const std::vector<std::uint32_t>& dependencies = snapshot_job->steps[step].spec.dependencies;
    return std::none_of(dependencies.begin(), dependencies.end(),
                        [&](std::uint32_t earlier) { return steps[earlier].unfinished > 0; });
}

SimulationState::SimulationState(const Snapshot& the_snapshot, const ProposedChange& the_change)
    : snapshot(the_snapshot),
      change(the_change),
      planner_settings(planner_settings_of(the_snapshot, the_change)),
      demand(planner_settings),
      snapshot_at(the_snapshot.wall_clock),
      now(the_snapshot.wall_clock) {}

std::vector<std::string> SimulationState::worker_ids_of(const std::set<std::uint64_t>& ids) const {
    std::vector<std::string> worker_ids;
    worker_ids.reserve(ids.size());
    for (std::uint64_t id : ids)
        worker_ids.push_back(workers[runs.at(id).worker].snapshot.worker_id);
    return worker_ids;
}

std::vector<std::uint64_t> SimulationState::runs_on(size_t worker) const {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, run] : runs)
        if (run.worker == worker) ids.push_back(id);
    return ids;
}

}  // namespace calicostall
