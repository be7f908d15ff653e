// Reservations: the earliest times at which tasks fit that don't fit now.
#include "control/plan/planner/plan_builder.hpp"

namespace calicostall {

namespace {

constexpr double item_reservations_divisor = 4;  // one item gets at most this part of a plan's reservations

/// The work on a worker before `until`: the share of its capacity in use, times microseconds.
double load_before(const Timeline& line, const PlanWorker& worker, Micros until) {
    double load = 0;
    const auto& steps = line.steps();
    for (size_t index = 0; index < steps.size() && steps[index].first < until; ++index) {
        const auto& [from, free] = steps[index];
        const Micros end = index + 1 < steps.size() ? std::min(until, steps[index + 1].first) : until;
        load += (1 - free_fraction(free, worker.capacity)) * double(end - from);
    }
    return load;
}

}  // namespace

void PlanBuilder::add_reservation(std::uint32_t worker_index, std::uint32_t task, Micros from, Micros until) {
    plan_.reservations.push_back({item_->id, task, worker_index, item_->resources, from, until});
    allocate(worker_index, from, until, true, false);
    worker_states_[worker_index].has_reservation = true;
    tasks_by_worker_[{item_->id, worker_index}]++;
}

/// The earliest slot of one task on a worker; without one, it begins `never`.
PlanBuilder::TaskSlot PlanBuilder::earliest_slot_on(std::uint32_t worker_index, bool near_data_only) {
    TaskSlot slot{worker_index, never, never, 0, {}};
    if (!is_suitable(worker_index)) return slot;
    const PlanWorker& worker = view_.fleet.at(worker_index);
    if (near_data_only && !worker.has_label(item_->affinity)) return slot;
    ++plan_.evaluations;
    const Micros duration = duration_on(worker);
    const Timeline& line = timeline(worker_index);
    slot.from = line.earliest_fit(item_->resources, duration, std::max(now_, item_->earliest_start));
    if (!near_data_only) advance_by_preemption(slot, line, worker, duration);
    if (slot.from < never) slot.finish = slot.from + duration;
    return slot;
}

/// The earliest slots of all workers on which there is one.
std::vector<PlanBuilder::TaskSlot> PlanBuilder::earliest_slots(bool near_data_only) {
    std::vector<TaskSlot> slots;
    view_.fleet.for_each_candidate(item_->service, {}, [&](std::uint32_t worker_index) {
        TaskSlot slot = earliest_slot_on(worker_index, near_data_only);
        if (slot.from < never) slots.push_back(std::move(slot));
    });
    return slots;
}

/// The slot in which one task ends first; of equal ones that of the worker with the least work before it. Null if there
/// is none.
PlanBuilder::TaskSlot* PlanBuilder::best_slot(std::vector<TaskSlot>& slots) {
    TaskSlot* best = nullptr;
    for (TaskSlot& slot : slots) {
        if (slot.from >= never || (best && slot.finish > best->finish)) continue;
        slot.load_before = load_before(timeline(slot.worker_index), view_.fleet.at(slot.worker_index), slot.from);
        if (!best || slot.is_better_than(*best)) best = &slot;
    }
    return best;
}

std::uint32_t PlanBuilder::max_reservations_per_item() const {
    return std::uint32_t(std::max(1.0, settings_.max_reservations / item_reservations_divisor));
}

bool PlanBuilder::may_reserve() const {
    return double(reservations_made_) < settings_.max_reservations && plan_.evaluations <= settings_.max_evaluations;
}

/// A task that fits away from its data now waits if a slot near it ends it sooner. Returns whether one is reserved.
bool PlanBuilder::reserve_near_data(std::uint32_t task) {
    if (!may_reserve() || item_->scheduling_priority.is_long_running) return false;
    const Micros remote_finish = now_ + Micros(double(item_->expected_duration) * settings_.remote_factor);
    std::vector<TaskSlot> slots = earliest_slots(true);
    const TaskSlot* slot = best_slot(slots);
    if (!slot || slot->finish >= remote_finish || slot->from <= now_) return false;
    add_reservation(slot->worker_index, task, slot->from, slot->finish);
    ++reservations_made_;
    return true;
}

/// Reserves the earliest feasible slots for the first tasks that didn't fit; runs are preempted where that earns more.
/// Returns why the tasks wait.
UnplacedReason PlanBuilder::reserve_tasks(std::uint32_t remaining, std::uint32_t first_task,
                                          const FailedItem* similar) {
    const bool is_long_running = item_->scheduling_priority.is_long_running;
    const std::uint32_t max_tasks = is_long_running ? 1 : std::min(remaining, max_reservations_per_item());
    bool is_preempting = false;
    std::vector<TaskSlot> slots;
    std::optional<size_t> stops_before;  // when `slots` was made: a stop changes them all
    has_no_victims_ = false;
    for (std::uint32_t task = 0; task < max_tasks && may_reserve(); ++task) {
        if (stops_before != plan_.stops.size()) slots = earliest_slots(false);
        stops_before = plan_.stops.size();
        TaskSlot* earliest = best_slot(slots);
        TaskSlot slot = earliest ? *earliest : TaskSlot{};
        if (preempt_for(slot)) is_preempting = true;
        if (slot.from >= never) break;
        add_reservation(slot.worker_index, first_task + task, slot.from, is_long_running ? never : slot.finish);
        ++reservations_made_;
        // A reservation changes the slots of its own worker only.
        if (earliest && stops_before == plan_.stops.size()) *earliest = earliest_slot_on(earliest->worker_index, false);
    }
    return is_preempting ? UnplacedReason::preempting : unplaced_reason(similar);
}

/// Stops what the slot needs out of its way, if its time has come; or looks for a slot that stops give sooner, which
/// then replaces it. Returns whether runs are preempted.
bool PlanBuilder::preempt_for(TaskSlot& slot) {
    if (slot.victims.empty()) {
        TaskSlot preemption_slot = preempt(slot);
        if (preemption_slot.from >= never) return false;
        slot = std::move(preemption_slot);
        return true;
    }
    if (slot.from > now_ + expected_stop_time() + settings_.preemption_lead) return false;
    if (plan_.stops.size() + slot.victims.size() > settings_.max_stops) return false;
    for (const PlanRun* run : slot.victims)
        stop_run(slot.worker_index, *run);
    return true;
}

/// Why the item's tasks wait, by what was seen on the workers.
UnplacedReason PlanBuilder::unplaced_reason(const FailedItem* similar) {
    if (item_->earliest_start > now_) return UnplacedReason::due_time;
    if (observations_.any_reserved) return UnplacedReason::reserved;
    if (similar) return similar->reason;
    if (!observations_.any_suitable) check_all_workers();
    if (!observations_.any_suitable) return UnplacedReason::no_matching_worker;
    if (observations_.any_anti_affinity) return UnplacedReason::anti_affinity;
    return observations_.any_unreliable ? UnplacedReason::unreliable_workers : UnplacedReason::insufficient_capacity;
}

}  // namespace calicostall
