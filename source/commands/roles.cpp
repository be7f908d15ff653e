#include "commands/roles.hpp"

#include <unistd.h>

#include <csignal>

#include "shared/http/listener.hpp"

namespace calicostall {

namespace {

// So long the last answers may take to leave, once a role has ended its work.
constexpr Micros last_answers_most = milliseconds(300);

std::atomic<bool> stop_asked{false}, settings_asked{false};

void take_signal(int signal) {
    if (signal == SIGTERM || signal == SIGINT) stop_asked = true;
    if (signal == SIGHUP) settings_asked = true;
}

void handle_signals() {
    std::signal(SIGTERM, take_signal);
    std::signal(SIGINT, take_signal);
    std::signal(SIGHUP, take_signal);
    std::signal(SIGPIPE, SIG_IGN);
}

[[noreturn]] void end_process() {
    log_line("process", "ends");
    std::fflush(stderr);
    _exit(0);
}

}  // namespace

Settings load_role_settings(const std::string& path, const char* address_name, std::string Settings::*address,
                            Findings& findings, std::string& text) {
    Settings settings = load_settings(path, findings, &text);
    if (findings.empty() && (settings.*address).empty())
        findings.add(fmt::format("bind_addrs.{}", address_name), "is missing");
    return settings;
}

int run_role(const RoleActions& role, Loop& loop, const std::string& path, std::string text) {
    handle_signals();
    if (Findings findings = role.open(); !findings.empty()) return report(run_error, findings);
    bool leaving = false;
    Micros next_look = steady_now() + seconds(2);
    std::function<void()> watch = [&] {
        if (stop_asked && !leaving) {
            leaving = true;
            role.leave([] { Listener::finish(last_answers_most, end_process); });
        }
        if (settings_asked.exchange(false) || steady_now() >= next_look) {
            next_look = steady_now() + seconds(2);
            Findings findings;
            std::string fresh;
            Settings settings = load_settings(path, findings, &fresh);
            if (fresh != text && findings.empty()) {
                text = fresh;
                log_line("process", "settings taken again");
                role.take_settings(settings);
            } else if (fresh != text) {
                text = fresh;
                log_line("process", "changed settings are not taken: {}", findings.text());
            }
        }
        loop.after(milliseconds(200), watch);
    };
    loop.after(milliseconds(200), watch);
    loop.run();
    return 0;
}

}  // namespace calicostall
