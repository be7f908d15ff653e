#include "preview/forward/runs.hpp"

#include "preview/forward/estimates.hpp"

namespace calicostall {

std::uint64_t ForwardRuns::begin(ForwardRun run) {
    const std::uint64_t id = state_.next_run++;
    const ForwardWorker& worker = state_.workers[run.worker];
    if (worker.in_fleet) {
        state_.fleet.begin_run(worker.place, plan_run(id, run));
        state_.demand.add(run.service, run.level, run.room);
    }
    if (!run.room_only) {
        state_.live[run.key].insert(id);
        state_.task(run.key).live++;
    }
    if (run.ends != no_end) state_.events.schedule(run.end_event(id));
    if (run.gang) state_.gangs[run.gang].insert(id);
    state_.runs.emplace(id, std::move(run));
    return id;
}

PlanRun ForwardRuns::plan_run(std::uint64_t id, const ForwardRun& run) const {
    PlanRun planned;
    planned.id = id;
    planned.room = run.room;
    planned.started = run.started;
    planned.expected_end = run.ends;
    planned.gang = run.gang;
    planned.stopping = run.stopping;
    planned.backfill = run.backfill;
    planned.preemptable = false;
    if (run.room_only) return planned;
    const Step& wanted = state_.wanted(run.key);
    planned.standing = standing_of(state_.jobs[run.key.job], run.key.step);
    planned.checkpoints = wanted.checkpoints;
    planned.preemptable = !run.stopping && !wanted.long_running;
    return planned;
}

void ForwardRuns::forget_end(std::uint64_t id) {
    ForwardRun& run = state_.runs.at(id);
    state_.events.cancel(run.end_event(id));
    run.ends = no_end;
    account_.end_moved(run);
}

void ForwardRuns::set_end(std::uint64_t id, Micros at, bool stopping) {
    ForwardRun& run = state_.runs.at(id);
    state_.events.cancel(run.end_event(id));
    run.ends = at;
    run.stopping = stopping;
    if (at != no_end) state_.events.schedule(run.end_event(id));
    const ForwardWorker& worker = state_.workers[run.worker];
    if (PlanRun* seen = worker.in_fleet ? state_.fleet.find_run(worker.place, id) : nullptr) {
        seen->expected_end = at;
        seen->stopping = stopping;
    }
    account_.end_moved(run);
}

void ForwardRuns::same_end_of_gang(std::uint64_t gang) {
    if (!gang) return;
    const std::set<std::uint64_t> members = state_.gangs[gang];
    Micros last = 0;
    for (std::uint64_t id : members)
        last = std::max(last, state_.runs.at(id).ends);
    for (std::uint64_t id : members) {
        const ForwardRun& run = state_.runs.at(id);
        if (!run.stopping && run.ends != last) set_end(id, last, false);
    }
}

void ForwardRuns::remove(std::uint64_t id) {
    const ForwardRun run = state_.runs.at(id);
    state_.events.cancel(run.end_event(id));
    const ForwardWorker& worker = state_.workers[run.worker];
    if (worker.in_fleet) {
        state_.fleet.end_run(worker.place, id);
        state_.demand.remove(run.service, run.level, run.room);
    }
    if (run.gang) state_.gangs[run.gang].erase(id);
    if (!run.room_only) {
        state_.task(run.key).live--;
        std::set<std::uint64_t>& live = state_.live[run.key];
        live.erase(id);
        if (live.empty()) state_.live.erase(run.key);
    }
    state_.runs.erase(id);
}

void ForwardRuns::done(std::uint64_t id) {
    const ForwardRun run = state_.runs.at(id);
    if (run.room_only) return remove(id);
    ForwardStep& step = state_.step_of(run.key);
    std::set<std::uint64_t> ended{id};
    if (run.gang) ended.insert(state_.gangs[run.gang].begin(), state_.gangs[run.gang].end());
    for (std::uint64_t each : ended) {
        ForwardTask& task = state_.task(state_.runs.at(each).key);
        step.open -= !task.done;
        task.done = true;
        remove(each);
    }
    // The copies of a task that is done are stopped.
    if (auto others = state_.live.find(run.key); others != state_.live.end())
        for (std::uint64_t other : others->second)
            set_end(other, state_.now + state_.stop_takes(), true);
    state_.doubled.erase(run.key);
    if (step.open == 0)
        waiting_.refresh_time(run.key.job, run.key.time);
    else
        waiting_.refresh_step(run.key.job, run.key.time, run.key.step);
}

void ForwardRuns::over(std::uint64_t id) {
    const ForwardRun run = state_.runs.at(id);
    remove(id);
    if (run.room_only || state_.task(run.key).done) return;
    if (state_.task(run.key).live == 0) account_.list(run.key, run.pushed ? "pushed aside" : "in doubt");
    waiting_.refresh_step(run.key.job, run.key.time, run.key.step);
}

void ForwardRuns::push_aside(std::uint64_t id, const std::string& by) {
    ForwardRun& run = state_.runs.at(id);
    if (run.stopping || run.room_only) return;
    run.pushed = true;
    const Micros apart = state_.planner.checkpoint_every;
    const Micros worked = std::max<Micros>(0, state_.now - run.started);
    Micros kept = 0;
    if (state_.wanted(run.key).checkpoints && apart > 0) kept = worked / apart * apart;
    ForwardTask& task = state_.task(run.key);
    task.kept = std::max(task.kept, run.kept + kept);
    account_.pushed_aside(run, kept, by);
}

void ForwardRuns::stop(std::uint64_t id, const std::string& by) {
    push_aside(id, by);
    set_end(id, state_.now + state_.stop_takes(), true);
}

}  // namespace calicostall
