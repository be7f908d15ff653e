// The free room of a worker, now and later, with what this plan has given away.
#include "control/plan/planner/plan_maker.hpp"

namespace calicostall {

Resources& PlanMaker::free_of(std::uint32_t place) {
    Slot& slot = slots_[place];
    if (!slot.touched) {
        slot.touched = true;
        slot.free = view_.fleet.at(place).free;
    }
    return slot.free;
}

void PlanMaker::use(std::uint32_t place, Micros from, Micros until, bool reserved, bool backfill) {
    free_of(place);
    Slot& slot = slots_[place];
    slot.planned.push_back({item_->room, from, until, reserved, backfill, item_->gang, points_});
    if (slot.timeline) slot.timeline->take(item_->room, from, until);
}

Timeline& PlanMaker::timeline(std::uint32_t place) {
    Slot& slot = slots_[place];
    if (slot.timeline) return *slot.timeline;
    const PlanWorker& worker = view_.fleet.at(place);
    plan_.evaluations += 1 + worker.runs.size() / runs_per_evaluation;
    std::vector<std::pair<Micros, Resources>> ends;
    ends.reserve(worker.runs.size());
    for (const PlanRun& run : worker.runs)
        ends.emplace_back(over(run), run.room);
    slot.timeline.emplace(now_, worker.free, std::move(ends));
    for (const Use& each : slot.planned)
        slot.timeline->take(each.room, each.from, each.until);
    return *slot.timeline;
}

// When the room of a run is expected back; sooner for one that this plan stops.
Micros PlanMaker::over(const PlanRun& run) const {
    if (stopped_.contains(run.id)) return now_ + stop_time();
    return expected_over(run, now_);
}

// How long a stop is expected to take, at least a microsecond.
Micros PlanMaker::stop_time() const {
    return std::max<Micros>(1, Micros(settings_.stop_share * double(settings_.stop_grace)));
}

}  // namespace calicostall
