// Whether a worker may get a task of the present item, and whether the task fits there now.
#include "control/plan/planner/plan_maker.hpp"

namespace calicostall {

// How many times its usual duration the item takes on a worker.
double PlanMaker::stretch(const PlanWorker& worker) const {
    double factor = item_->affinity && !worker.has(item_->affinity) ? settings_.remote_factor : 1;
    return worker.pace > settings_.slow_pace ? factor * worker.pace : factor;
}

Micros PlanMaker::length_on(const PlanWorker& worker) const {
    return Micros(double(item_->duration) * stretch(worker));
}

// How many tasks of the item's step are on a worker, those of this plan included.
std::uint32_t PlanMaker::on_worker(std::uint32_t place) const {
    std::uint32_t count = 0;
    for (const auto& [other, tasks] : item_->on_worker)
        if (other == place) count += tasks;
    if (auto found = started_.find({item_->id, place}); found != started_.end()) count += found->second;
    return count;
}

// Whether a worker may get a task of the item at all, whatever its load. Notes in `seen_` what stands against it.
bool PlanMaker::suitable(std::uint32_t place) {
    const PlanWorker& worker = view_.fleet.at(place);
    if (!worker.open || !worker.has(item_->needs) || !worker.capacity.holds(item_->room)) return false;
    seen_.suitable = true;
    bool kept_away = std::find(item_->away.begin(), item_->away.end(), place) != item_->away.end();
    if (kept_away || (item_->anti_affinity && on_worker(place) >= item_->anti_affinity)) {
        seen_.apart = true;
        return false;
    }
    bool trusted = worker.trust >= settings_.trust_least && (!worker.paused || overdue_);
    bool bounded = worker.runs_most && !overdue_;
    if (!trusted || (bounded && worker.runs.size() + slots_[place].planned.size() >= worker.runs_most)) {
        seen_.trust = true;
        return false;
    }
    return true;
}

// Looks at all workers of the service, for `seen_` alone.
void PlanMaker::look_for_suitable() {
    view_.fleet.candidates(item_->service, {}, [&](std::uint32_t place) { suitable(place); });
}

PlanMaker::Fit PlanMaker::fits_now(std::uint32_t place) {
    if (!free_of(place).holds(item_->room) || !suitable(place)) return Fit::no;
    if (!slots_[place].reserved || overdue_) return Fit::yes;
    Micros length = length_on(view_.fleet.at(place));
    Timeline& line = timeline(place);
    if (line.holds(item_->room, now_, now_ + length)) return Fit::yes;
    if (may_be_pushed_later(place, line, length)) return Fit::backfill;
    seen_.reserved = true;
    return Fit::no;
}

// What may be pushed out again starts in a gap too, if it gets a fair part of its time before, and if pushing it out
// will then cost less than it saves.
bool PlanMaker::may_be_pushed_later(std::uint32_t place, const Timeline& line, Micros length) const {
    if (!item_->checkpoints || !item_->preemptable || item_->gang) return false;
    Micros until = line.ends_at(item_->room, now_);
    if (until - now_ < stop_time() + settings_.push_early) return false;
    if (double(until - now_) < settings_.ratio_run * double(length)) return false;
    std::int64_t cpu = item_->room.cpu + backfilled_cpu(place);
    double waste = double(cpu) * double(settings_.restore + stop_time());
    double left = double(now_ + length - until);
    for (const Use& use : slots_[place].planned) {
        if (!use.reserved || use.from >= now_ + length || use.until <= until) continue;
        if (use.firm || !outranks(use.points, points_)) return false;
        if (waste > settings_.waste_most * double(use.room.cpu) * left) return false;
        if (left < settings_.ratio_remaining * double(until - now_)) return false;
    }
    return true;
}

// The processor room, in thousandths of a core, of all that was started into gaps on a worker: it would be pushed out
// together.
std::int64_t PlanMaker::backfilled_cpu(std::uint32_t place) const {
    std::int64_t cpu = 0;
    for (const PlanRun& run : view_.fleet.at(place).runs)
        cpu += run.backfill ? run.room.cpu : 0;
    for (const Use& use : slots_[place].planned)
        cpu += use.backfill ? use.room.cpu : 0;
    return cpu;
}

}  // namespace calicostall
