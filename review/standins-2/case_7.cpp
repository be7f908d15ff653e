// Clients cancel jobs while a new leader takes over: their tasks are to end.
#include "platform.hpp"

using namespace standins;

namespace {

constexpr int jobs = 10;
constexpr double contact_s = 3.0, cancel_s = 3.0, stop_grace_s = 0.9;
constexpr double between_s = 0.1;  // one client after the other

std::string job_of(int number) {
    return Platform::job_id(0xa0 + number);
}

// The worker that runs the job's task; empty while none does.
std::string find_worker(Platform& platform, const std::string& job) {
    for (const auto& [name, worker] : platform.workers)
        for (const std::string& task : worker->active())
            if (task.starts_with(job)) return worker->id();
    return {};
}

// Each job has one task that lasts until the job is cancelled.
void hand_in(Platform& platform) {
    const std::string body = Platform::job_body(
        "cpu=1000 lasts=1", {{{"count", 1}, {"cpu", 1000}, {"task_mem_mb", 256}, {"long_running", true}}});
    for (int number = 0; number < jobs; ++number)
        if (platform.client_until_done("POST", job_of(number), body) != 200) throw CannotRun("a job was not accepted");
    for (int number = 0; number < jobs; ++number)
        platform.wait_until(10, "a task did not start",
                            [&] { return !find_worker(platform, job_of(number)).empty(); });
}

}  // namespace

int main(int count, char** arguments) {
    return run_case(count, arguments, Layout{}, [](Platform& platform) -> std::string {
        platform.begin();
        Background background(platform, 0.15, 6, 300);
        platform.wait_until(10, "no leader", [&] { return platform.leader() != nullptr; });
        hand_in(platform);
        sleep_s(contact_s + 1);  // calm
        Node& leader = *platform.leader();
        if (has_trouble()) platform.kill_process(leader);
        std::vector<int> statuses(jobs, 0);
        std::vector<std::thread> clients;
        for (int number = 0; number < jobs; ++number)
            clients.emplace_back([&platform, &statuses, number] {
                sleep_s(between_s * number);
                statuses[size_t(number)] = platform.client_until_done("DELETE", job_of(number));
            });
        if (has_trouble()) {
            sleep_s(Platform::restart_delay_s);
            platform.start(leader);
        }
        for (std::thread& client : clients)
            client.join();
        for (int status : statuses)
            if (status != 200) throw CannotRun("a cancellation was not acknowledged");
        platform.record.add("all cancellations are acknowledged");
        // Calm after contact_ms; then cancel_ms + stop_grace_ms; and 7 s more.
        sleep_s(contact_s + cancel_s + stop_grace_s + 7);
        std::string broken;
        for (int number = 0; number < jobs; ++number) {
            const std::string phase = platform.phase(job_of(number));
            const std::string worker = find_worker(platform, job_of(number));
            if (worker.empty()) continue;
            platform.record.add("still runs job=" + job_of(number) + " worker=" + worker + " phase=" + phase);
            broken += " " + job_of(number) + " (shown as " + phase + ", runs at " + worker + ")";
        }
        if (broken.empty()) return {};
        return "UNASKED: 13 s after the last cancellation was acknowledged, tasks of cancelled jobs still run:" + broken;
    });
}
