// Reservations: the earliest times at which tasks fit that don't fit now.
#include "control/plan/planner/plan_maker.hpp"

namespace calicostall {

namespace {

constexpr double reservations_part = 4;  // one item gets at most 1 / reservations_part of a plan's reservations

// The work on a worker before `until`: the share of its room in use, times microseconds.
double busy_before(const Timeline& line, const PlanWorker& worker, Micros until) {
    double busy = 0;
    const auto& steps = line.steps();
    for (size_t place = 0; place < steps.size() && steps[place].first < until; ++place) {
        Micros end = place + 1 < steps.size() ? std::min(until, steps[place + 1].first) : until;
        busy += (1 - free_share(steps[place].second, worker.capacity)) * double(end - steps[place].first);
    }
    return busy;
}

}  // namespace

void PlanMaker::reserve_at(std::uint32_t place, std::uint32_t task, Micros from, Micros until) {
    plan_.reservations.push_back({item_->id, task, place, item_->room, from, until});
    use(place, from, until, true, false);
    slots_[place].reserved = true;
    started_[{item_->id, place}]++;
}

// The earliest slot of one task on a worker; without one, it begins `never`.
PlanMaker::TaskSlot PlanMaker::slot_on(std::uint32_t place, bool nearby_only) {
    TaskSlot slot{place, never, never, 0, {}};
    if (!suitable(place)) return slot;
    const PlanWorker& worker = view_.fleet.at(place);
    if (nearby_only && !worker.has(item_->affinity)) return slot;
    ++plan_.evaluations;
    const Micros length = length_on(worker);
    Timeline& line = timeline(place);
    slot.from = line.earliest(item_->room, length, std::max(now_, item_->earliest));
    if (!nearby_only) sooner_by_pushing(slot, line, worker, length);
    if (slot.from < never) slot.finish = slot.from + length;
    return slot;
}

// The earliest slots of all workers on which there is one.
std::vector<PlanMaker::TaskSlot> PlanMaker::slots_on_all(bool nearby_only) {
    std::vector<TaskSlot> slots;
    view_.fleet.candidates(item_->service, {}, [&](std::uint32_t place) {
        TaskSlot slot = slot_on(place, nearby_only);
        if (slot.from < never) slots.push_back(std::move(slot));
    });
    return slots;
}

// The slot in which one task ends first; of equal ones that of the worker with the least work before it.
PlanMaker::TaskSlot* PlanMaker::earliest_of(std::vector<TaskSlot>& slots) {
    TaskSlot* best = nullptr;
    for (TaskSlot& slot : slots) {
        if (slot.from >= never || (best && slot.finish > best->finish)) continue;
        slot.busy = busy_before(timeline(slot.place), view_.fleet.at(slot.place), slot.from);
        if (!best || slot.before(*best)) best = &slot;
    }
    return best;
}

std::uint32_t PlanMaker::reservations_each() const {
    return std::uint32_t(std::max(1.0, settings_.reservations_most / reservations_part));
}

bool PlanMaker::may_reserve() const {
    return double(reservations_made_) < settings_.reservations_most && plan_.evaluations <= settings_.evaluations_most;
}

// A task that fits away from its data now waits if a slot near it ends it sooner.
bool PlanMaker::reserve_nearby(std::uint32_t task) {
    if (!may_reserve() || item_->standing.lasting) return false;
    Micros away = now_ + Micros(double(item_->duration) * settings_.remote_factor);
    std::vector<TaskSlot> slots = slots_on_all(true);
    const TaskSlot* slot = earliest_of(slots);
    if (!slot || slot->finish >= away || slot->from <= now_) return false;
    reserve_at(slot->place, task, slot->from, slot->finish);
    ++reservations_made_;
    return true;
}

// Earliest feasible times for the first tasks that did not fit; runs are pushed out where that earns more. Returns why
// the tasks wait.
Reason PlanMaker::reserve(std::uint32_t left, std::uint32_t first_task, const Failed* like) {
    bool pushing = false;
    std::vector<TaskSlot> slots;
    std::optional<size_t> stops_before;  // when `slots` was made: a stop changes it all
    no_victims_ = false;
    for (std::uint32_t task = 0; task < std::min(left, reservations_each()) && may_reserve(); ++task) {
        if (item_->standing.lasting && task > 0) break;
        if (stops_before != plan_.stops.size()) slots = slots_on_all(false);
        stops_before = plan_.stops.size();
        TaskSlot* earliest = earliest_of(slots);
        TaskSlot slot = earliest ? *earliest : TaskSlot{};
        if (push_for(slot)) pushing = true;
        if (slot.from >= never) break;
        reserve_at(slot.place, first_task + task, slot.from, item_->standing.lasting ? never : slot.finish);
        ++reservations_made_;
        // A reservation changes the slots of its own worker only.
        if (earliest && stops_before == plan_.stops.size()) *earliest = slot_on(earliest->place, false);
    }
    return pushing ? Reason::pushing : waiting_reason(like);
}

// Stops what the slot needs out of its way, if its time has come; or looks for a slot that stops give sooner, which
// then replaces it. Returns whether runs are pushed out.
bool PlanMaker::push_for(TaskSlot& slot) {
    if (slot.push.empty()) {
        TaskSlot pushed = push_out(slot);
        if (pushed.from >= never) return false;
        slot = pushed;
        return true;
    }
    if (slot.from > now_ + stop_time() + settings_.push_early) return false;
    if (plan_.stops.size() + slot.push.size() > settings_.stops_most) return false;
    for (const PlanRun* run : slot.push)
        stop(slot.place, *run);
    return true;
}

// Why the item's tasks wait, by what was seen on the workers.
Reason PlanMaker::waiting_reason(const Failed* like) {
    if (item_->earliest > now_) return Reason::due_time;
    if (seen_.reserved) return Reason::reservation;
    if (like) return like->reason;
    if (!seen_.suitable) {
        look_for_suitable();
        if (!seen_.suitable) return Reason::label;
    }
    if (seen_.apart) return Reason::apart;
    return seen_.trust ? Reason::trust : Reason::room;
}

}  // namespace calicostall
