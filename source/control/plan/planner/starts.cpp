// Stage two: tasks start on the worker with the highest dynamic rank, which is ranked again after each start.
#include "control/plan/planner/plan_maker.hpp"

namespace calicostall {

namespace {

constexpr double demand_half = 16;  // so many items that ask for a rack take half of `weight_demand` off its workers

}  // namespace

double free_share(const Resources& free, const Resources& whole) {
    double by_cpu = whole.cpu > 0 ? double(free.cpu) / double(whole.cpu) : 1;
    double by_memory = whole.memory > 0 ? double(free.memory) / double(whole.memory) : 1;
    return std::min(by_cpu, by_memory);
}

// Starts up to `count` tasks and returns how many; `held` counts those that wait for a slot near their data instead.
std::uint32_t PlanMaker::start_now(std::uint32_t count, std::uint32_t& held) {
    std::vector<Ranked> heap = ranked_workers();
    auto rank_again = [&](std::uint32_t place) {
        heap.push_back({rank(place), place});
        std::push_heap(heap.begin(), heap.end());
    };
    std::uint32_t placed = 0;
    bool look_nearby = item_->affinity != 0 && !overdue_;
    while (placed + held < count && !heap.empty()) {
        std::pop_heap(heap.begin(), heap.end());
        std::uint32_t place = heap.back().place;
        heap.pop_back();
        if (look_nearby && !view_.fleet.at(place).has(item_->affinity)) {
            look_nearby = reserve_nearby(placed + held);
            if (look_nearby) {
                ++held;
                rank_again(place);
                continue;
            }
        }
        Fit fit = fits_now(place);  // a reservation may have been made since it was ranked
        ++plan_.evaluations;
        if (fit == Fit::no) continue;
        start(place, placed + held, fit == Fit::backfill);
        ++placed;
        if (fits_now(place) != Fit::no) rank_again(place);
    }
    return placed;
}

// The workers on which a task fits now, as a heap.
std::vector<PlanMaker::Ranked> PlanMaker::ranked_workers() {
    std::vector<Ranked> heap;
    view_.fleet.candidates(item_->service, item_->room, [&](std::uint32_t place) {
        ++plan_.evaluations;
        if (fits_now(place) != Fit::no) heap.push_back({rank(place), place});
    });
    std::make_heap(heap.begin(), heap.end());
    return heap;
}

// The dynamic rank: load, demand, and how much longer the item takes there. All about one worker, so that only a worker
// that was given something is ranked again.
double PlanMaker::rank(std::uint32_t place) {
    const PlanWorker& worker = view_.fleet.at(place);
    const Resources& free = free_of(place);
    double left;
    if (item_->standing.level <= view_.urgent_level)
        left = free_share(free, worker.capacity);  // spread: the emptiest first
    else
        left = 1 - free_share(free - item_->room, worker.capacity);  // pack: the best filled first
    double points = settings_.weight_load * left - settings_.weight_finish * (stretch(worker) - 1) -
                    settings_.weight_trust * (1 - worker.trust);
    if (worker.pace > settings_.slow_pace) points -= settings_.weight_slow;
    if (std::find(item_->disliked.begin(), item_->disliked.end(), place) != item_->disliked.end())
        points -= settings_.weight_failed;
    if (worker.rack && worker.rack != item_->affinity) {
        double wanted = double(view_.items.demand_on(worker.rack));
        points -= settings_.weight_demand * wanted / (wanted + demand_half);
    }
    return points;
}

void PlanMaker::start(std::uint32_t place, std::uint32_t task, bool backfill) {
    plan_.starts.push_back({item_->id, task, place, backfill});
    Micros until = item_->standing.lasting ? never : now_ + length_on(view_.fleet.at(place));
    use(place, now_, until, false, backfill);
    slots_[place].free -= item_->room;
    if (!item_->gang) overdue_ = false;
    planned_[item_->service] += item_->room;
    planned_levels_[{item_->service, item_->standing.level}]++;
    started_[{item_->id, place}]++;
}

}  // namespace calicostall
