#include "preview/simulation/plan_executor.hpp"

#include "preview/simulation/estimates.hpp"

namespace calicostall {

PlanEffect PlanExecutor::plan() {
    if (pending_.empty()) return {};
    return execute(run_planner());
}

PlanEffect PlanExecutor::first_plan() {
    if (pending_.empty()) return {};
    Plan plan = run_planner();
    record_wait_reasons(plan.unplaced);
    return execute(plan);
}

Plan PlanExecutor::run_planner() {
    pending_.advance();
    state_.demand.advance(state_.now);
    Plan plan = planner_(PlanView{state_.planner_settings, pending_.items(), state_.fleet, state_.demand,
                                  state_.most_urgent_priority, state_.now, resume_position_});
    ++state_.forecast.plan_count;
    resume_position_ = plan.resume_from;
    return plan;
}

PlanEffect PlanExecutor::execute(const Plan& plan) {
    for (const Stop& each : plan.stops)
        stop_run(each);
    start_runs(plan.starts);
    return {!plan.starts.empty() || !plan.stops.empty(), plan.is_incomplete};
}

void PlanExecutor::record_wait_reasons(const std::vector<UnplacedItem>& unplaced) {
    for (const UnplacedItem& each : unplaced) {
        const PendingItem* item = pending_.find(each.item);
        if (!item) continue;
        for (const TaskKey& key : pending_.tasks_of(*item))
            recorder_.record_wait_reason(key, each.reason);
    }
}

void PlanExecutor::stop_run(const Stop& planned) {
    auto worker = state_.worker_by_fleet_index.find(planned.worker);
    auto run = state_.runs.find(planned.run);
    if (worker == state_.worker_by_fleet_index.end() || run == state_.runs.end()) return;
    if (run->second.worker != worker->second) return;
    std::string preempted_by;
    if (const PendingItem* item = pending_.find(planned.preempting_item))
        preempted_by = fmt::format("{}.{}.{}", state_.jobs[item->job].snapshot_job->id, item->occurrence, item->step);
    std::set<std::uint64_t> ids{planned.run};
    if (run->second.gang_id) ids = state_.runs_by_gang[run->second.gang_id];
    for (std::uint64_t id : ids)
        if (!state_.runs.at(id).is_stopping) runs_.stop(id, preempted_by);
}

void PlanExecutor::start_runs(const std::vector<Start>& starts) {
    std::map<std::uint64_t, std::uint64_t> gangs;  // by item
    std::set<PendingItem> changed_items;
    for (const Start& each : starts) {
        const PendingItem* item = pending_.find(each.item);
        auto worker = state_.worker_by_fleet_index.find(each.worker);
        if (!item || worker == state_.worker_by_fleet_index.end()) continue;
        start_run(*item, each, worker->second, gangs[each.item]);
        changed_items.insert(*item);
    }
    for (const auto& [item, gang] : gangs)
        runs_.align_gang_end(gang);
    for (const PendingItem& item : changed_items)
        pending_.refresh_step(item.job, item.occurrence, item.step);
}

void PlanExecutor::start_run(const PendingItem& item, const Start& planned, size_t worker, std::uint64_t& gang) {
    const TaskKey key = pending_.task_of(item, planned.task);
    const Step& spec = state_.step_spec(key);
    ProjectedRun run = make_run(key, planned, worker);
    if (spec.gang) {
        if (!gang) gang = state_.next_gang_id++;
        run.gang_id = gang;
    }
    run.is_copy = item.single_task && state_.tasks_with_copy.contains(key) && state_.task(key).live_runs == 1;
    recorder_.record_placement(run);
    runs_.begin(run);
    const ProjectedTask& task = state_.task(key);
    if (task.live_runs > 1 || task.is_done)
        recorder_.record_duplicate(key, state_.since_snapshot(state_.now), spec.duplicate_ok && !task.is_done);
}

ProjectedRun PlanExecutor::make_run(const TaskKey& key, const Start& planned, size_t worker) const {
    // A resumed run takes at least a twentieth of its duration, whatever its checkpoint keeps.
    constexpr Micros min_duration_divisor = 20;
    const ProjectedJob& job = state_.jobs[key.job_index];
    const Step& spec = state_.step_spec(key);
    ProjectedRun run;
    run.key = key;
    run.worker = worker;
    run.started_at = state_.now;
    run.checkpointed_work = state_.task(key).checkpointed_work;
    run.resources = {spec.cpu, spec.memory, spec.gpu};
    run.service = job.service;
    run.priority = job.priority;
    run.is_backfill = planned.backfill;
    if (spec.long_running) return run;
    Micros duration = expected_duration(state_, job, key.step, worker);
    if (run.checkpointed_work > 0)
        duration = std::max<Micros>(duration / min_duration_divisor, duration - run.checkpointed_work) +
                   state_.planner_settings.restore_time;
    run.ends_at = state_.now + duration;
    return run;
}

}  // namespace calicostall
