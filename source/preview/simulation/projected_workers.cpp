#include "preview/simulation/projected_workers.hpp"

namespace calicostall {

namespace {

constexpr double probation_reliability = 0.4;  // below it a worker gets one run at a time, as from the daemons
// How long a worker that was heard of takes to report its runs to a new leader.
constexpr Micros first_report_delay = milliseconds(500);
constexpr const char* worker_leaves_text = "its worker leaves";

bool is_usable(const Snapshot& snapshot, const SnapshotWorker& recorded) {
    if (recorded.is_unresponsive || recorded.is_placeholder || recorded.is_paused) return false;
    return snapshot.max_contact_age == 0 || recorded.since_last_contact <= snapshot.max_contact_age;
}

}  // namespace

void ProjectedWorkers::add(const SnapshotWorker& recorded) {
    ProjectedWorker worker;
    worker.snapshot = recorded;
    worker.is_present = true;
    worker.is_draining = recorded.is_draining;
    worker.is_usable = is_usable(state_.snapshot, recorded);
    // A worker that was heard of and has not reported its runs to this leader is about to.
    const Micros accepts_starts_in = std::max(recorded.avoided_for, recorded.is_reconciled ? 0 : first_report_delay);
    worker.avoided_until = state_.now + accepts_starts_in;
    const size_t number = state_.workers.size();
    // The resources of a worker that is known from the record only are unknown.
    worker.is_in_fleet = !recorded.is_placeholder;
    if (worker.is_in_fleet) {
        worker.fleet_index = state_.fleet.add(make_plan_worker(recorded));
        state_.worker_by_fleet_index[worker.fleet_index] = number;
    }
    state_.workers.push_back(std::move(worker));
    update_fleet(number);
    if (accepts_starts_in > 0)
        state_.events.schedule({state_.now + accepts_starts_in, SimulationEventKind::worker_accepts_starts, number});
}

PlanWorker ProjectedWorkers::make_plan_worker(const SnapshotWorker& recorded) {
    PlanWorker worker;
    worker.service = state_.names.intern(recorded.service);
    for (const std::string& label : recorded.labels)
        worker.labels.push_back(state_.names.intern(label));
    worker.rack = recorded.labels.size() > 1 ? state_.names.intern(recorded.labels[1]) : 0;
    worker.capacity = {recorded.cpu, recorded.memory, recorded.gpu};
    return worker;
}

void ProjectedWorkers::update_fleet(size_t number) {
    const ProjectedWorker& worker = state_.workers[number];
    if (!worker.is_in_fleet) return;
    const bool accepts_starts =
        worker.is_present && worker.is_usable && !worker.is_draining && state_.now >= worker.avoided_until;
    const double slowdown = double(worker.snapshot.slowdown_thousandths) / 1000;
    const double reliability = double(worker.snapshot.reliability_thousandths) / 1000;
    const std::uint32_t max_runs = reliability < probation_reliability ? 1 : 0;
    state_.fleet.update_health(worker.fleet_index, accepts_starts, slowdown,
                               std::max(reliability, state_.planner_settings.min_reliability), max_runs);
}

void ProjectedWorkers::drain(size_t worker) {
    state_.workers[worker].is_draining = true;
    update_fleet(worker);
}

void ProjectedWorkers::shut_down(size_t worker) {
    if (!state_.workers[worker].is_present) return;
    state_.workers[worker].is_present = false;
    update_fleet(worker);
    const std::vector<std::uint64_t> runs = state_.runs_on(worker);
    for (std::uint64_t id : runs) {
        runs_.mark_preempted(id, worker_leaves_text);
        runs_.set_end(id, no_end, true);
    }
    const Micros lease_expires_at = runs.empty() ? state_.now : state_.now + state_.snapshot.lease_expiry_after;
    state_.events.schedule({lease_expires_at, SimulationEventKind::worker_lease_expires, worker});
}

void ProjectedWorkers::expire_lease(size_t number) {
    for (std::uint64_t id : state_.runs_on(number))
        runs_.terminate(id);
    ProjectedWorker& worker = state_.workers[number];
    if (worker.is_present || !worker.is_in_fleet) return;
    worker.is_in_fleet = false;
    state_.worker_by_fleet_index.erase(worker.fleet_index);
    state_.fleet.remove(worker.fleet_index);
}

void ProjectedWorkers::preempt_before_shutdown(size_t worker, Micros shutdown_at) {
    for (std::uint64_t id : state_.runs_on(worker)) {
        const ProjectedRun& run = state_.runs.at(id);
        const bool may_move = !run.is_stopping && !run.is_of_unknown_job && !run.gang_id;
        if (may_move && run.ends_at > shutdown_at) runs_.stop(id, worker_leaves_text);
    }
}

}  // namespace calicostall
