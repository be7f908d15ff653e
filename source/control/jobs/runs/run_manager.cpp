#include "control/jobs/runs/run_manager.hpp"

#include <cmath>

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

// A busy worker's agent reports about every second. Where none of its reports has covered the worker's runs for so
// long, it is to ask the worker, whatever it believes to run there.
constexpr Micros max_uncovered_time = seconds(2);
constexpr Micros first_straggler_check = milliseconds(250);  // of a run that was restored from the record
// A worker without new samples recovers by this share of its slowdown in each interval, at most for this time at once.
constexpr Micros recovery_interval = milliseconds(250);
constexpr double recovery_retained = 0.98;
constexpr Micros max_recovery = seconds(60);

}  // namespace

RunManager::RunManager(SchedulerState& state)
    : state_(state),
      straggler_detector_(state),
      orders_(state, straggler_detector_),
      completion_(state, straggler_detector_, orders_),
      registry_(state, completion_),
      leases_(state, completion_, registry_),
      status_reports_(state, straggler_detector_, orders_, completion_, leases_) {}

// --- agents ---

void RunManager::on_agent_poll(const AgentPollRequest& request, Micros now, Micros wall_clock) {
    if (!sessions_.is_newest(request)) return;
    for (const std::string& worker_id : request.ended_incarnations)
        registry_.end_incarnation(worker_id, now, wall_clock);
    if (!request.worker_info) {
        state_.worker_by_node.erase(request.node);
        return;
    }
    const std::string& worker_id = request.worker_info->worker_id;
    if (registry_.has_ended(worker_id)) return;
    registry_.end_other_incarnations(request.node, worker_id, now, wall_clock);
    state_.worker_by_node[request.node] = worker_id;
    WorkerRecord& worker = contacted_worker(request, now);
    const bool was_usable = state_.is_usable(worker, now);
    update_worker(worker, request, now);
    recover_slowdown(worker, now);
    if (request.term == state_.term) orders_.on_received(worker, request.last_received_order);
    for (const OrderResult& result : request.order_results)
        status_reports_.on_order_result(worker, result, now);
    const auto& report = request.status_report;
    if (report && report->worker_id == worker_id && report->fence == state_.term)
        status_reports_.on_status_report(worker, *report, now, wall_clock);
    if (is_status_overdue(worker, now)) worker.status_query_due = true;
    if (report || !request.order_results.empty()) state_.mark_dirty(worker);
    if (!was_usable && state_.is_usable(worker, now)) state_.needs_plan = true;
}

// The record of the worker that a poll is about. Orders that were given to an earlier process of its agent are given
// again once the worker has reported: a repeated start is the same start.
WorkerRecord& RunManager::contacted_worker(const AgentPollRequest& request, Micros now) {
    const std::string& worker_id = request.worker_info->worker_id;
    auto [worker, is_new] = registry_.find_or_add(worker_id);
    worker.last_contact_at = now;
    if (is_new) leases_.schedule_check(worker, worker_id, now);
    if (worker.is_placeholder || worker.agent_incarnation != request.agent_incarnation) {
        worker.is_placeholder = false;
        worker.is_reconciled = false;
        worker.status_query_due = true;
        worker.agent_incarnation = request.agent_incarnation;
        worker.orders.clear();
    }
    return worker;
}

void RunManager::update_worker(WorkerRecord& worker, const AgentPollRequest& request, Micros now) {
    const WorkerInfo& info = *request.worker_info;
    const bool was_draining = worker.info.is_draining;
    if (worker.node != request.node) state_.mark_dirty(worker);
    worker.node = request.node;
    state_.on_worker_info_changed(worker, info);
    worker.is_unresponsive = request.is_unresponsive;
    worker.shutdown_at = info.terminates_in < 0 ? -1 : now + info.terminates_in;
    if (!worker.info.is_draining || was_draining) return;
    for (const auto& [run_id, run] : worker.runs)
        state_.straggler_checks_due.emplace(now, std::pair(info.worker_id, run_id));
}

// The agent of a worker that doesn't answer keeps asking by itself.
bool RunManager::is_status_overdue(const WorkerRecord& worker, Micros now) {
    return !worker.runs.empty() && !worker.is_unresponsive && now - worker.covered_at > max_uncovered_time;
}

// Without new samples a worker slowly counts as sound again.
void RunManager::recover_slowdown(WorkerRecord& worker, Micros now) {
    const Micros elapsed = now - worker.slowdown_decayed_at;
    if (elapsed < recovery_interval) return;
    if (worker.slowdown_decayed_at != 0) {
        const double intervals = double(std::min(elapsed, max_recovery)) / double(recovery_interval);
        worker.slowdown.recover(1 - std::pow(recovery_retained, intervals));
    }
    worker.slowdown_decayed_at = now;
}

