#include "preview/forward/workers.hpp"

namespace calicostall {

namespace {

constexpr double trial_trust = 0.4;  // below it a worker gets one run at a time, as the daemons do
constexpr Micros report_soon = milliseconds(500);
constexpr const char* worker_leaves = "its worker leaves";

bool is_usable(const Snapshot& snapshot, const SnapshotWorker& said) {
    if (said.silent || said.placeholder || said.paused) return false;
    return snapshot.fresh == 0 || said.heard_ago <= snapshot.fresh;
}

}  // namespace

void ForwardWorkers::add(const SnapshotWorker& said) {
    ForwardWorker worker;
    worker.said = said;
    worker.there = true;
    worker.draining = said.draining;
    worker.usable = is_usable(state_.snapshot, said);
    // A worker that is heard of and has not reported under this owner's fence is about to.
    const Micros opens_in = std::max(said.avoided_for, said.reconciled ? 0 : report_soon);
    worker.avoided_until = state_.now + opens_in;
    const size_t number = state_.workers.size();
    // What is known from the record only offers no room.
    worker.in_fleet = !said.placeholder;
    if (worker.in_fleet) {
        worker.place = state_.fleet.add(plan_worker(said));
        state_.worker_at[worker.place] = number;
    }
    state_.workers.push_back(std::move(worker));
    judge(number);
    if (opens_in > 0) state_.events.schedule({state_.now + opens_in, ForwardEventKind::worker_opens, number});
}

PlanWorker ForwardWorkers::plan_worker(const SnapshotWorker& said) {
    PlanWorker worker;
    worker.service = state_.names.of(said.service);
    for (const std::string& label : said.labels)
        worker.labels.push_back(state_.names.of(label));
    worker.rack = said.labels.size() > 1 ? state_.names.of(said.labels[1]) : 0;
    worker.capacity = {said.cpu, said.memory, said.gpu};
    return worker;
}

void ForwardWorkers::judge(size_t number) {
    const ForwardWorker& worker = state_.workers[number];
    if (!worker.in_fleet) return;
    const bool open = worker.there && worker.usable && !worker.draining && state_.now >= worker.avoided_until;
    const double pace = double(worker.said.pace_thousandths) / 1000;
    const double trust = double(worker.said.trust_thousandths) / 1000;
    const std::uint32_t runs_most = trust < trial_trust ? 1 : 0;
    state_.fleet.judge(worker.place, open, pace, std::max(trust, state_.planner.trust_least), runs_most);
}

void ForwardWorkers::drain(size_t worker) {
    state_.workers[worker].draining = true;
    judge(worker);
}

void ForwardWorkers::leave(size_t worker) {
    if (!state_.workers[worker].there) return;
    state_.workers[worker].there = false;
    judge(worker);
    const std::vector<std::uint64_t> runs = state_.runs_on(worker);
    for (std::uint64_t id : runs) {
        runs_.push_aside(id, worker_leaves);
        runs_.set_end(id, no_end, true);
    }
    const Micros lapses = runs.empty() ? state_.now : state_.now + state_.snapshot.lapse;
    state_.events.schedule({lapses, ForwardEventKind::worker_lapses, worker});
}

void ForwardWorkers::lapse(size_t number) {
    for (std::uint64_t id : state_.runs_on(number))
        runs_.over(id);
    ForwardWorker& worker = state_.workers[number];
    if (worker.there || !worker.in_fleet) return;
    worker.in_fleet = false;
    state_.worker_at.erase(worker.place);
    state_.fleet.remove(worker.place);
}

void ForwardWorkers::move_off(size_t worker, Micros leaves) {
    for (std::uint64_t id : state_.runs_on(worker)) {
        const ForwardRun& run = state_.runs.at(id);
        const bool may_move = !run.stopping && !run.room_only && !run.gang;
        if (may_move && run.ends > leaves) runs_.stop(id, worker_leaves);
    }
}

}  // namespace calicostall
