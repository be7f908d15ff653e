// Many short tasks end on one worker while a new leader takes over: none of them is to run again.
#include "platform.hpp"

using namespace standins;

namespace {

constexpr int max_rounds = 3;  // until one breaks the rule
constexpr int jobs = 15, tasks = 200, work_ms = 4000;
constexpr double pause_s = 0.07;  // between two jobs
constexpr double dark_s = 3.5;   // the leader's machine

bool is_ours(const std::string& task) {
    return task.starts_with("0000000000000b");
}

struct Count {
    size_t started = 0, ended = 0, done = 0, lapsed = 0;
};
Count count_runs(Platform& platform) {
    Count count;
    for (const auto& [name, worker] : platform.workers)
        for (const auto& [task, runs] : worker->history()) {
            if (!is_ours(task)) continue;
            for (const RunHistory& run : runs) {
                ++count.started;
                count.ended += run.ended_at >= 0;
                count.done += run.how == "done";
                count.lapsed += run.how == "lapsed";
            }
        }
    return count;
}

// Starts of a task after a run of it that ended `done`, where that end was taken note of, the hold not lapsed before.
std::vector<std::string> find_repeats(Platform& platform) {
    std::map<std::string, std::vector<std::pair<RunHistory, std::string>>> by_task;
    for (const auto& [name, worker] : platform.workers)
        for (const auto& [task, runs] : worker->history())
            for (const RunHistory& run : runs)
                by_task[task].emplace_back(run, worker->id());
    std::vector<std::string> repeats;
    std::set<std::pair<std::string, int>> counted;  // each start once, however many ends came before it
    for (const auto& [task, runs] : by_task)
        for (const auto& [done, worker] : runs) {
            if (done.how != "done" || done.noted_at < 0 || done.has_lapsed_since) continue;
            for (const auto& [other, other_worker] : runs) {
                if (other.run == done.run || other.started_at < done.ended_at) continue;
                if (!counted.insert({task, other.run}).second) continue;
                char text[400];
                std::snprintf(text, sizeof text,
                              "task=%s run=%d worker=%s done at %.4f, noted at %.4f; run=%d worker=%s started at %.4f",
                              task.c_str(), done.run, worker.c_str(), done.ended_at, done.noted_at, other.run,
                              other_worker.c_str(), other.started_at);
                repeats.push_back(text);
            }
        }
    return repeats;
}

// The jobs of one round, and the leader's process killed when the first of their tasks end.
// @return the repeated starts
std::vector<std::string> play_round(Platform& platform, int round) {
    const size_t before = count_runs(platform).started;
    const size_t done_before = count_runs(platform).done;
    const size_t expected = before + size_t(jobs) * tasks;
    std::vector<std::string> ids;
    for (int number = 0; number < jobs; ++number) {
        ids.push_back(Platform::job_id(0xb00 + 0x10 * round + number));
        const std::string body = Platform::job_body(
            "cpu=20 work_ms=" + std::to_string(work_ms),
            {{{"count", tasks}, {"cpu", 20}, {"task_mem_mb", 40}, {"estimate_ms", work_ms}}});
        if (platform.client_until_done("POST", ids.back(), body) != 200) throw CannotRun("a job was not accepted");
        sleep_s(pause_s);
    }
    platform.wait_until(20, "the tasks did not start", [&] { return count_runs(platform).started >= expected; });
    platform.record.add("all tasks have started");
    if (has_trouble()) {
        platform.wait_until(20, "no task ended", [&] { return count_runs(platform).done > done_before; });
        Node& leader = *platform.leader();
        platform.kill_process(leader);
        sleep_s(dark_s);
        platform.start(leader);
    }
    platform.is_within(20, [&] {
        const Count now = count_runs(platform);
        return now.ended == now.started && now.started >= expected;
    });
    sleep_s(8);
    for (const std::string& id : ids)
        platform.phase(id, "front-1");
    const Count total = count_runs(platform);
    std::vector<std::string> repeats = find_repeats(platform);
    platform.record.add("round " + std::to_string(round) + " runs started=" + std::to_string(total.started) +
                        " ended=" + std::to_string(total.ended) + " done=" + std::to_string(total.done) +
                        " lapsed=" + std::to_string(total.lapsed) + " repeats=" + std::to_string(repeats.size()));
    for (size_t index = 0; index < std::min<size_t>(repeats.size(), 20); ++index)
        platform.record.add("repeat " + repeats[index]);
    return repeats;
}

}  // namespace

int main(int count, char** arguments) {
    Layout layout;
    layout.sides = 1;
    return run_case(count, arguments, layout, [](Platform& platform) -> std::string {
        platform.worker_template.logs_runs = false;
        platform.begin();
        platform.wait_until(10, "no leader", [&] { return platform.leader() != nullptr; });
        sleep_s(3);
        for (int round = 1; round <= max_rounds; ++round) {
            const std::vector<std::string> repeats = play_round(platform, round);
            if (!repeats.empty())
                return "TWICE: round " + std::to_string(round) + ", " + std::to_string(repeats.size()) +
                       " starts after an end `done` that was taken note of, e.g. " + repeats[0];
        }
        return {};
    });
}
