#include "preview/simulation/snapshot_loader.hpp"

#include "preview/simulation/estimates.hpp"

namespace calicostall {

namespace {

std::vector<ProjectedStep> steps_of(const SnapshotJob& job, const SnapshotOccurrence& occurrence) {
    std::vector<ProjectedStep> steps(job.steps.size());
    for (size_t step = 0; step < occurrence.steps.size(); ++step)
        for (const SnapshotTaskRange& range : occurrence.steps[step]) {
            ProjectedTask task;
            task.is_done = range.is_done;
            task.failures = range.failures;
            steps[step].tasks.insert(steps[step].tasks.end(), range.count, task);
            if (!range.is_done) steps[step].unfinished += range.count;
        }
    return steps;
}

}  // namespace

void SnapshotLoader::load() {
    load_config();
    load_jobs();
    load_workers();
    schedule_changes();
}

void SnapshotLoader::load_config() {
    Findings ignored;
    if (state_.change.config)
        state_.config = *state_.change.config;
    else if (!state_.snapshot.config_text.empty())
        state_.config = parse_config(state_.snapshot.config_text, ignored);
    state_.most_urgent_priority = std::numeric_limits<std::int64_t>::max();
    for (const Queue& queue : state_.config.queues)
        state_.most_urgent_priority = std::min(state_.most_urgent_priority, queue.priority);
}

void SnapshotLoader::load_jobs() {
    for (std::uint32_t index = 0; index < state_.snapshot.jobs.size(); ++index)
        load_job(index);
    for (const SnapshotDemand& each : state_.snapshot.recent_demand)
        state_.demand.restore(state_.names.intern(each.service), each.priority, double(each.cpu), double(each.memory));
}

void SnapshotLoader::load_job(std::uint32_t index) {
    const SnapshotJob& recorded = state_.snapshot.jobs[index];
    const Queue* queue = state_.config.find_exact(recorded.host, recorded.prefix);
    ProjectedJob job;
    job.snapshot_job = &recorded;
    job.service = state_.names.intern(queue ? queue->service : recorded.service);
    job.priority = queue ? queue->priority : recorded.priority;
    job.max_attempts = queue ? queue->max_attempts : recorded.max_attempts;
    const double extension = queue ? queue->extension : double(recorded.extension_thousandths) / 1000;
    const Micros target = queue ? queue->target : recorded.target;
    job.latency_target = Micros(extension * double(critical_path(recorded))) + target;
    job.next_occurrence = recorded.next_occurrence;
    for (const SnapshotOccurrence& occurrence : recorded.occurrences)
        job.occurrences[occurrence.number] = steps_of(recorded, occurrence);
    state_.jobs.push_back(std::move(job));
    state_.job_index_by_id[recorded.id] = index;
    for (const SnapshotFailedTask& failed : recorded.failed_tasks) {
        const TaskKey key{index, failed.occurrence, failed.step, failed.task_index};
        state_.failed_nodes[key].insert(failed.nodes.begin(), failed.nodes.end());
    }
    schedule_next_occurrence(state_, index);
}

void SnapshotLoader::load_workers() {
    for (const SnapshotWorker& recorded : state_.snapshot.workers)
        workers_.add(recorded);
    for (size_t worker = 0; worker < state_.snapshot.workers.size(); ++worker)
        for (const SnapshotRun& run : state_.snapshot.workers[worker].runs)
            load_run(worker, run);
    for (const auto& [id, run] : state_.runs)
        runs_.align_gang_end(run.gang_id);
    record_duplicates();
    for (size_t worker = 0; worker < state_.workers.size(); ++worker)
        schedule_shutdown(worker);
}

void SnapshotLoader::schedule_shutdown(size_t worker) {
    const SnapshotWorker& recorded = state_.workers[worker].snapshot;
    if ((recorded.is_placeholder || recorded.is_unresponsive) && !recorded.runs.empty())
        state_.events.schedule(
            {state_.snapshot_at + recorded.lease_expires_in, SimulationEventKind::worker_lease_expires, worker});
    if (recorded.shuts_down_in < 0) return;
    const Micros shutdown_at = state_.snapshot_at + recorded.shuts_down_in;
    state_.events.schedule({shutdown_at, SimulationEventKind::worker_shuts_down, worker});
    workers_.preempt_before_shutdown(worker, shutdown_at);
}

void SnapshotLoader::load_run(size_t worker, const SnapshotRun& recorded) {
    const SnapshotWorker& on = state_.workers[worker].snapshot;
    ProjectedRun run;
    run.worker = worker;
    run.resources = {recorded.cpu, recorded.memory, recorded.gpu};
    run.was_running = true;
    run.service = state_.names.intern(on.service);
    run.priority = recorded.priority;
    run.is_stopping = recorded.state == SnapshotRunState::stopping;
    run.is_backfill = recorded.is_backfill;
    run.started_at = state_.snapshot_at - std::max<Micros>(recorded.since_order, 0);
    auto job = state_.job_index_by_id.find(recorded.job_id);
    run.is_of_unknown_job =
        job == state_.job_index_by_id.end() || !state_.jobs[job->second].occurrences.contains(recorded.occurrence);
    if (!run.is_of_unknown_job) {
        run.key = {job->second, recorded.occurrence, recorded.step, recorded.task_index};
        set_job_details(run, recorded);
    }
    if (run.is_stopping) run.ends_at = state_.snapshot_at + state_.stop_duration();
    const bool in_doubt = on.is_placeholder || on.is_unresponsive;
    if (!run.is_of_unknown_job) recorder_.record_running(run, in_doubt);
    if (recorded.may_have_copy && !run.is_of_unknown_job) state_.tasks_with_copy.insert(run.key);
    const std::uint64_t id = runs_.begin(run);
    // A run in doubt may still execute, but its end is unknown.
    if (in_doubt) runs_.clear_end(id);
}

void SnapshotLoader::set_job_details(ProjectedRun& run, const SnapshotRun& recorded) {
    const Step& spec = state_.step_spec(run.key);
    if (!spec.long_running) run.ends_at = end_of(run, recorded);
    if (spec.gang) run.gang_id = gang_of(run.key, recorded.run_number);
    run.is_copy = recorded.may_have_copy;
}

Micros SnapshotLoader::end_of(const ProjectedRun& run, const SnapshotRun& recorded) const {
    // As the daemons estimate it: an overdue run takes a quarter of its time longer.
    constexpr std::int64_t min_percent = 10;
    constexpr Micros min_overdue = milliseconds(20);
    Micros expected = expected_duration(state_, state_.jobs[run.key.job_index], run.key.step, run.worker);
    if (recorded.progress_percent >= min_percent && recorded.progress_after > 0)
        expected = recorded.progress_after * 100 / recorded.progress_percent;
    if (run.started_at + expected > state_.snapshot_at) return run.started_at + expected;
    const Micros elapsed = std::max<Micros>(recorded.since_order, 0);
    return state_.snapshot_at + std::max<Micros>(min_overdue, elapsed / 4);
}

void SnapshotLoader::record_duplicates() {
    for (const auto& [key, ids] : state_.live_runs)
        if (ids.size() > 1) recorder_.record_duplicate(key, 0, state_.step_spec(key).duplicate_ok);
}

void SnapshotLoader::schedule_changes() {
    for (size_t index = 0; index < state_.change.workers.size(); ++index) {
        const WorkerChange& change = state_.change.workers[index];
        const Micros at = state_.snapshot_at + change.after;
        if (change.kind == WorkerChangeKind::join) {
            state_.events.schedule({at, SimulationEventKind::worker_joins, index});
            continue;
        }
        const SimulationEventKind kind = change.kind == WorkerChangeKind::drain
                                             ? SimulationEventKind::worker_drains
                                             : SimulationEventKind::worker_shuts_down;
        for (size_t worker = 0; worker < state_.workers.size(); ++worker)
            if (state_.workers[worker].snapshot.worker_id == change.worker_name)
                state_.events.schedule({at, kind, worker});
    }
}

std::uint64_t SnapshotLoader::gang_of(const TaskKey& key, std::uint32_t run) {
    auto [found, is_new] = gangs_.try_emplace({key.job_index, key.occurrence, key.step, run}, state_.next_gang_id);
    if (is_new) ++state_.next_gang_id;
    return found->second;
}

void schedule_next_occurrence(SimulationState& state, std::uint32_t job_index) {
    const ProjectedJob& job = state.jobs[job_index];
    if (job.snapshot_job->repeats == 0 || job.next_occurrence >= job.snapshot_job->repeats) return;
    const Micros due = job.snapshot_job->first_at + Micros(job.next_occurrence) * job.snapshot_job->interval;
    state.events.schedule({std::max(due, state.snapshot_at), SimulationEventKind::occurrence_due, job_index});
}

}  // namespace calicostall