AgentPollResponse RunManager::agent_response(const std::string& node, Micros confirmed_at, Micros now) {
    AgentPollResponse response;
    response.is_from_leader = true;
    response.term = state_.term;
    const auto known = state_.worker_by_node.find(node);
    if (known == state_.worker_by_node.end()) return response;
    WorkerRecord& worker = state_.workers.at(known->second);
    response.worker_id = known->second;
    response.generation = worker.generation;
    // The lease of a worker that answers nobody is not renewed: what runs there must expire.
    response.lease_duration =
        worker.is_unresponsive ? 0 : std::max<Micros>(0, confirmed_at + state_.settings.lease_duration - now);
    if (response.lease_duration > 0)
        worker.lease_expires_at = std::max(worker.lease_expires_at, state_.settings.lease_expiry_after(confirmed_at));
    response.acknowledged_end = worker.acknowledged_end;
    response.status_requested = worker.status_query_due;
    response.orders.assign(worker.orders.begin(), worker.orders.end());
    return response;
}

// --- the record ---

void RunManager::restore_runs(JobRecord& record, Micros now) {
    const Job& job = record.job;
    for (const Occurrence& occurrence : job.status.occurrences)
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step)
            for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index)
                for (const Placement& placement : occurrence.steps[step].tasks[index].placements) {
                    WorkerRecord& worker = restore_worker(job.status.incarnations[placement.worker_index], now);
                    const RunId run_id{job.definition.id, occurrence.number, step, index, placement.run};
                    restore_run(worker, record, occurrence, run_id, now);
                }
}

// A worker that only the record names.
WorkerRecord& RunManager::restore_worker(const WorkerIncarnation& incarnation, Micros now) {
    auto [worker, is_new] = registry_.find_or_add(incarnation.worker_id);
    if (!is_new) return worker;
    worker.node = incarnation.node;
    worker.info.worker_id = incarnation.worker_id;
    worker.is_placeholder = true;
    worker.lease_expires_at = state_.settings.lease_expiry_after(now);
    registry_.add_to_node(incarnation.node, incarnation.worker_id);
    leases_.schedule_check(worker, incarnation.worker_id, now);
    return worker;
}

void RunManager::restore_run(WorkerRecord& worker, JobRecord& record, const Occurrence& occurrence, const RunId& run_id,
                             Micros now) {
    RunRecord& run = state_.add_run(worker, record, run_id, RunState::ordered, now);
    state_.straggler_checks_due.emplace(now + first_straggler_check, std::pair(worker.info.worker_id, run_id));
    if (record.job.is_run_needed(occurrence, run_id.step, run_id.index, run_id.run)) return;
    // Its stop is ordered again once the worker has reported.
    run.is_stop_requested = true;
    run.state = RunState::stopping;
}

void RunManager::clear() {
    sessions_.clear();
    registry_.clear();
    leases_.clear();
    orders_.clear();
}

// --- starts and stops ---

RunRecord& RunManager::record_intent(JobRecord& record, const Occurrence& occurrence, std::uint32_t step,
                                     std::uint32_t index, std::uint32_t run, WorkerRecord& worker, Micros now,
                                     Micros wall_clock) {
    const RunId run_id{record.job.definition.id, occurrence.number, step, index, run};
    RunRecord& run_record = state_.add_run(worker, record, run_id, RunState::intent_recorded, now);
    state_.on_task_changed(record, occurrence.number, step, index, wall_clock);
    record.on_commit.emplace_back(
        [this, worker_id = worker.info.worker_id, run_id, now] { orders_.queue_start(worker_id, run_id, now); });
    counters().add("runs_intended");
    state_.schedule_persist(record);
    return run_record;
}

void RunManager::preempt(WorkerRecord& worker, RunRecord& run) {
    counters().add("runs_pushed_out");
    orders_.request_stop(worker, run);
}

// --- time ---

void RunManager::check_stragglers(Micros now) {
    auto& checks_due = state_.straggler_checks_due;
    while (!checks_due.empty() && checks_due.begin()->first <= now) {
        const auto [worker_id, run_id] = checks_due.begin()->second;
        checks_due.erase(checks_due.begin());
        const auto found = state_.workers.find(worker_id);
        if (found == state_.workers.end()) continue;
        WorkerRecord& worker = found->second;
        const auto run = worker.runs.find(run_id);
        if (run == worker.runs.end() || run->second.is_stop_requested) continue;
        act_on_straggler(worker, run->second, straggler_detector_.evaluate(worker, run->second, now));
        if (!run->second.is_stop_requested)
            checks_due.emplace(straggler_detector_.next_check_at(run->second, now), std::pair(worker_id, run_id));
    }
}

void RunManager::act_on_straggler(WorkerRecord& worker, RunRecord& run, StragglerAction action) {
    switch (action) {
        case StragglerAction::none:
            return;
        case StragglerAction::duplicate: {
            counters().add("runs_doubled");
            run.is_duplicated = true;
            const RunId& run_id = run.id;
            if (auto job = state_.jobs.find(run_id.job); job != state_.jobs.end())
                state_.on_task_changed(job->second, run_id.occurrence, run_id.step, run_id.index, 0);
            return;
        }
        case StragglerAction::evacuate:
            counters().add("runs_moved_off_leaving");
            return orders_.request_stop(worker, run);
        case StragglerAction::migrate:
            return orders_.request_stop(worker, run);
    }
}

}  // namespace calicostall
