// The free resources of a worker, now and later, with what this plan has given away.
#include "control/plan/planner/plan_builder.hpp"

namespace calicostall {

Resources& PlanBuilder::free_resources(std::uint32_t worker_index) {
    WorkerState& state = worker_states_[worker_index];
    if (!state.is_initialized) {
        state.is_initialized = true;
        state.free = view_.fleet.at(worker_index).free;
    }
    return state.free;
}

void PlanBuilder::allocate(std::uint32_t worker_index, Micros from, Micros until, bool is_reservation, bool backfill) {
    free_resources(worker_index);  // what is free now is read before the first change
    WorkerState& state = worker_states_[worker_index];
    state.allocations.push_back({item_->resources, from, until, is_reservation, backfill, item_->is_gang, points_});
    if (state.timeline) state.timeline->reserve(item_->resources, from, until);
}

Timeline& PlanBuilder::timeline(std::uint32_t worker_index) {
    WorkerState& state = worker_states_[worker_index];
    if (state.timeline) return *state.timeline;
    const PlanWorker& worker = view_.fleet.at(worker_index);
    plan_.evaluations += 1 + worker.runs.size() / runs_per_evaluation;
    std::vector<std::pair<Micros, Resources>> ends;
    ends.reserve(worker.runs.size());
    for (const PlanRun& run : worker.runs)
        ends.emplace_back(release_time(run), run.resources);
    state.timeline.emplace(now_, worker.free, std::move(ends));
    for (const Allocation& allocation : state.allocations)
        state.timeline->reserve(allocation.resources, allocation.from, allocation.until);
    return *state.timeline;
}

/// When the resources of a run are expected back; sooner for one that this plan stops.
Micros PlanBuilder::release_time(const PlanRun& run) const {
    if (stopped_.contains(run.id)) return now_ + expected_stop_time();
    return estimated_end(run, now_);
}

/// How long a stop is expected to take, at least a microsecond.
Micros PlanBuilder::expected_stop_time() const {
    return std::max<Micros>(1, Micros(settings_.stop_share * double(settings_.stop_grace)));
}

}  // namespace calicostall
