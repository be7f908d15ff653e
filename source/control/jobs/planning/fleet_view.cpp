#include "control/jobs/planning/fleet_view.hpp"

#include "control/plan/timeline.hpp"

namespace calicostall {

namespace {

// Below this score a worker is on trial: it gets one run at a time.
constexpr double trial_score = 0.4;

// From this progress on, a run's own pace says more about its end than what was expected before.
constexpr std::int64_t min_percent_to_extrapolate = 10;

/// The same number for all members of one run of a gang; never 0.
std::uint64_t gang_id_of(const RunId& id) {
    const std::string step = RunId{id.job, id.occurrence, id.step, 0, 0}.task_name();
    return 1 + std::hash<std::string>{}(fmt::format("{} {}", step, id.run)) / 2;
}

}  // namespace

FleetView::FleetView(SchedulerState& state, NameTable& names, const PlannerClock& clock)
    : state_(state), names_(names), clock_(clock), demand_(state.settings.planner) {}

void FleetView::update_worker(const std::string& worker_id, Micros now) {
    auto found = state_.workers.find(worker_id);
    if (found == state_.workers.end() || !found->second.is_counted) return remove_worker(worker_id);
    WorkerRecord& worker = found->second;
    update_description(worker_id, worker);
    PlannedWorker& planned = workers_[worker.fleet_index];
    planned.record = &worker;
    planned.reliability = &state_.fleet_reliability.of_node(worker.node);
    replace_runs(worker, now);
}

void FleetView::update_health(Micros now) {
    const double min_reliability = state_.settings.planner.min_reliability;
    for (std::uint32_t worker_index = 0; worker_index < workers_.size(); ++worker_index) {
        const PlannedWorker& planned = workers_[worker_index];
        if (!planned.record) continue;
        const double score = state_.fleet_reliability.score(*planned.reliability, now);
        fleet_.update_health(worker_index, state_.accepts_starts(*planned.record, now),
                             planned.record->slowdown.value(), std::max(score, min_reliability),
                             score < trial_score ? 1 : 0, planned.reliability->is_paused(now));
    }
}

void FleetView::clear() {
    indexes_.clear();
    workers_.clear();
    demand_.clear();
    fleet_ = Fleet{};
}

std::optional<std::uint32_t> FleetView::index_of(const std::string& worker_id) const {
    auto found = indexes_.find(worker_id);
    if (found == indexes_.end()) return std::nullopt;
    return found->second;
}

void FleetView::remove_worker(const std::string& worker_id) {
    auto known = indexes_.find(worker_id);
    if (known == indexes_.end()) return;
    const std::uint32_t worker_index = known->second;
    remove_demand_of_runs(worker_index);
    fleet_.remove(worker_index);
    workers_[worker_index] = {};
    indexes_.erase(known);
}

/// Brings the worker into the fleet, or what it says of itself up to date there. A change of that drops its runs: the
/// caller enters them again.
void FleetView::update_description(const std::string& worker_id, WorkerRecord& worker) {
    PlanWorker present = described(worker);
    const std::optional<std::uint32_t> known = index_of(worker_id);
    if (!known) return add_worker(worker_id, worker, std::move(present));
    worker.fleet_index = *known;
    const PlanWorker& old = fleet_.at(*known);
    if (old.service == present.service && old.labels == present.labels && old.capacity == present.capacity) return;
    remove_demand_of_runs(*known);
    fleet_.replace_runs(*known, {});
    fleet_.update_worker(*known, present.service, std::move(present.labels), present.rack, present.capacity);
}

void FleetView::add_worker(const std::string& worker_id, WorkerRecord& worker, PlanWorker described) {
    worker.fleet_index = fleet_.add(std::move(described));
    indexes_[worker_id] = worker.fleet_index;
    if (workers_.size() <= worker.fleet_index) workers_.resize(worker.fleet_index + 1);
    workers_[worker.fleet_index].worker_id = worker_id;
}

PlanWorker FleetView::described(const WorkerRecord& worker) const {
    PlanWorker described;
    described.service = names_.intern(worker.info.service);
    for (const std::string& label : worker.info.labels)
        described.labels.push_back(names_.intern(label));
    // The second label names the rack.
    if (described.labels.size() > 1) described.rack = described.labels[1];
    described.capacity = {worker.info.cpu, worker.info.memory, worker.info.gpu};
    return described;
}

void FleetView::replace_runs(const WorkerRecord& worker, Micros now) {
    const std::uint32_t worker_index = worker.fleet_index;
    remove_demand_of_runs(worker_index);
    std::vector<PlanRun> runs;
    runs.reserve(worker.runs.size());
    for (const auto& [id, record] : worker.runs)
        runs.push_back(to_plan_run(record, now));
    const NameId service = fleet_.at(worker_index).service;
    for (const PlanRun& run : runs)
        demand_.add(service, run.scheduling_priority.level, run.resources);
    fleet_.replace_runs(worker_index, std::move(runs));
}

void FleetView::remove_demand_of_runs(std::uint32_t worker_index) {
    const PlanWorker& worker = fleet_.at(worker_index);
    for (const PlanRun& run : worker.runs)
        demand_.remove(worker.service, run.scheduling_priority.level, run.resources);
}

PlanRun FleetView::to_plan_run(const RunRecord& record, Micros now) const {
    PlanRun run;
    run.id = record.serial_number;
    run.resources = {record.cpu, record.memory, record.gpu};
    run.started_at = record.ordered_at > 0 ? record.ordered_at : record.state_since;
    run.scheduling_priority.level = record.priority;
    run.is_stopping = record.state == RunState::stopping;
    run.backfill = record.is_backfill;
    run.is_preemptable = false;
    Micros duration = seconds(1);
    if (auto job = state_.jobs.find(record.id.job); job != state_.jobs.end())
        duration = describe_job(run, record, job->second);
    const Micros reported_after = record.reported_at - record.ordered_at;
    const bool has_progress = record.percent >= min_percent_to_extrapolate && record.ordered_at > 0;
    if (has_progress && reported_after > 0) duration = reported_after * 100 / record.percent;
    run.expected_end = run.is_stopping ? now + state_.settings.planner.stop_grace : run.started_at + duration;
    return run;
}

/// Enters what the run's job says of it. Returns how long the run is expected to take, in microseconds.
Micros FleetView::describe_job(PlanRun& run, const RunRecord& record, const JobRecord& job) const {
    const Step& step = job.job.definition.spec.steps[record.id.step];
    run.scheduling_priority = clock_.to_monotonic(job.scheduling_priority);
    run.scheduling_priority.level = record.priority;
    run.has_checkpoints = step.checkpoints;
    run.is_preemptable = record.state == RunState::running && !record.is_stop_requested && !step.long_running &&
                         !record.is_duplicated && !job.job.has_ended();
    if (step.gang) run.gang_id = gang_id_of(record.id);
    if (step.long_running) return never;
    const Micros duration = state_.durations.expected(job, record.id.step);
    if (!record.is_remote) return duration;
    return Micros(double(duration) * state_.settings.planner.remote_factor);
}

}  // namespace calicostall
