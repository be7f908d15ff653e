#include "preview/forward/plans.hpp"

#include "preview/forward/estimates.hpp"

namespace calicostall {

ForwardPlanned ForwardPlans::plan() {
    if (waiting_.empty()) return {};
    return carry_out(ask_planner());
}

ForwardPlanned ForwardPlans::first_plan() {
    if (waiting_.empty()) return {};
    Plan plan = ask_planner();
    note_reasons(plan.waits);
    return carry_out(plan);
}

Plan ForwardPlans::ask_planner() {
    waiting_.advance();
    state_.demand.advance(state_.now);
    Plan plan = planner_(PlanView{state_.planner, waiting_.items(), state_.fleet, state_.demand, state_.urgent_level,
                                  state_.now, resume_});
    ++state_.outlook.plans;
    resume_ = plan.resume;
    return plan;
}

ForwardPlanned ForwardPlans::carry_out(const Plan& plan) {
    for (const Stop& each : plan.stops)
        stop(each);
    start_all(plan.starts);
    return {!plan.starts.empty() || !plan.stops.empty(), plan.unfinished};
}

void ForwardPlans::note_reasons(const std::vector<Wait>& waits) {
    for (const Wait& wait : waits) {
        const ForwardItem* item = waiting_.find(wait.item);
        if (!item) continue;
        for (const TaskKey& key : waiting_.tasks_of(*item))
            account_.waits(key, wait.reason);
    }
}

void ForwardPlans::stop(const Stop& planned) {
    auto worker = state_.worker_at.find(planned.worker);
    auto run = state_.runs.find(planned.run);
    if (worker == state_.worker_at.end() || run == state_.runs.end()) return;
    if (run->second.worker != worker->second) return;
    std::string by;
    if (const ForwardItem* item = waiting_.find(planned.for_item))
        by = fmt::format("{}.{}.{}", state_.jobs[item->job].job->id, item->time, item->step);
    std::set<std::uint64_t> ids{planned.run};
    if (run->second.gang) ids = state_.gangs[run->second.gang];
    for (std::uint64_t id : ids)
        if (!state_.runs.at(id).stopping) runs_.stop(id, by);
}

void ForwardPlans::start_all(const std::vector<Start>& starts) {
    std::map<std::uint64_t, std::uint64_t> gangs;  // by item
    std::set<ForwardItem> touched;
    for (const Start& each : starts) {
        const ForwardItem* item = waiting_.find(each.item);
        auto worker = state_.worker_at.find(each.worker);
        if (!item || worker == state_.worker_at.end()) continue;
        start(*item, each, worker->second, gangs[each.item]);
        touched.insert(*item);
    }
    for (const auto& [item, gang] : gangs)
        runs_.same_end_of_gang(gang);
    for (const ForwardItem& item : touched)
        waiting_.refresh_step(item.job, item.time, item.step);
}

void ForwardPlans::start(const ForwardItem& item, const Start& planned, size_t worker, std::uint64_t& gang) {
    const TaskKey key = waiting_.task_of(item, planned.task);
    const Step& wanted = state_.wanted(key);
    ForwardRun run = run_of(key, planned, worker);
    if (wanted.gang) {
        if (!gang) gang = state_.next_gang++;
        run.gang = gang;
    }
    run.copy = item.single && state_.doubled.contains(key) && state_.task(key).live == 1;
    account_.landed(run);
    runs_.begin(std::move(run));
    const ForwardTask& task = state_.task(key);
    if (task.live > 1 || task.done)
        account_.twice(key, state_.since_snapshot(state_.now), wanted.duplicate_ok && !task.done);
}

ForwardRun ForwardPlans::run_of(const TaskKey& key, const Start& planned, size_t worker) const {
    // What a checkpoint keeps never saves more than this part of a run.
    constexpr Micros least_part = 20;
    const ForwardJob& job = state_.jobs[key.job];
    const Step& wanted = state_.wanted(key);
    ForwardRun run;
    run.key = key;
    run.worker = worker;
    run.started = state_.now;
    run.kept = state_.task(key).kept;
    run.room = {wanted.cpu, wanted.memory, wanted.gpu};
    run.service = job.service;
    run.level = job.level;
    run.backfill = planned.backfill;
    if (wanted.long_running) return run;
    Micros length = expected_duration(state_, job, key.step, worker);
    if (run.kept > 0) length = std::max<Micros>(length / least_part, length - run.kept) + state_.planner.restore;
    run.ends = state_.now + length;
    return run;
}

}  // namespace calicostall
