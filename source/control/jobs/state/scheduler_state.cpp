#include "control/jobs/state/scheduler_state.hpp"

namespace calicostall {

namespace {

// The service that the configuration routes the job's queue to; empty where it has no such route.
std::string_view routed_service(const Config& config, const Job& job) {
    const Queue* queue = config.find_exact(job.definition.host, job.definition.prefix);
    return queue ? std::string_view(queue->service) : std::string_view();
}

// An ended job that can't be forgotten yet is looked at again after this time.
constexpr Micros expiry_retry_interval = seconds(1);

}  // namespace

SchedulerState::SchedulerState(SchedulerSettings settings) : settings(settings), history(this->settings.history_span) {}

void SchedulerState::clear() {
    jobs.clear();
    jobs_to_persist.clear();
    workers.clear();
    worker_by_node.clear();
    usage_by_service.clear();
    backlog.clear();
    ready_steps.clear();
    dirty_steps.clear();
    dirty_workers.clear();
    agents_to_notify.clear();
    priority_changes_due.clear();
    job_expiries.clear();
    straggler_checks_due.clear();
    history.clear();
    fleet_reliability.clear();
    config = Config{};
    term = Term{};
    placed_run_count = 0;
    open_job_count = 0;
}

// --- what a job's queue says ---

const Queue* SchedulerState::queue_of(const Job& job) const {
    return config.find_exact(job.definition.host, job.definition.prefix);
}

std::uint32_t SchedulerState::max_attempts(const Job& job) const {
    const Queue* queue = queue_of(job);
    return queue ? queue->max_attempts : job.definition.max_attempts;
}

const std::string& SchedulerState::service_of(const Job& job) const {
    const Queue* queue = queue_of(job);
    return queue ? queue->service : job.definition.service;
}

std::int64_t SchedulerState::min_priority() const {
    std::int64_t lowest = std::numeric_limits<std::int64_t>::max();
    for (const Queue& queue : config.queues)
        lowest = std::min(lowest, queue.priority);
    return lowest;
}

void SchedulerState::apply_config(const Config& next, Micros wall_clock) {
    const Config before = std::exchange(config, next);
    std::map<std::string, bool> has_moved;  // queue -> whether it has another service now
    for (auto& [id, record] : jobs) {
        if (!record.is_open) continue;
        update_scheduling_priority(record, wall_clock);
        auto [found, is_new] = has_moved.try_emplace(record.queue_name());
        if (is_new) found->second = routed_service(before, record.job) != routed_service(config, record.job);
        if (found->second) mark_ready_steps_dirty(record);
    }
    for (auto& [name, each] : backlog)
        for (const Queue& queue : config.queues)
            if (queue.host + "|" + queue.path_prefix == name) {
                each.service = queue.service;
                each.priority = queue.priority;
            }
    needs_plan = true;
}

// --- open jobs ---

void SchedulerState::open_job(JobRecord& record, Micros wall_clock) {
    if (record.is_open || record.job.has_ended()) return;
    record.is_open = true;
    ++open_job_count;
    const std::string name = record.queue_name();
    QueueBacklog& queue = backlog[name];
    queue.service = service_of(record.job);
    const double work = work_of(record, capacity_of(record.job)).core_seconds;
    mean_work.record(name, work);
    record.has_aging_boost = large_job_boosts.grants_boost(name, work);
    queue.priority = evaluate_priority(record, wall_clock).scheduling_priority.level;
    ++queue.open_jobs;
    for (const Occurrence& occurrence : record.job.status.occurrences)
        add_progress(record, occurrence);
    update_scheduling_priority(record, wall_clock);
}

void SchedulerState::schedule_expiry(const std::string& id) {
    job_expiries.emplace(now + settings.ended_job_retention(), id);
}

void SchedulerState::close_job(JobRecord& record) {
    if (!record.is_open) return;
    for (auto& [occurrence_number, steps] : record.progress)
        remove_steps(record, occurrence_number, steps);
    record.progress.clear();
    record.is_open = false;
    --open_job_count;
    --backlog[record.queue_name()].open_jobs;
}

std::vector<std::string> SchedulerState::remove_expired_jobs() {
    std::vector<std::string> removed;
    while (!job_expiries.empty() && job_expiries.begin()->first < now) {
        const std::string id = job_expiries.begin()->second;
        job_expiries.erase(job_expiries.begin());
        const auto found = jobs.find(id);
        if (found == jobs.end()) continue;
        // Nor while a change of it is under way: what is to follow its commit would never be done.
        if (found->second.job.has_placements() || found->second.is_dirty) {
            job_expiries.emplace(now + expiry_retry_interval, id);
            continue;
        }
        jobs.erase(found);
        removed.push_back(id);
    }
    return removed;
}

// --- the queues' history ---

void SchedulerState::record_arrival(const JobRecord& record) {
    if (!history.is_enabled()) return;
    for (std::uint32_t step = 0; step < record.job.definition.spec.steps.size(); ++step)
        history.record_arrival(record, step, durations.expected(record, step));
}

void SchedulerState::record_pending(Micros elapsed, Micros wall_clock) {
    if (!history.is_enabled()) return;
    for (const auto& [queue, each] : backlog)
        if (each.ready_tasks > 0) history.record_pending(queue, each.priority, each.ready_tasks, elapsed);
    history.write_finished_spans(wall_clock, config, [this] { return total_accelerators(); });
}

double SchedulerState::total_accelerators() const {
    double total = 0;
    for (const auto& [worker_id, worker] : workers)
        if (!worker.is_placeholder)
            total += double(worker.info.gpu) + double(worker.info.cpu) / 1000 / cores_per_accelerator;
    return total;
}

// --- what others are to look at again ---

void SchedulerState::mark_dirty(const WorkerRecord& worker) {
    dirty_workers.insert(worker.info.worker_id);
}

void SchedulerState::notify_agent(const WorkerRecord& worker) {
    if (!worker.node.empty()) agents_to_notify.insert(worker.node);
}

void SchedulerState::schedule_persist(JobRecord& record) {
    if (!record.is_dirty) jobs_to_persist.push_back(record.job.definition.id);
    record.is_dirty = true;
}

void SchedulerState::mark_ready_steps_dirty(const JobRecord& record) {
    for (const auto& [occurrence_number, steps] : record.progress)
        for (std::uint32_t step = 0; step < steps.size(); ++step)
            if (steps[step].is_listed) dirty_steps.insert({record.job.definition.id, occurrence_number, step});
}

}  // namespace calicostall
