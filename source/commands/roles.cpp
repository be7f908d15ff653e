#include "commands/roles.hpp"

#include <unistd.h>

#include "commands/signals.hpp"
#include "shared/http/listener.hpp"

namespace calicostall {

namespace {

// How long the last responses may take to leave, once a role has ended its work.
constexpr Micros max_drain_time = milliseconds(300);
constexpr Micros signal_check_interval = milliseconds(200);
constexpr Micros reload_interval = seconds(2);

[[noreturn]] void exit_process() {
    log_line("process", "ends");
    std::fflush(stderr);
    _exit(0);
}

// Watches the signals and the settings file on behalf of a role, on the loop's thread.
class RoleSupervisor {
public:
    RoleSupervisor(const RoleActions& role, EventLoop& loop, std::string path, std::string text)
        : role_(role), loop_(loop), path_(std::move(path)), text_(std::move(text)) {}

    void start() {
        next_reload_at_ = steady_now() + reload_interval;
        schedule_check();
    }

private:
    void schedule_check() {
        loop_.run_after(signal_check_interval, [this] { check(); });
    }
    void check() {
        if (is_stop_requested() && !std::exchange(is_shutting_down_, true))
            role_.begin_graceful_shutdown([] { Listener::drain_connections(max_drain_time, exit_process); });
        if (take_reload_request() || steady_now() >= next_reload_at_) reload_settings();
        schedule_check();
    }
    void reload_settings() {
        next_reload_at_ = steady_now() + reload_interval;
        Findings findings;
        SettingsFile file = load_settings(path_, findings);
        if (file.text == text_) return;
        text_ = std::move(file.text);
        if (!findings.empty()) {
            log_line("process", "changed settings rejected findings=\"{}\"", findings.text());
            return;
        }
        log_line("process", "settings reloaded");
        role_.apply_settings(file.settings);
    }

    const RoleActions& role_;
    EventLoop& loop_;
    std::string path_;
    std::string text_;  // of the settings file when it was read last
    bool is_shutting_down_ = false;
    Micros next_reload_at_ = 0;
};

}  // namespace

SettingsFile load_role_settings(const std::string& path, const char* address_name, std::string Settings::*address,
                                Findings& findings) {
    SettingsFile file = load_settings(path, findings);
    if (findings.empty() && (file.settings.*address).empty())
        findings.add(fmt::format("bind_addrs.{}", address_name), "is missing");
    return file;
}

int run_role(const RoleActions& role, EventLoop& loop, const std::string& path, std::string text) {
    if (Findings findings = role.open(); !findings.empty()) return report_findings(exit_run_error, findings);
    RoleSupervisor supervisor(role, loop, path, std::move(text));
    supervisor.start();
    loop.run();
}

}  // namespace calicostall
