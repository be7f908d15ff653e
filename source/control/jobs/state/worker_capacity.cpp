// Workers, the runs that take their capacity, and the usage of each service.
#include "control/jobs/state/scheduler_state.hpp"

namespace calicostall {

namespace {

// Whether everything that counts for the service or the planner is the same.
bool has_same_capacity(const WorkerInfo& left, const WorkerInfo& right) {
    return left.worker_id == right.worker_id && left.service == right.service && left.cpu == right.cpu &&
           left.memory == right.memory && left.gpu == right.gpu && left.labels == right.labels;
}

void add_usage(ServiceUsage& usage, const RunRecord& run, std::int64_t sign) {
    ServiceUsage::PriorityUsage& each = usage.by_priority[run.priority];
    each.cpu += sign * run.cpu;
    each.memory += sign * run.memory;
    each.runs += sign;
}

void update_free_capacity(WorkerRecord& worker) {
    worker.free_capacity = {worker.info.cpu - worker.cpu_used, worker.info.memory - worker.memory_used,
                            worker.info.gpu - worker.gpu_used};
}

}  // namespace

void SchedulerState::on_worker_info_changed(WorkerRecord& worker, const WorkerInfo& info) {
    if (worker.is_counted && has_same_capacity(worker.info, info)) {
        if (worker.info != info) worker.info = info;
        return;
    }
    uncount_worker(worker);
    worker.info = info;
    worker.is_counted = true;
    mark_dirty(worker);
    ServiceUsage& usage = usage_by_service[info.service];
    usage.capacity_cpu += info.cpu;
    usage.capacity_memory += info.memory;
    for (const auto& [run_id, run] : worker.runs)
        add_usage(usage, run, 1);
    update_free_capacity(worker);
}

void SchedulerState::uncount_worker(WorkerRecord& worker) {
    mark_dirty(worker);
    if (!worker.is_counted) return;
    ServiceUsage& usage = usage_by_service[worker.info.service];
    usage.capacity_cpu -= worker.info.cpu;
    usage.capacity_memory -= worker.info.memory;
    for (const auto& [run_id, run] : worker.runs)
        add_usage(usage, run, -1);
    worker.is_counted = false;
}

RunRecord& SchedulerState::add_run(WorkerRecord& worker, JobRecord& record, const RunId& run_id, RunState state,
                                   Micros now) {
    const Step& step = record.job.definition.spec.steps[run_id.step];
    const std::vector<std::string>& labels = worker.info.labels;
    RunRecord run;
    run.id = run_id;
    run.cpu = step.cpu;
    run.memory = step.memory;
    run.gpu = step.gpu;
    run.serial_number = ++last_serial_number;
    run.state = state;
    run.state_since = now;
    run.estimate = step.estimate;
    run.priority = record.job.definition.priority;
    run.is_remote = !step.affinity.empty() && std::find(labels.begin(), labels.end(), step.affinity) == labels.end();
    if (worker.runs.empty()) worker.covered_at = now;
    worker.cpu_used += run.cpu;
    worker.memory_used += run.memory;
    worker.gpu_used += run.gpu;
    ++placed_run_count;
    mark_dirty(worker);
    const bool was_idle = record.runs.empty();
    record.runs[run_id] = &worker;
    if (was_idle) on_idle_changed(record);
    if (worker.is_counted) add_usage(usage_by_service[worker.info.service], run, 1);
    update_free_capacity(worker);
    return worker.runs[run_id] = run;
}

void SchedulerState::remove_run(WorkerRecord& worker, const RunId& run_id) {
    const auto found = worker.runs.find(run_id);
    if (found == worker.runs.end()) return;
    const RunRecord& run = found->second;
    worker.cpu_used -= run.cpu;
    worker.memory_used -= run.memory;
    worker.gpu_used -= run.gpu;
    --placed_run_count;
    mark_dirty(worker);
    if (worker.is_counted) add_usage(usage_by_service[worker.info.service], run, -1);
    if (auto job = jobs.find(run_id.job); job != jobs.end()) {
        job->second.runs.erase(run_id);
        if (job->second.runs.empty()) on_idle_changed(job->second);
    }
    worker.runs.erase(found);
    update_free_capacity(worker);
    needs_plan = true;
}

bool SchedulerState::is_usable(const WorkerRecord& worker, Micros now) const {
    return accepts_starts(worker, now) && !fleet_reliability.is_paused(worker.node, now);
}

bool SchedulerState::accepts_starts(const WorkerRecord& worker, Micros now) const {
    return worker.is_reconciled && !worker.is_unresponsive && !worker.info.is_draining &&
           now - worker.last_contact_at <= settings.max_contact_age && now >= worker.starts_suspended_until;
}

}  // namespace calicostall
