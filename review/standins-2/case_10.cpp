// A job is given up before its submission gets through: DELETE is answered 410, and the job is not to run afterwards.
#include "platform.hpp"

using namespace standins;

namespace {

constexpr double contact_s = 3.0, cancel_s = 3.0, stop_grace_s = 0.9;
constexpr double frozen_s = 3.5;  // the front's machine

size_t count_active(Platform& platform) {
    size_t count = 0;
    for (const auto& [name, worker] : platform.workers)
        count += worker->active_count();
    return count;
}

}  // namespace

int main(int count, char** arguments) {
    Layout layout;
    layout.fronts = 4;  // the last one has a machine of its own
    return run_case(count, arguments, layout, [](Platform& platform) -> std::string {
        platform.begin();
        platform.wait_until(10, "no leader", [&] { return platform.leader() != nullptr; });
        sleep_s(contact_s + 1);  // calm
        Node& front = platform.node("front-3");
        const std::string job = Platform::job_id(0xe1);
        const std::string body = Platform::job_body(
            "cpu=1000 lasts=1", {{{"count", 1}, {"cpu", 1000}, {"task_mem_mb", 256}, {"long_running", true}}});
        const double frozen_at = platform.record.now();
        if (has_trouble()) platform.freeze(front);
        // The client's one try. Of a frozen front it hears nothing, and leaves.
        const int submitted = platform.client("POST", job, body, nullptr, front.name, 1.0);
        if (submitted != (has_trouble() ? 0 : 200)) throw CannotRun("the submission was answered otherwise");
        int status = 0;
        for (int attempt = 0; attempt < 10 && status != 200 && status != 410; ++attempt)
            status = platform.client("DELETE", job, {}, nullptr, "front-0");
        if (status != 200 && status != 410) throw CannotRun("the cancellation was not answered");
        if (has_trouble()) {
            Node& leader = *platform.leader();
            platform.kill_process(leader);
            sleep_s(Platform::restart_delay_s);
            platform.start(leader);
            sleep_s(std::max(0.0, frozen_at + frozen_s - platform.record.now()));
            platform.thaw(front);
        }
        // Calm after contact_ms; then cancel_ms + stop_grace_ms; and 7 s more.
        sleep_s(contact_s + cancel_s + stop_grace_s + 7);
        const std::string phase = platform.phase(job);
        if (count_active(platform) == 0) return {};
        return "UNASKED: the DELETE was answered " + std::to_string(status) +
               "; 13 s after the last trouble the job is shown as " + phase + ", and its task runs";
    });
}
