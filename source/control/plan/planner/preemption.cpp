// Preemption: which runs may make way for the present item, what that loses, and which are stopped for it.
#include <cmath>

#include "control/plan/planner/plan_builder.hpp"

namespace calicostall {

namespace {

constexpr Micros max_time_saved = seconds(3600);  // time saved by a stop counts up to this

}  // namespace

/// Whether the one priority, in points, is as many times the other as preemption asks for.
bool PlanBuilder::outranks(double high, double low) const {
    return high - low >= std::log2(settings_.ratio_priority) * settings_.points_double;
}

/// The time after which the item would earn less than it can now; 0 if it can earn nothing.
Micros PlanBuilder::value_deadline() const {
    const SchedulingPriority& priority = item_->scheduling_priority;
    switch (value_class_of(priority, now_)) {
        case ValueClass::full:
            return priority.deadline;
        case ValueClass::reduced:
            return priority.is_long_running ? never : reduced_value_deadline(priority);
        case ValueClass::none:
            return 0;
    }
    return 0;
}

/// The static points of a run as it is now, its done part taken off.
double PlanBuilder::points_of(const PlanRun& run) const {
    SchedulingPriority priority = run.scheduling_priority;
    priority.critical_path = std::max<Micros>(0, priority.critical_path - (now_ - run.started_at));
    return static_points(settings_, priority, 0, now_);
}

/// Whether the ratios allow that a run makes way for this item.
bool PlanBuilder::may_preempt(const PlanRun& run) const {
    if (!run.is_preemptable || run.is_stopping || stopped_.contains(run.id)) return false;
    const double invested = double(std::max<Micros>(now_ - run.started_at, 0));
    const double remaining = double(estimated_end(run, now_) - now_);
    return remaining >= settings_.ratio_remaining * invested && outranks(points_, points_of(run));
}

/// What a stop loses: thousandths of a core times microseconds.
double PlanBuilder::waste_of(const PlanRun& run) const {
    Micros lost = now_ - run.started_at;
    if (run.has_checkpoints) lost = std::min(lost, settings_.restore_time);
    return double(run.resources.cpu) * double(lost + expected_stop_time());
}

void PlanBuilder::stop_run(std::uint32_t worker_index, const PlanRun& run) {
    plan_.stops.push_back({run.id, worker_index, item_->id});
    stopped_.insert(run.id);
    worker_states_[worker_index].timeline.reset();
}

/// Counts runs that were started into a gap as over when the gap ends, where that costs less than it saves: the slot
/// begins sooner then, and names them as its victims.
void PlanBuilder::advance_by_preemption(TaskSlot& slot, const Timeline& line, const PlanWorker& worker,
                                        Micros duration) {
    const Micros ready = now_ + expected_stop_time();
    if (slot.from <= ready || item_->earliest_start > now_) return;
    if (value_class_of(item_->scheduling_priority, now_) == ValueClass::none) return;
    if (plan_.stops.size() >= settings_.max_stops) return;
    std::vector<const PlanRun*> candidates = cheap_backfill_victims(worker);
    if (candidates.empty()) return;
    Timeline without_candidates = line;
    for (const PlanRun* run : candidates)
        without_candidates.release(run->resources, ready, release_time(*run));
    const Micros from = without_candidates.earliest_fit(item_->resources, duration, now_);
    if (from >= slot.from) return;
    std::sort(candidates.begin(), candidates.end(), [](const PlanRun* left, const PlanRun* right) {
        return std::pair(left->resources.cpu, left->id) < std::pair(right->resources.cpu, right->id);
    });
    Resources free = line.min_free(from, from + duration);
    double waste = 0;
    std::vector<const PlanRun*> victims;
    for (const PlanRun* run : candidates) {
        if (free.can_fit(item_->resources)) break;
        if (release_time(*run) <= from) continue;
        free += run->resources;
        waste += waste_of(*run);
        victims.push_back(run);
    }
    if (!free.can_fit(item_->resources)) return;
    const Micros time_saved = std::min(slot.from, now_ + max_time_saved) - from;
    if (waste > settings_.max_waste * double(item_->resources.cpu) * double(time_saved)) return;
    slot.from = from;
    slot.victims = std::move(victims);
}

/// Runs in gaps of a worker that may be preempted and lose little.
std::vector<const PlanRun*> PlanBuilder::cheap_backfill_victims(const PlanWorker& worker) const {
    std::vector<const PlanRun*> victims;
    for (const PlanRun& run : worker.runs) {
        const bool is_cheap = run.backfill && run.has_checkpoints && run.gang_id == 0;
        if (is_cheap && may_preempt(run)) victims.push_back(&run);
    }
    return victims;
}

/// Preempts runs where that loses least, if the item would otherwise come too late and so comes in time. Returns the
/// slot made so; without one, it begins `never`.
PlanBuilder::TaskSlot PlanBuilder::preempt(const TaskSlot& fallback) {
    TaskSlot none;
    if (has_no_victims_ || !is_preemption_useful(fallback)) return none;
    const std::optional<Victims> victims = cheapest_victims_of_all();
    has_no_victims_ = !victims;  // nor will there be any once more is reserved
    if (!victims) return none;
    const double max_waste = settings_.max_waste * double(item_->resources.cpu) * double(item_->expected_duration);
    if (victims->waste > max_waste) return none;
    if (plan_.stops.size() + victims->runs.size() > settings_.max_stops) return none;
    for (const auto& [worker_index, run] : victims->runs)
        stop_run(worker_index, *run);
    const Micros ready = now_ + expected_stop_time();
    return {victims->worker_index, ready, ready + item_->expected_duration, 0, {}};
}

/// Whether the item earns less in the slot that it gets without preemption, and doesn't with it.
bool PlanBuilder::is_preemption_useful(const TaskSlot& fallback) const {
    const Micros deadline = value_deadline();
    if (deadline == 0 || item_->earliest_start > now_ || plan_.stops.size() >= settings_.max_stops) return false;
    const Micros critical_path = item_->scheduling_priority.critical_path;
    const Micros ready = now_ + expected_stop_time();
    const bool is_needed = fallback.from >= never || fallback.from + critical_path > deadline;
    const bool is_in_time = deadline >= never || ready + critical_path <= deadline;
    return is_needed && is_in_time;
}

/// The victims that lose least, of all workers on which the item isn't slow and nothing is reserved.
std::optional<PlanBuilder::Victims> PlanBuilder::cheapest_victims_of_all() {
    std::optional<Victims> best;
    view_.fleet.for_each_candidate(item_->service, {}, [&](std::uint32_t worker_index) {
        if (!is_suitable(worker_index)) return;
        const PlanWorker& worker = view_.fleet.at(worker_index);
        if (duration_factor(worker) > 1 || worker_states_[worker_index].has_reservation) return;
        plan_.evaluations += 1 + worker.runs.size() / runs_per_evaluation;
        std::optional<Victims> victims = victims_on(worker_index, worker);
        if (victims && (!best || victims->waste < best->waste)) best = std::move(victims);
    });
    return best;
}

/// The runs of a worker that would make way for one task, with the other members of their gangs.
std::optional<PlanBuilder::Victims> PlanBuilder::victims_on(std::uint32_t worker_index, const PlanWorker& worker) {
    Resources free = free_resources(worker_index);
    for (const PlanRun& run : worker.runs)
        if (run.is_stopping || stopped_.contains(run.id)) free += run.resources;
    if (free.can_fit(item_->resources)) return std::nullopt;  // they come free without a further stop
    const std::vector<const PlanRun*> chosen = cheapest_victims(worker, free);
    if (chosen.empty()) return std::nullopt;
    Victims victims;
    victims.worker_index = worker_index;
    std::set<std::uint64_t> gangs;
    for (const PlanRun* run : chosen) {
        if (run->gang_id && !gangs.insert(run->gang_id).second) continue;
        if (!add_victim(victims, worker_index, *run)) return std::nullopt;
    }
    return victims;
}

/// Runs that together with what is `free` give the resources of one task, the cheapest first; empty if all that may be
/// preempted don't. What is free must not do alone.
std::vector<const PlanRun*> PlanBuilder::cheapest_victims(const PlanWorker& worker, Resources free) const {
    std::vector<const PlanRun*> candidates;
    for (const PlanRun& run : worker.runs)
        if (may_preempt(run)) candidates.push_back(&run);
    std::sort(candidates.begin(), candidates.end(), [&](const PlanRun* left, const PlanRun* right) {
        return std::pair(waste_of(*left), left->id) < std::pair(waste_of(*right), right->id);
    });
    std::vector<const PlanRun*> chosen;
    for (const PlanRun* run : candidates) {
        if (free.can_fit(item_->resources)) break;
        chosen.push_back(run);
        free += run->resources;
    }
    if (!free.can_fit(item_->resources)) return {};
    // Spare what turned out not to be needed, the dearest first.
    for (size_t index = chosen.size(); index-- > 0;) {
        if (!(free - chosen[index]->resources).can_fit(item_->resources)) continue;
        free -= chosen[index]->resources;
        chosen.erase(chosen.begin() + std::ptrdiff_t(index));
    }
    return chosen;
}

/// Adds a run; of a gang all members, as they are stopped together. Adds none, and returns false, if one of them may
/// not be preempted.
bool PlanBuilder::add_victim(Victims& victims, std::uint32_t worker_index, const PlanRun& run) const {
    if (run.gang_id == 0) {
        victims.runs.emplace_back(worker_index, &run);
        victims.waste += waste_of(run);
        return true;
    }
    const Fleet::GangMembers* gang = view_.fleet.gang_members(run.gang_id);
    if (!gang) return false;
    std::vector<PlacedRun> members;
    for (const auto& [other, id] : *gang)
        for (const PlanRun& member : view_.fleet.at(other).runs) {
            if (member.id != id) continue;
            if (!may_preempt(member)) return false;
            members.emplace_back(other, &member);
        }
    for (const PlacedRun& member : members) {
        victims.runs.push_back(member);
        victims.waste += waste_of(*member.second);
    }
    return true;
}

}  // namespace calicostall
