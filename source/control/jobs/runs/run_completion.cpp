#include "control/jobs/runs/run_completion.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

// Weights in a worker's running share of failures.
constexpr double done_weight = 0.12;
constexpr double failed_weight = 0.2;

const char* counter_of(RunOutcome outcome) {
    switch (outcome) {
        case RunOutcome::done:
            return "runs_done";
        case RunOutcome::failed:
            return "runs_failed";
        case RunOutcome::stopped:
            return "runs_stopped";
        case RunOutcome::lease_expired:
            return "runs_lapsed";
        case RunOutcome::gang_broken:
            return "runs_broken";
        case RunOutcome::gang_incomplete:
            return "runs_alone";
        case RunOutcome::lost:
            break;
    }
    return "runs_lost";
}

}  // namespace

JobRecord* RunCompletion::end_run(WorkerRecord& worker, const RunId& run_id, RunOutcome outcome,
                                  const std::string& checkpoint, Micros wall_clock, Micros now) {
    const auto found = state_.jobs.find(run_id.job);
    if (auto run = worker.runs.find(run_id); run != worker.runs.end() && found != state_.jobs.end()) {
        if (outcome == RunOutcome::done) straggler_detector_.on_run_done(worker, run->second, found->second, now);
        record_reliability(worker, found->second, run_id, outcome, now);
        state_.history.record_use(found->second, run->second, now);
    }
    state_.remove_run(worker, run_id);
    if (found == state_.jobs.end()) return nullptr;
    JobRecord& record = found->second;
    const bool had_ended = record.job.has_ended();
    if (!record.job.end_run(run_id, worker.info.worker_id, outcome, checkpoint, state_.max_attempts(record.job),
                            wall_clock))
        return nullptr;
    notify_run_ended(worker, record, run_id, outcome);
    counters().add(counter_of(outcome));
    state_.schedule_persist(record);
    if (record.job.has_ended()) {
        if (had_ended) return &record;
        on_job_changed(record);
        counters().add(record.job.status.outcome == JobOutcome::done ? "jobs_done" : "jobs_failed");
        return &record;
    }
    state_.on_task_changed(record, run_id.occurrence, run_id.step, run_id.index, wall_clock);
    if (outcome == RunOutcome::done) record.failed_nodes.erase({run_id.occurrence, run_id.step, run_id.index});
    const Step& step = record.job.definition.spec.steps[run_id.step];
    if (step.gang || step.duplicate_ok) stop_siblings(record, run_id);
    return &record;
}

// What an end says about the worker that made it: to fail what goes well elsewhere counts against it.
void RunCompletion::record_reliability(const WorkerRecord& worker, JobRecord& record, const RunId& run_id,
                                       RunOutcome outcome, Micros now) {
    if (outcome == RunOutcome::done) return state_.fleet_reliability.record(worker.node, false, done_weight, now);
    if (outcome != RunOutcome::failed) return;
    state_.fleet_reliability.record(worker.node, true, failed_weight, now);
    record.failed_nodes[{run_id.occurrence, run_id.step, run_id.index}].insert(worker.node);
}

void RunCompletion::notify_run_ended(const WorkerRecord& worker, const JobRecord& record, const RunId& run_id,
                                     RunOutcome outcome) const {
    if (!state_.notify) return;
    state_.notify({RunEvent::Kind::run_ended, 0, run_id.task_name(), worker.info.worker_id, record.queue_name(),
                   run_outcome_text(outcome), run_id.run});
}

// The other members of a gang's run, or the other copies of a task that is done.
void RunCompletion::stop_siblings(JobRecord& record, const RunId& run_id) {
    const bool is_gang = record.job.definition.spec.steps[run_id.step].gang;
    const RunId first{run_id.job, run_id.occurrence, run_id.step, is_gang ? 0 : run_id.index, 0};
    for (auto sibling = record.runs.lower_bound(first); sibling != record.runs.end(); ++sibling) {
        const auto& [other, worker] = *sibling;
        if (other.occurrence != run_id.occurrence || other.step != run_id.step) break;
        if (!is_gang && other.index != run_id.index) break;
        ++state_.operation_count;
        const bool is_member = is_gang && other.run <= run_id.run;
        const Task* task = record.job.find_task(other);
        const bool is_copy = other.index == run_id.index && task && task->is_done;
        if (!is_member && !is_copy) continue;
        if (auto run = worker->runs.find(other); run != worker->runs.end()) orders_.request_stop(*worker, run->second);
    }
}

void RunCompletion::on_job_changed(JobRecord& record) {
    state_.schedule_persist(record);
    if (!record.job.has_ended()) return;
    state_.close_job(record);
    const std::string& id = record.job.definition.id;
    if (state_.notify) state_.notify({RunEvent::Kind::job_ended, 0, id, {}, record.queue_name(), record.job.phase()});
    state_.schedule_expiry(id);
    stop_runs_of(record);
}

// The job has ended: nothing of it goes on.
void RunCompletion::stop_runs_of(JobRecord& record) {
    for (const auto& [run_id, worker] : record.runs)
        if (auto run = worker->runs.find(run_id); run != worker->runs.end()) orders_.request_stop(*worker, run->second);
}

void RunCompletion::end_all_runs(WorkerRecord& worker, RunOutcome outcome, Micros wall_clock, Micros now) {
    std::vector<RunId> run_ids;
    for (const auto& [run_id, run] : worker.runs)
        run_ids.push_back(run_id);
    for (const RunId& run_id : run_ids) {
        const auto found = worker.runs.find(run_id);
        if (found == worker.runs.end()) continue;
        const std::string checkpoint = found->second.checkpoint;
        end_run(worker, run_id, outcome, checkpoint, wall_clock, now);
    }
    worker.orders.clear();
    state_.needs_plan = true;
}

void RunCompletion::on_end_committed(const std::string& worker_id, std::uint64_t number) {
    const auto found = state_.workers.find(worker_id);
    if (found == state_.workers.end()) return;
    WorkerRecord& worker = found->second;
    std::map<std::uint64_t, bool>& ends = worker.unacknowledged_ends;
    ends[number] = true;
    while (!ends.empty() && ends.begin()->second) {
        worker.acknowledged_end = ends.begin()->first;
        ends.erase(ends.begin());
    }
    state_.notify_agent(worker);
}

}  // namespace calicostall
