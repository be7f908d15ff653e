// Gangs: all members start at one time, or none.
#include "control/plan/planner/plan_builder.hpp"

namespace calicostall {

namespace {

constexpr size_t max_scanned_times = 16;  // so few times are tried one by one; of more, half are left out at each trial

}  // namespace

void PlanBuilder::plan_gang() {
    const Item& item = *item_;
    if (startable_tasks() < item.task_count) return add_unplaced(item.task_count, UnplacedReason::kept_for_urgent);
    const bool is_due = item.earliest_start <= now_;
    if (is_due && !find_similar_failure() && start_gang_now()) return;
    if (may_reserve()) {
        const GangSlot later = earliest_gang_slot(false);
        if (later.from < never) reserve_gang(later, later.duration);
    }
    if (!observations_.any_suitable) check_all_workers();
    if (!observations_.any_suitable) return add_unplaced(item.task_count, UnplacedReason::no_matching_worker);
    add_unplaced(item.task_count, is_due ? UnplacedReason::gang : UnplacedReason::due_time);
}

/// Starts the gang if it fits now. On more than one rack it takes `remote_factor` times as long: one rack later may end
/// it sooner, and is then reserved. Returns false if it doesn't fit now.
bool PlanBuilder::start_gang_now() {
    const Item& item = *item_;
    const GangSlot across_racks = find_gang_slot(now_, 0, false);
    GangSlot one_rack;
    if (item.prefers_same_rack) one_rack = find_gang_slot_on_one_rack(now_);
    if (one_rack.from < never) {
        start_gang(one_rack);
        return true;
    }
    if (across_racks.from >= never) return false;
    GangSlot later;
    if (item.prefers_same_rack && may_reserve() && !is_starved_) later = earliest_gang_slot(true);
    const Micros remote_duration = Micros(double(item.expected_duration) * settings_.remote_factor);
    if (later.from < never && later.from + item.expected_duration < now_ + remote_duration) {
        reserve_gang(later, item.expected_duration);
        add_unplaced(item.task_count, UnplacedReason::data_locality);
        return true;
    }
    start_gang(across_racks);
    return true;
}

/// How many members fit on a worker for `duration` from `at` on.
std::uint32_t PlanBuilder::members_that_fit(std::uint32_t worker_index, Micros at, Micros duration) {
    if (!is_suitable(worker_index)) return 0;
    ++plan_.evaluations;
    Resources free;
    if (at <= now_ && (!worker_states_[worker_index].has_reservation || is_starved_))
        free = free_resources(worker_index);
    else
        free = timeline(worker_index).min_free(at, at + duration);
    std::int64_t members = item_->task_count;
    const Resources& needed = item_->resources;
    if (needed.cpu > 0) members = std::min(members, free.cpu / needed.cpu);
    if (needed.memory > 0) members = std::min(members, free.memory / needed.memory);
    if (needed.gpu > 0) members = std::min(members, free.gpu / needed.gpu);
    if (item_->anti_affinity) members = std::min<std::int64_t>(members, item_->anti_affinity);
    if (view_.fleet.at(worker_index).max_runs) members = std::min<std::int64_t>(members, 1);
    return std::uint32_t(std::max<std::int64_t>(members, 0));
}

/// Where all members go at one time, on one rack or (0) on any; if they don't fit, it begins `never`.
PlanBuilder::GangSlot PlanBuilder::find_gang_slot(Micros at, NameId rack, bool many_racks) {
    const Item& item = *item_;
    Micros duration = item.expected_duration;
    if (item.prefers_same_rack && many_racks) duration = Micros(double(duration) * settings_.remote_factor);
    std::vector<GangCapacity> candidates;
    std::uint64_t sum = 0;
    auto add_candidate = [&](std::uint32_t worker_index) {
        const PlanWorker& worker = view_.fleet.at(worker_index);
        if (rack && worker.rack != rack) return;
        const Micros duration_there = Micros(double(duration) * duration_factor(worker));
        const std::uint32_t member_limit = members_that_fit(worker_index, at, duration_there);
        if (member_limit == 0) return;
        candidates.push_back({rank(worker_index), worker_index, member_limit, 0});
        sum += member_limit;
    };
    view_.fleet.for_each_candidate(item.service, at <= now_ ? item.resources : Resources{}, add_candidate);
    if (sum < item.task_count) return {};
    return {at, duration, assign_members(std::move(candidates))};
}

/// Each member goes to the worker with the highest rank, which is ranked anew after it. All members must fit together.
std::vector<std::uint32_t> PlanBuilder::assign_members(std::vector<GangCapacity> candidates) const {
    const Item& item = *item_;
    const bool is_urgent = item.scheduling_priority.level <= view_.urgent_level;
    std::make_heap(candidates.begin(), candidates.end());
    std::vector<std::uint32_t> members;
    while (members.size() < item.task_count) {
        std::pop_heap(candidates.begin(), candidates.end());
        GangCapacity& best = candidates.back();
        members.push_back(best.worker_index);
        const Resources& capacity = view_.fleet.at(best.worker_index).capacity;
        const double used_fraction =
            free_fraction(capacity, capacity) - free_fraction(capacity - item.resources, capacity);
        const double step = settings_.weight_load * used_fraction;
        best.rank += is_urgent ? -step : step;
        if (++best.assigned >= best.member_limit)
            candidates.pop_back();
        else
            std::push_heap(candidates.begin(), candidates.end());
    }
    return members;
}

std::set<NameId> PlanBuilder::racks() const {
    std::set<NameId> racks;
    view_.fleet.for_each_candidate(
        item_->service, {}, [&](std::uint32_t worker_index) { racks.insert(view_.fleet.at(worker_index).rack); });
    return racks;
}

/// The first rack on which all members fit at that time.
PlanBuilder::GangSlot PlanBuilder::find_gang_slot_on_one_rack(Micros at) {
    for (NameId rack : racks()) {
        GangSlot slot = find_gang_slot(at, rack, false);
        if (slot.from < never) return slot;
    }
    return {};
}

/// The times at which the free resources of some worker change, the item's earliest start before them.
std::vector<Micros> PlanBuilder::candidate_times() {
    std::vector<Micros> times{std::max(now_, item_->earliest_start)};
    view_.fleet.for_each_candidate(item_->service, {}, [&](std::uint32_t worker_index) {
        if (!is_suitable(worker_index)) return;
        for (const auto& [at, free] : timeline(worker_index).steps())
            if (at > times[0]) times.push_back(at);
    });
    std::sort(times.begin() + 1, times.end());
    times.erase(std::unique(times.begin(), times.end()), times.end());
    return times;
}

/// The first time at which all members fit together; of very many times some are tried.
PlanBuilder::GangSlot PlanBuilder::earliest_gang_slot(bool one_rack) {
    const std::vector<Micros> times = candidate_times();
    auto find_slot_at = [&](size_t index) {
        if (one_rack) return find_gang_slot_on_one_rack(times[index]);
        return find_gang_slot(times[index], 0, item_->prefers_same_rack);
    };
    size_t low = 0;
    size_t high = times.size();  // the answer lies in [low, high)
    GangSlot found;
    while (high - low > max_scanned_times) {
        const size_t middle = low + (high - low) / 2;
        GangSlot slot = find_slot_at(middle);
        if (slot.from < never) {
            found = std::move(slot);
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    for (size_t index = low; index < high; ++index) {
        GangSlot slot = find_slot_at(index);
        if (slot.from < never) return slot;
    }
    return found;
}

void PlanBuilder::start_gang(const GangSlot& slot) {
    for (std::uint32_t task = 0; task < slot.members.size(); ++task)
        start_task(slot.members[task], task, false);
}

void PlanBuilder::reserve_gang(const GangSlot& slot, Micros duration) {
    for (std::uint32_t task = 0; task < slot.members.size(); ++task)
        add_reservation(slot.members[task], task, slot.from, slot.from + duration);
    ++reservations_made_;
}

}  // namespace calicostall
