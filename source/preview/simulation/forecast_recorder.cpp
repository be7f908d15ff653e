#include "preview/simulation/forecast_recorder.hpp"

#include "preview/simulation/feasibility.hpp"

namespace calicostall {

void ForecastRecorder::record_all_pending() {
    for (std::uint32_t job = 0; job < state_.jobs.size(); ++job)
        for (const auto& [number, steps] : state_.jobs[job].occurrences)
            record_pending_occurrence(job, number, {});
}

void ForecastRecorder::record_pending_occurrence(std::uint32_t job, std::uint64_t number,
                                                 const std::string& wait_reason) {
    const std::vector<ProjectedStep>& steps = state_.jobs[job].occurrences.at(number);
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        bool is_ready = state_.jobs[job].are_dependencies_done(steps, step);
        record_pending_step({job, number, step, 0}, !wait_reason.empty() ? wait_reason : is_ready ? "" : "dependency");
    }
}

void ForecastRecorder::record_pending_step(const TaskKey& first, const std::string& wait_reason) {
    const ProjectedJob& job = state_.jobs[first.job_index];
    std::string infeasible_because = infeasibility_reason(state_, job, first.step);
    std::vector<ProjectedTask>& tasks = state_.step_of(first).tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        ProjectedTask& task = tasks[index];
        if (task.is_done || task.live_runs > 0) continue;
        record_pending_task({first.job_index, first.occurrence, first.step, index}, wait_reason);
        std::string reason = task.failures >= job.max_attempts ? "attempts used up" : infeasible_because;
        if (reason.empty()) continue;
        TaskForecast& row = state_.forecast.tasks[*task.forecast_row];
        row.outcome = PlacementOutcome::infeasible;
        row.reason = reason;
    }
}

void ForecastRecorder::record_pending_task(const TaskKey& key, std::string wait_reason) {
    ProjectedTask& task = state_.task(key);
    if (task.forecast_row) return;
    task.forecast_row = state_.forecast.tasks.size();
    TaskForecast row;
    row.key = key;
    row.reason = std::move(wait_reason);
    state_.forecast.tasks.push_back(std::move(row));
}

void ForecastRecorder::record_wait_reason(const TaskKey& key, UnplacedReason reason) {
    const std::optional<size_t> row_index = state_.task(key).forecast_row;
    if (!row_index) return;  // a copy
    TaskForecast& row = state_.forecast.tasks[*row_index];
    if (row.outcome == PlacementOutcome::pending) row.reason = reason_text(reason);
}

void ForecastRecorder::record_running(ProjectedRun& run, bool in_doubt) {
    run.run_row = state_.forecast.running.size();
    const std::string& worker_id = state_.workers[run.worker].snapshot.worker_id;
    state_.forecast.running.push_back(
        {run.key, worker_id, state_.since_snapshot(run.ends_at), run.is_stopping, in_doubt});
}

void ForecastRecorder::record_placement(ProjectedRun& run) {
    std::vector<TaskForecast>& rows = state_.forecast.tasks;
    std::optional<size_t> listed = state_.task(run.key).forecast_row;
    if (!run.is_copy && listed && rows[*listed].outcome != PlacementOutcome::placed) run.task_row = listed;
    if (run.is_copy) {
        run.task_row = rows.size();
        rows.push_back({run.key, PlacementOutcome::pending, true, {}, -1, -1, {}});
    }
    if (!run.task_row) return;
    TaskForecast& row = rows[*run.task_row];
    row.outcome = PlacementOutcome::placed;
    row.worker = state_.workers[run.worker].snapshot.worker_id;
    row.starts_after = state_.since_snapshot(run.started_at);
    row.ends_after = state_.since_snapshot(run.ends_at);
    if (row.starts_after == 0) row.reason.clear();
}

void ForecastRecorder::record_end_change(const ProjectedRun& run) {
    Micros ends_after = state_.since_snapshot(run.ends_at);
    if (run.run_row) state_.forecast.running[*run.run_row].ends_after = ends_after;
    if (run.task_row && !run.is_stopping) state_.forecast.tasks[*run.task_row].ends_after = ends_after;
}

void ForecastRecorder::record_preemption(const ProjectedRun& run, Micros checkpointed,
                                         const std::string& preempted_by) {
    // An accelerator counts as eight cores.
    constexpr std::int64_t milli_cores_per_accelerator = 8000;
    const Step& spec = state_.step_spec(run.key);
    Preemption row;
    row.key = run.key;
    row.worker = state_.workers[run.worker].snapshot.worker_id;
    row.after = state_.since_snapshot(state_.now);
    row.was_running = run.was_running;
    row.preempted_by = preempted_by;
    double cores = double(spec.cpu + milli_cores_per_accelerator * spec.gpu) / 1000;
    Micros worked = std::max<Micros>(0, state_.now - run.started_at);
    row.lost_core_seconds = cores * double(worked - checkpointed) / 1e6;
    state_.forecast.preemptions.push_back(std::move(row));
}

void ForecastRecorder::record_duplicate(const TaskKey& key, Micros at, bool allowed) {
    state_.forecast.duplicate_runs.push_back({key, state_.worker_ids_of(state_.live_runs.at(key)), at, allowed});
}

void ForecastRecorder::finish() {
    // Runs in doubt and runs of lost workers are over once the lease has expired; until then their tasks are pending.
    std::vector<TaskForecast>& rows = state_.forecast.tasks;
    for (TaskForecast& row : rows)
        if (row.outcome != PlacementOutcome::placed && row.reason.empty()) row.reason = "room";
    auto order = [&](const TaskForecast& row) {
        return std::tuple(state_.jobs[row.key.job_index].priority, row.key, row.is_copy);
    };
    std::stable_sort(rows.begin(), rows.end(),
                     [&](const TaskForecast& left, const TaskForecast& right) { return order(left) < order(right); });
}

}  // namespace calicostall
