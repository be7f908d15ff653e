#include "preview/forward/state.hpp"

namespace calicostall {

bool ForwardJob::turn_has_come(const std::vector<ForwardStep>& steps, std::uint32_t step) const {
    const std::vector<std::uint32_t>& depends = job->steps[step].wanted.depends;
    return std::none_of(depends.begin(), depends.end(), [&](std::uint32_t earlier) { return steps[earlier].open > 0; });
}

ForwardState::ForwardState(const Snapshot& the_snapshot, const ProposedChange& the_change)
    : snapshot(the_snapshot),
      change(the_change),
      planner(planner_settings_of(the_snapshot, the_change)),
      demand(planner),
      start(the_snapshot.wall),
      now(the_snapshot.wall) {}

std::vector<std::string> ForwardState::lives_of(const std::set<std::uint64_t>& ids) const {
    std::vector<std::string> lives;
    for (std::uint64_t id : ids)
        lives.push_back(workers[runs.at(id).worker].said.life);
    return lives;
}

std::vector<std::uint64_t> ForwardState::runs_on(size_t worker) const {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, run] : runs)
        if (run.worker == worker) ids.push_back(id);
    return ids;
}

}  // namespace calicostall
