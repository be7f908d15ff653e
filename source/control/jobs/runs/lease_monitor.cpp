#include "control/jobs/runs/lease_monitor.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

constexpr Micros min_check_interval = milliseconds(50);
// A worker without runs that was not heard of for so long is forgotten once its node has another one or none.
constexpr Micros idle_worker_retention = seconds(30);
// An agent that was heard of within this time lost its worker's lease by the leader's doing, not by its worker's.
constexpr Micros recent_contact = seconds(1);

}  // namespace

void LeaseMonitor::schedule_check(WorkerRecord& worker, const std::string& worker_id, Micros at) {
    worker.next_check_at = at;
    checks_due_.emplace(at, worker_id);
}

void LeaseMonitor::run_due_checks(Micros now, Micros wall_clock) {
    while (!checks_due_.empty() && checks_due_.begin()->first < now) {
        const auto [at, worker_id] = *checks_due_.begin();
        checks_due_.erase(checks_due_.begin());
        ++state_.operation_count;
        const auto found = state_.workers.find(worker_id);
        if (found == state_.workers.end() || found->second.next_check_at != at) continue;
        WorkerRecord& worker = found->second;
        if (!worker.runs.empty() && now > worker.lease_expires_at)
            expire_lease(worker, now, wall_clock);
        else if (worker.is_reconciled && now - worker.last_contact_at > state_.settings.lease_expiry_after(0))
            mark_unreconciled(worker);
        if (is_forgettable(worker, worker_id, now))
            registry_.remove(found);
        else
            schedule_check(worker, worker_id, std::max(now + min_check_interval, next_check_at(worker)));
    }
}

// When the worker's lease is to be checked again; it may move on meanwhile.
Micros LeaseMonitor::next_check_at(const WorkerRecord& worker) const {
    const Micros max_silence = worker.is_reconciled ? state_.settings.lease_expiry_after(0) : idle_worker_retention;
    const Micros no_contact_at = worker.last_contact_at + max_silence;
    return worker.runs.empty() ? std::min(no_contact_at, worker.last_contact_at + idle_worker_retention)
                               : std::min(no_contact_at, worker.lease_expires_at);
}

bool LeaseMonitor::is_forgettable(const WorkerRecord& worker, const std::string& worker_id, Micros now) const {
    if (!worker.runs.empty() || now - worker.last_contact_at <= idle_worker_retention || worker.node.empty())
        return false;
    const auto known = state_.worker_by_node.find(worker.node);
    return known == state_.worker_by_node.end() || known->second != worker_id;
}

void LeaseMonitor::expire_lease(WorkerRecord& worker, Micros now, Micros wall_clock) {
    const std::string& worker_id = worker.info.worker_id;
    log_line("scheduler", "lease expired worker={} node={} runs={}", worker_id, worker.node, worker.runs.size());
    mark_unreconciled(worker);
    ++worker.generation;
    if (worker.is_unresponsive || now - worker.last_contact_at > recent_contact)
        state_.fleet_reliability.record_lease_expiry(worker.node, now);
    if (state_.notify) state_.notify({RunEvent::Kind::worker_ended, 0, {}, worker_id, {}, "lapsed"});
    completion_.end_all_runs(worker, RunOutcome::lease_expired, wall_clock, now);
}

// What runs there is not known for sure any more: the agent is to query the worker.
void LeaseMonitor::mark_unreconciled(WorkerRecord& worker) {
    worker.is_reconciled = false;
    worker.status_query_due = true;
    state_.notify_agent(worker);
}

}  // namespace calicostall
