// Whether a worker may get a task of the present item, and whether the task fits there now.
#include "control/plan/planner/plan_builder.hpp"

namespace calicostall {

/// How many times its usual duration the item takes on a worker.
double PlanBuilder::duration_factor(const PlanWorker& worker) const {
    const bool is_remote = item_->affinity && !worker.has_label(item_->affinity);
    const double factor = is_remote ? settings_.remote_factor : 1;
    return worker.slowdown > settings_.slow_threshold ? factor * worker.slowdown : factor;
}

Micros PlanBuilder::duration_on(const PlanWorker& worker) const {
    return Micros(double(item_->expected_duration) * duration_factor(worker));
}

/// How many tasks of the item's step are on a worker, those of this plan included.
std::uint32_t PlanBuilder::tasks_on_worker(std::uint32_t worker_index) const {
    std::uint32_t count = 0;
    for (const auto& [other, tasks] : item_->tasks_per_worker)
        if (other == worker_index) count += tasks;
    if (auto found = tasks_by_worker_.find({item_->id, worker_index}); found != tasks_by_worker_.end())
        count += found->second;
    return count;
}

/// Whether a worker may get a task of the item at all, whatever its load. Enters in `observations_` what stands against
/// it.
bool PlanBuilder::is_suitable(std::uint32_t worker_index) {
    const PlanWorker& worker = view_.fleet.at(worker_index);
    if (!worker.is_schedulable || !worker.has_label(item_->required_label)) return false;
    if (!worker.capacity.can_fit(item_->resources)) return false;
    observations_.any_suitable = true;
    const auto& excluded = item_->excluded_workers;
    const bool is_excluded = std::find(excluded.begin(), excluded.end(), worker_index) != excluded.end();
    if (is_excluded || (item_->anti_affinity && tasks_on_worker(worker_index) >= item_->anti_affinity)) {
        observations_.any_anti_affinity = true;
        return false;
    }
    const bool is_reliable = worker.reliability >= settings_.min_reliability && (!worker.is_paused || is_starved_);
    const bool is_limited = worker.max_runs && !is_starved_;
    const size_t run_count = worker.runs.size() + worker_states_[worker_index].allocations.size();
    if (!is_reliable || (is_limited && run_count >= worker.max_runs)) {
        observations_.any_unreliable = true;
        return false;
    }
    return true;
}

/// Looks at all workers of the service, for `observations_` alone.
void PlanBuilder::check_all_workers() {
    view_.fleet.for_each_candidate(item_->service, {}, [&](std::uint32_t worker_index) { is_suitable(worker_index); });
}

PlanBuilder::Fit PlanBuilder::fit_now(std::uint32_t worker_index) {
    if (!free_resources(worker_index).can_fit(item_->resources) || !is_suitable(worker_index)) return Fit::no;
    if (!worker_states_[worker_index].has_reservation || is_starved_) return Fit::yes;
    const Micros duration = duration_on(view_.fleet.at(worker_index));
    const Timeline& line = timeline(worker_index);
    if (line.fits(item_->resources, now_, now_ + duration)) return Fit::yes;
    if (may_be_preempted_later(worker_index, line, duration)) return Fit::backfill;
    observations_.any_reserved = true;
    return Fit::no;
}

/// What may be preempted again starts in a gap too, if it gets a fair part of its time before, and if preempting it
/// will then cost less than it saves.
bool PlanBuilder::may_be_preempted_later(std::uint32_t worker_index, const Timeline& line, Micros duration) const {
    if (!item_->has_checkpoints || !item_->is_preemptable || item_->is_gang) return false;
    const Micros until = line.fits_until(item_->resources, now_);
    const Micros gap = until - now_;
    if (gap < expected_stop_time() + settings_.preemption_lead) return false;
    if (double(gap) < settings_.ratio_run * double(duration)) return false;
    const std::int64_t cpu = item_->resources.cpu + backfilled_cpu(worker_index);
    const double waste = double(cpu) * double(settings_.restore_time + expected_stop_time());
    const double time_left = double(now_ + duration - until);
    for (const Allocation& allocation : worker_states_[worker_index].allocations) {
        if (!allocation.is_reservation || allocation.from >= now_ + duration || allocation.until <= until) continue;
        if (allocation.cannot_preempt || !outranks(allocation.static_points, points_)) return false;
        if (waste > settings_.max_waste * double(allocation.resources.cpu) * time_left) return false;
        if (time_left < settings_.ratio_remaining * double(gap)) return false;
    }
    return true;
}

/// The processors, in thousandths of a core, of all that was started into gaps on a worker: it would be preempted
/// together.
std::int64_t PlanBuilder::backfilled_cpu(std::uint32_t worker_index) const {
    std::int64_t cpu = 0;
    for (const PlanRun& run : view_.fleet.at(worker_index).runs)
        cpu += run.backfill ? run.resources.cpu : 0;
    for (const Allocation& allocation : worker_states_[worker_index].allocations)
        cpu += allocation.backfill ? allocation.resources.cpu : 0;
    return cpu;
}

}  // namespace calicostall
