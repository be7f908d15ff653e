// Stage two: tasks start on the worker with the highest dynamic rank, which is ranked again after each start.
#include "control/plan/planner/plan_builder.hpp"

namespace calicostall {

namespace {

constexpr double half_demand = 16;  // so many tasks that ask for a rack take half of `weight_demand` off its workers

}  // namespace

double free_fraction(const Resources& free, const Resources& capacity) {
    const double by_cpu = capacity.cpu > 0 ? double(free.cpu) / double(capacity.cpu) : 1;
    const double by_memory = capacity.memory > 0 ? double(free.memory) / double(capacity.memory) : 1;
    return std::min(by_cpu, by_memory);
}

/// Starts up to `count` tasks and returns how many; `deferred` counts those that wait for a slot near their data.
std::uint32_t PlanBuilder::start_tasks(std::uint32_t count, std::uint32_t& deferred) {
    std::vector<RankedWorker> heap = ranked_workers();
    auto rank_again = [&](std::uint32_t worker_index) {
        heap.push_back({rank(worker_index), worker_index});
        std::push_heap(heap.begin(), heap.end());
    };
    std::uint32_t started = 0;
    bool prefers_near_data = item_->affinity != 0 && !is_starved_;
    while (started + deferred < count && !heap.empty()) {
        std::pop_heap(heap.begin(), heap.end());
        const std::uint32_t worker_index = heap.back().worker_index;
        heap.pop_back();
        if (prefers_near_data && !view_.fleet.at(worker_index).has_label(item_->affinity)) {
            prefers_near_data = reserve_near_data(started + deferred);
            if (prefers_near_data) {
                ++deferred;
                rank_again(worker_index);
                continue;
            }
        }
        const Fit fit = fit_now(worker_index);  // a reservation may have been made since it was ranked
        ++plan_.evaluations;
        if (fit == Fit::no) continue;
        start_task(worker_index, started + deferred, fit == Fit::backfill);
        ++started;
        if (fit_now(worker_index) != Fit::no) rank_again(worker_index);
    }
    return started;
}

/// The workers on which a task fits now, as a heap.
std::vector<PlanBuilder::RankedWorker> PlanBuilder::ranked_workers() {
    std::vector<RankedWorker> heap;
    view_.fleet.for_each_candidate(item_->service, item_->resources, [&](std::uint32_t worker_index) {
        ++plan_.evaluations;
        if (fit_now(worker_index) != Fit::no) heap.push_back({rank(worker_index), worker_index});
    });
    std::make_heap(heap.begin(), heap.end());
    return heap;
}

/// The dynamic rank: load, demand, and how much longer the item takes there. It depends on one worker alone, so that
/// only a worker that was given something is ranked again.
double PlanBuilder::rank(std::uint32_t worker_index) {
    const PlanWorker& worker = view_.fleet.at(worker_index);
    const Resources& free = free_resources(worker_index);
    double load_score;
    if (item_->scheduling_priority.level <= view_.urgent_level)
        load_score = free_fraction(free, worker.capacity);  // spread: the emptiest first
    else
        load_score = 1 - free_fraction(free - item_->resources, worker.capacity);  // pack: the best filled first
    double points = settings_.weight_load * load_score - settings_.weight_finish * (duration_factor(worker) - 1) -
                    settings_.weight_reliability * (1 - worker.reliability);
    if (worker.slowdown > settings_.slow_threshold) points -= settings_.weight_slow;
    const auto& deprioritized = item_->deprioritized_workers;
    if (std::find(deprioritized.begin(), deprioritized.end(), worker_index) != deprioritized.end())
        points -= settings_.weight_failed;
    if (worker.rack && worker.rack != item_->affinity) {
        const double demand = double(view_.items.label_demand(worker.rack));
        points -= settings_.weight_demand * demand / (demand + half_demand);
    }
    return points;
}

void PlanBuilder::start_task(std::uint32_t worker_index, std::uint32_t task, bool backfill) {
    plan_.starts.push_back({item_->id, task, worker_index, backfill});
    const bool is_long_running = item_->scheduling_priority.is_long_running;
    const Micros until = is_long_running ? never : now_ + duration_on(view_.fleet.at(worker_index));
    allocate(worker_index, now_, until, false, backfill);
    worker_states_[worker_index].free -= item_->resources;
    if (!item_->is_gang) is_starved_ = false;
    planned_by_service_[item_->service] += item_->resources;
    starts_by_level_[{item_->service, item_->scheduling_priority.level}]++;
    tasks_by_worker_[{item_->id, worker_index}]++;
}

}  // namespace calicostall
