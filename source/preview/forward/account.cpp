#include "preview/forward/account.hpp"

#include "preview/forward/landing.hpp"

namespace calicostall {

void ForwardAccount::list_all() {
    for (std::uint32_t job = 0; job < state_.jobs.size(); ++job)
        for (const auto& [number, steps] : state_.jobs[job].times)
            list_time(job, number, {});
}

void ForwardAccount::list_time(std::uint32_t job, std::uint64_t number, const std::string& why) {
    const std::vector<ForwardStep>& steps = state_.jobs[job].times.at(number);
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        bool turn = state_.jobs[job].turn_has_come(steps, step);
        list_step({job, number, step, 0}, !why.empty() ? why : turn ? "" : "dependency");
    }
}

void ForwardAccount::list_step(const TaskKey& first, const std::string& why) {
    const ForwardJob& job = state_.jobs[first.job];
    std::string nowhere = why_nowhere(state_, job, first.step);
    std::vector<ForwardTask>& tasks = state_.step_of(first).tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        ForwardTask& task = tasks[index];
        if (task.done || task.live > 0) continue;
        list({first.job, first.time, first.step, index}, why);
        std::string reason = task.failures >= job.attempts_most ? "attempts used up" : nowhere;
        if (reason.empty()) continue;
        TaskOutlook& row = state_.outlook.tasks[*task.row];
        row.landing = Landing::nowhere;
        row.why = reason;
    }
}

void ForwardAccount::list(const TaskKey& key, std::string why) {
    ForwardTask& task = state_.task(key);
    if (task.row) return;
    task.row = state_.outlook.tasks.size();
    TaskOutlook row;
    row.key = key;
    row.why = std::move(why);
    state_.outlook.tasks.push_back(std::move(row));
}

void ForwardAccount::waits(const TaskKey& key, Reason reason) {
    std::optional<size_t> place = state_.task(key).row;
    if (!place) return;  // a copy
    TaskOutlook& row = state_.outlook.tasks[*place];
    if (row.landing == Landing::waits) row.why = reason_text(reason);
}

void ForwardAccount::was_running(ForwardRun& run, bool in_doubt) {
    run.run_row = state_.outlook.running.size();
    const std::string& life = state_.workers[run.worker].said.life;
    state_.outlook.running.push_back({run.key, life, state_.since_snapshot(run.ends), run.stopping, in_doubt});
}

void ForwardAccount::landed(ForwardRun& run) {
    std::vector<TaskOutlook>& rows = state_.outlook.tasks;
    std::optional<size_t> listed = state_.task(run.key).row;
    if (!run.copy && listed && rows[*listed].landing != Landing::lands) run.task_row = listed;
    if (run.copy) {
        run.task_row = rows.size();
        rows.push_back({run.key, Landing::waits, true, {}, -1, -1, {}});
    }
    if (!run.task_row) return;
    TaskOutlook& row = rows[*run.task_row];
    row.landing = Landing::lands;
    row.worker = state_.workers[run.worker].said.life;
    row.at = state_.since_snapshot(run.started);
    row.ends = state_.since_snapshot(run.ends);
    if (row.at == 0) row.why.clear();
}

void ForwardAccount::end_moved(const ForwardRun& run) {
    Micros ends = state_.since_snapshot(run.ends);
    if (run.run_row) state_.outlook.running[*run.run_row].ends = ends;
    if (run.task_row && !run.stopping) state_.outlook.tasks[*run.task_row].ends = ends;
}

void ForwardAccount::pushed_aside(const ForwardRun& run, Micros kept, const std::string& by) {
    // The worth of an accelerator in core-seconds.
    constexpr std::int64_t milli_cores_of_accelerator = 8000;
    const Step& wanted = state_.wanted(run.key);
    PushedAside row;
    row.key = run.key;
    row.worker = state_.workers[run.worker].said.life;
    row.at = state_.since_snapshot(state_.now);
    row.was_running = run.was_running;
    row.by = by;
    double cores = double(wanted.cpu + milli_cores_of_accelerator * wanted.gpu) / 1000;
    Micros worked = std::max<Micros>(0, state_.now - run.started);
    row.lost = cores * double(worked - kept) / 1e6;
    state_.outlook.pushed.push_back(std::move(row));
}

void ForwardAccount::twice(const TaskKey& key, Micros at, bool allowed) {
    state_.outlook.twice.push_back({key, state_.lives_of(state_.live.at(key)), at, allowed});
}

void ForwardAccount::finish() {
    // What was in doubt at first, or lost its worker, waits for its hold to lapse.
    std::vector<TaskOutlook>& rows = state_.outlook.tasks;
    for (TaskOutlook& row : rows)
        if (row.landing != Landing::lands && row.why.empty()) row.why = "room";
    auto order = [&](const TaskOutlook& row) { return std::tuple(state_.jobs[row.key.job].level, row.key, row.copy); };
    std::stable_sort(rows.begin(), rows.end(),
                     [&](const TaskOutlook& left, const TaskOutlook& right) { return order(left) < order(right); });
}

}  // namespace calicostall
