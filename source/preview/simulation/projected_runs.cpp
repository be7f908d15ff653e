#include "preview/simulation/projected_runs.hpp"

#include "preview/simulation/estimates.hpp"

namespace calicostall {

std::uint64_t ProjectedRuns::begin(ProjectedRun run) {
    const std::uint64_t id = state_.next_run_id++;
    const ProjectedWorker& worker = state_.workers[run.worker];
    if (worker.is_in_fleet) {
        state_.fleet.begin_run(worker.fleet_index, make_plan_run(id, run));
        state_.demand.add(run.service, run.priority, run.resources);
    }
    if (!run.is_of_unknown_job) {
        state_.live_runs[run.key].insert(id);
        state_.task(run.key).live_runs++;
    }
    if (run.ends_at != no_end) state_.events.schedule(run.end_event(id));
    if (run.gang_id) state_.runs_by_gang[run.gang_id].insert(id);
    state_.runs.emplace(id, run);
    return id;
}

PlanRun ProjectedRuns::make_plan_run(std::uint64_t id, const ProjectedRun& run) const {
    PlanRun planned;
    planned.id = id;
    planned.resources = run.resources;
    planned.started_at = run.started_at;
    planned.expected_end = run.ends_at;
    planned.gang_id = run.gang_id;
    planned.is_stopping = run.is_stopping;
    planned.backfill = run.is_backfill;
    planned.is_preemptable = false;
    if (run.is_of_unknown_job) return planned;
    const Step& spec = state_.step_spec(run.key);
    planned.scheduling_priority = scheduling_priority_of(state_.jobs[run.key.job_index], run.key.step);
    planned.has_checkpoints = spec.checkpoints;
    planned.is_preemptable = !run.is_stopping && !spec.long_running;
    return planned;
}

void ProjectedRuns::clear_end(std::uint64_t id) {
    ProjectedRun& run = state_.runs.at(id);
    state_.events.cancel(run.end_event(id));
    run.ends_at = no_end;
    recorder_.record_end_change(run);
}

void ProjectedRuns::set_end(std::uint64_t id, Micros at, bool stopping) {
    ProjectedRun& run = state_.runs.at(id);
    state_.events.cancel(run.end_event(id));
    run.ends_at = at;
    run.is_stopping = stopping;
    if (at != no_end) state_.events.schedule(run.end_event(id));
    const ProjectedWorker& worker = state_.workers[run.worker];
    if (PlanRun* planned = worker.is_in_fleet ? state_.fleet.find_run(worker.fleet_index, id) : nullptr) {
        planned->expected_end = at;
        planned->is_stopping = stopping;
    }
    recorder_.record_end_change(run);
}

void ProjectedRuns::align_gang_end(std::uint64_t gang) {
    if (!gang) return;
    const std::set<std::uint64_t> members = state_.runs_by_gang[gang];
    Micros last = 0;
    for (std::uint64_t id : members)
        last = std::max(last, state_.runs.at(id).ends_at);
    for (std::uint64_t id : members) {
        const ProjectedRun& run = state_.runs.at(id);
        if (!run.is_stopping && run.ends_at != last) set_end(id, last, false);
    }
}

void ProjectedRuns::remove(std::uint64_t id) {
    const ProjectedRun run = state_.runs.at(id);
    state_.events.cancel(run.end_event(id));
    const ProjectedWorker& worker = state_.workers[run.worker];
    if (worker.is_in_fleet) {
        state_.fleet.end_run(worker.fleet_index, id);
        state_.demand.remove(run.service, run.priority, run.resources);
    }
    if (run.gang_id) state_.runs_by_gang[run.gang_id].erase(id);
    if (!run.is_of_unknown_job) {
        state_.task(run.key).live_runs--;
        std::set<std::uint64_t>& live = state_.live_runs[run.key];
        live.erase(id);
        if (live.empty()) state_.live_runs.erase(run.key);
    }
    state_.runs.erase(id);
}

void ProjectedRuns::complete(std::uint64_t id) {
    const ProjectedRun run = state_.runs.at(id);
    if (run.is_of_unknown_job) return remove(id);
    ProjectedStep& step = state_.step_of(run.key);
    std::set<std::uint64_t> ended{id};
    if (run.gang_id) ended.insert(state_.runs_by_gang[run.gang_id].begin(), state_.runs_by_gang[run.gang_id].end());
    for (std::uint64_t each : ended) {
        ProjectedTask& task = state_.task(state_.runs.at(each).key);
        step.unfinished -= !task.is_done;
        task.is_done = true;
        remove(each);
    }
    // The copies of a task that is done are stopped.
    if (auto others = state_.live_runs.find(run.key); others != state_.live_runs.end())
        for (std::uint64_t other : others->second)
            set_end(other, state_.now + state_.stop_duration(), true);
    state_.tasks_with_copy.erase(run.key);
    if (step.unfinished == 0)
        pending_.refresh_occurrence(run.key.job_index, run.key.occurrence);
    else
        pending_.refresh_step(run.key.job_index, run.key.occurrence, run.key.step);
}

void ProjectedRuns::terminate(std::uint64_t id) {
    const ProjectedRun run = state_.runs.at(id);
    remove(id);
    if (run.is_of_unknown_job || state_.task(run.key).is_done) return;
    if (state_.task(run.key).live_runs == 0)
        recorder_.record_pending_task(run.key, run.is_preempted ? "pushed aside" : "in doubt");
    pending_.refresh_step(run.key.job_index, run.key.occurrence, run.key.step);
}

void ProjectedRuns::mark_preempted(std::uint64_t id, const std::string& preempted_by) {
    ProjectedRun& run = state_.runs.at(id);
    if (run.is_stopping || run.is_of_unknown_job) return;
    run.is_preempted = true;
    const Micros interval = state_.planner_settings.checkpoint_every;
    const Micros worked = std::max<Micros>(0, state_.now - run.started_at);
    Micros checkpointed = 0;
    if (state_.step_spec(run.key).checkpoints && interval > 0) checkpointed = worked / interval * interval;
    ProjectedTask& task = state_.task(run.key);
    task.checkpointed_work = std::max(task.checkpointed_work, run.checkpointed_work + checkpointed);
    recorder_.record_preemption(run, checkpointed, preempted_by);
}

void ProjectedRuns::stop(std::uint64_t id, const std::string& preempted_by) {
    mark_preempted(id, preempted_by);
    set_end(id, state_.now + state_.stop_duration(), true);
}

}  // namespace calicostall
