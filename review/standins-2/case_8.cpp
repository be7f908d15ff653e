// One answer of a worker reaches its agent 0.2 s late while the next job starts there: that job is to end.
#include "platform.hpp"

using namespace standins;

namespace {

constexpr int first_work_ms = 500, second_work_ms = 1500;
constexpr int late_ms = 200;          // a lost packet is sent again by TCP after so long, at the least
constexpr double client_pause_s = 0.05;  // between the end of the first job's task and the second submission
constexpr double contact_s = 3.0, finish_s = 14.0, idle_s = 3.0;

size_t count_active(Platform& platform) {
    size_t count = 0;
    for (const auto& [name, worker] : platform.workers)
        count += worker->active_count();
    return count;
}

std::string job_body(int work_ms) {
    return Platform::job_body("cpu=1000 work_ms=" + std::to_string(work_ms),
                              {{{"count", 1}, {"cpu", 1000}, {"task_mem_mb", 256}, {"estimate_ms", work_ms}}});
}

}  // namespace

int main(int count, char** arguments) {
    Layout layout;
    layout.sides = 1;
    return run_case(count, arguments, layout, [](Platform& platform) -> std::string {
        platform.begin();
        sleep_s(contact_s + 1);  // calm
        Worker& worker = *platform.workers.at("side-0");
        const std::string first = Platform::job_id(0xd1);
        const std::string second = Platform::job_id(0xd2);
        if (platform.client_until_done("POST", first, job_body(first_work_ms)) != 200)
            throw CannotRun("the first job was not accepted");
        platform.wait_until(5, "the first task did not start", [&] { return worker.active_count() == 1; });
        if (has_trouble()) worker.set_late_holds(late_ms);
        platform.wait_until(5, "the first task did not end", [&] { return worker.active_count() == 0; });
        sleep_s(client_pause_s);
        if (platform.client_until_done("POST", second, job_body(second_work_ms)) != 200)
            throw CannotRun("the second job was not accepted");
        platform.wait_until(5, "the second task did not start", [&] { return worker.active_count() == 1; });
        worker.set_late_holds(0);
        platform.record.add("the link is sound again");
        const double calm_from = platform.record.now() + contact_s;
        sleep_s(contact_s);
        double idle_since = -1;
        std::string phase;
        while (platform.record.now() < calm_from + finish_s) {
            phase = platform.phase(second);
            if (phase == "done") return {};
            if (count_active(platform) > 0)
                idle_since = -1;
            else if (idle_since < 0)
                idle_since = platform.record.now();
            sleep_s(0.5);
        }
        const double idle = idle_since < 0 ? 0 : platform.record.now() - idle_since;
        if (phase == "running" && idle <= idle_s) return {};
        std::string how = "its task has not run";
        for (const auto& [task, runs] : worker.history())
            for (const RunHistory& run : runs)
                if (task.starts_with(second))
                    how = "its task's run " + std::to_string(run.run) + " ended " + run.how +
                          (run.noted_at < 0 ? ", which was never asked for" : ", which was taken note of");
        return "LOST: 14 s after calm the second job is shown as " + phase + "; nothing of it has run for " +
               std::to_string(int(idle)) + " s, with the worker idle; " + how;
    });
}
