// Many short tasks end on one worker while the agent beside it is frozen for a second: their job is to end.
#include "platform.hpp"

using namespace standins;

namespace {

constexpr int tasks = 2100, work_ms = 1500;
constexpr double contact_s = 3.0, finish_s = 14.0, idle_s = 3.0;
constexpr double frozen_s = 1.5;

size_t count_active(Platform& platform) {
    size_t count = 0;
    for (const auto& [name, worker] : platform.workers)
        count += worker->active_count();
    return count;
}

std::string summary(Platform& platform) {
    size_t runs = 0, done = 0, lapsed = 0, noted = 0;
    for (const auto& [name, worker] : platform.workers)
        for (const auto& [task, history] : worker->history())
            for (const RunHistory& run : history) {
                ++runs;
                done += run.how == "done";
                lapsed += run.how == "lapsed";
                noted += run.noted_at >= 0;
            }
    return "runs=" + std::to_string(runs) + " done=" + std::to_string(done) + " lapsed=" + std::to_string(lapsed) +
           " noted=" + std::to_string(noted);
}

}  // namespace

int main(int count, char** arguments) {
    return run_case(count, arguments, Layout{}, [](Platform& platform) -> std::string {
        platform.worker_template.logs_runs = false;
        platform.begin();
        sleep_s(contact_s + 1);  // calm
        const std::string job = Platform::job_id(0xc1);
        const std::string body = Platform::job_body(
            "cpu=25 work_ms=" + std::to_string(work_ms),
            {{{"count", tasks}, {"cpu", 25}, {"task_mem_mb", 48}, {"estimate_ms", work_ms}}});
        if (platform.client_until_done("POST", job, body) != 200) throw CannotRun("the job was not accepted");
        platform.wait_until(10, "the tasks did not start", [&] { return count_active(platform) >= tasks; });
        platform.record.add("all tasks run");
        if (has_trouble()) {
            // The side machine whose worker runs the most.
            std::string busiest;
            for (const auto& [name, worker] : platform.workers)
                if (busiest.empty() || worker->active_count() > platform.workers.at(busiest)->active_count())
                    busiest = name;
            platform.record.add("tasks at " + busiest + ": " +
                                std::to_string(platform.workers.at(busiest)->active_count()));
            sleep_s(0.5);
            platform.freeze(platform.node(busiest));
            sleep_s(frozen_s);
            platform.thaw(platform.node(busiest));
        }
        const double calm_from = platform.record.now() + contact_s;
        sleep_s(contact_s);
        double idle_since = -1;
        std::string phase;
        while (platform.record.now() < calm_from + finish_s) {
            phase = platform.phase(job);
            if (phase == "done") break;
            if (count_active(platform) > 0)
                idle_since = -1;
            else if (idle_since < 0)
                idle_since = platform.record.now();
            sleep_s(0.5);
        }
        platform.record.add(summary(platform));
        if (phase == "done") return {};
        const double idle = idle_since < 0 ? 0 : platform.record.now() - idle_since;
        if (phase == "running" && idle <= idle_s) return {};
        return "LOST: 14 s after calm the job is shown as " + phase + "; nothing of it has run for " +
               std::to_string(int(idle)) + " s, with all workers idle; " + summary(platform);
    });
}
