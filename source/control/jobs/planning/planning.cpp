#include "control/jobs/planning/planning.hpp"

namespace calicostall {

namespace {

RunRecord* find_run(WorkerRecord& worker, std::uint64_t serial_number) {
    for (auto& [id, record] : worker.runs)
        if (record.serial_number == serial_number) return &record;
    return nullptr;
}

/// Whether the worker has as many tasks of the step as anti-affinity allows. A step's tasks may be several items, which
/// don't know of each other within one plan.
bool is_anti_affinity_exhausted(const JobRecord& record, const Occurrence& occurrence, std::uint32_t step,
                                const std::string& worker_id) {
    const Step& step_spec = record.job.definition.spec.steps[step];
    if (!step_spec.anti_affinity || step_spec.gang) return false;
    std::uint32_t count = 0;
    for (const Task& task : occurrence.steps[step].tasks)
        for (const Placement& placement : task.placements)
            count += record.job.status.incarnations[placement.worker_index].worker_id == worker_id;
    return count >= step_spec.anti_affinity;
}

}  // namespace

Planning::Planning(SchedulerState& state)
    : state_(state), fleet_view_(state, names_, clock_), item_view_(state, names_, fleet_view_, clock_) {}

PlanOutcome Planning::plan(Micros now, Micros wall_clock, const StartRun& start, const PreemptRun& preempt) {
    synchronize(now, wall_clock);
    if (items().empty()) {
        resume_from_.reset();
        return {};
    }
    item_view_.advance(now);
    fleet_view_.advance_demand(now);
    const Plan plan =
        make_plan({state_.settings.planner, items(), fleet(), demand(), state_.min_priority(), now, resume_from_});
    const std::uint64_t operations = plan.items_examined + plan.evaluations;
    state_.operation_count += operations;
    resume_from_ = plan.resume_from;
    execute_stops(plan, preempt);
    const bool has_conflicts = execute_starts(plan, start);
    return {!plan.is_incomplete, has_conflicts, operations};
}

void Planning::clear() {
    resume_from_.reset();
    item_view_.clear();
    fleet_view_.clear();
}

void Planning::synchronize(Micros now, Micros wall_clock) {
    if (clock_.synchronize(now, wall_clock))
        state_.dirty_steps.insert(state_.ready_steps.begin(), state_.ready_steps.end());
    for (const std::string& worker_id : std::exchange(state_.dirty_workers, {}))
        fleet_view_.update_worker(worker_id, now);
    fleet_view_.update_health(now);
    for (const StepKey& key : std::exchange(state_.dirty_steps, {}))
        item_view_.update_step(key, now);
}

void Planning::execute_stops(const Plan& plan, const PreemptRun& preempt) const {
    for (const Stop& stop : plan.stops) {
        WorkerRecord* worker = fleet_view_.at(stop.worker).record;
        RunRecord* run = worker ? find_run(*worker, stop.run) : nullptr;
        if (run) preempt(*worker, *run);
    }
}

/// Returns whether a start was left out as another item of the same step has taken its place within this plan.
bool Planning::execute_starts(const Plan& plan, const StartRun& start) {
    bool has_conflicts = false;
    for (const Start& each : plan.starts) {
        const ItemTasks* item = item_view_.find(each.item);
        if (!item) continue;
        const StepKey& step = item->step;
        JobRecord& record = state_.jobs.at(step.job);
        Occurrence* occurrence = record.job.find_occurrence(step.occurrence);
        const PlannedWorker& worker = fleet_view_.at(each.worker);
        if (!occurrence || !worker.record || each.task >= item->tasks.size()) continue;
        if (is_anti_affinity_exhausted(record, *occurrence, step.step, worker.worker_id)) {
            state_.dirty_steps.insert(step);
            has_conflicts = true;
            continue;
        }
        const bool is_first = each.task == 0;
        start({record, *occurrence, step.step, item->tasks[each.task], *worker.record, is_first}).is_backfill =
            each.backfill;
    }
    return has_conflicts;
}

}  // namespace calicostall
