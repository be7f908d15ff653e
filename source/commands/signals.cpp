#include "commands/signals.hpp"

#include <csignal>

#include "common.hpp"

namespace calicostall {

namespace {

constexpr std::array<int, 3> handled_signals = {SIGTERM, SIGINT, SIGHUP};

std::atomic<int> stop_signal{0};  // the signal that asked to stop; 0: none did
std::atomic<bool> is_reload_requested{false};
static_assert(std::atomic<int>::is_always_lock_free && std::atomic<bool>::is_always_lock_free);

void on_signal(int signal) {
    if (signal == SIGHUP)
        is_reload_requested = true;
    else
        stop_signal = signal;
}

}  // namespace

void install_signal_handlers() {
    for (int signal : handled_signals)
        std::signal(signal, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
}

void restore_default_signals() {
    for (int signal : handled_signals)
        std::signal(signal, SIG_DFL);
    if (const int signal = stop_signal) std::raise(signal);
    if (is_reload_requested) std::raise(SIGHUP);
}

bool is_stop_requested() {
    return stop_signal != 0;
}

bool take_reload_request() {
    return is_reload_requested.exchange(false);
}

}  // namespace calicostall
