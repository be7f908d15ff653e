// An iteration of the daemon's event loop: everything that follows from a change or from time, in a fixed order, and
// when the next one is due.
#include "control/daemon/control_daemon.hpp"

namespace calicostall {

namespace {

// At least so often there is an iteration, even if nothing is due.
constexpr Micros idle_interval = milliseconds(200), leading_interval = milliseconds(100);

}  // namespace

// First what others wait for on time (heartbeats, orders, promises, writes), then planning, then what planning
// proposed.
void ControlDaemon::run_iteration(Micros now) {
    bootstrap_.send_messages(now);
    refresh_membership(now);
    locate_membership(now);
    request_join(now);
    register_with_leader(now);
    if (membership_.is_member() && !is_shutdown_announced_) run_election(now);
    agree_on_time(now);
    calls_.dispatch(now);
    send_store_messages(now);
    if (leadership_.is_leading()) confirm_leadership(now);
    if (leadership_.is_serving()) {
        maintain_membership(now);
        maintain_directory(now);
        scheduler_.tick(now, quorum_clock_.wall_clock(now), leader_.confirmed_at(), quorum_clock_.is_settled(now));
        snapshots_.log_if_due(now);
    }
    send_store_messages(now);
    log_counters(now);
}

void ControlDaemon::respond_to_waiting() {
    agents_.respond(steady_now(), iterations_.timer_lateness());
    respond_to_watches(steady_now());
}

Micros ControlDaemon::next_due_at(Micros now) {
    Micros next = now + idle_interval;
    auto include = [&next](std::optional<Micros> due) {
        if (due) next = std::min(next, *due);
    };
    include(bootstrap_.next_message_at());
    if (membership_.is_member()) include(detector_.next_tick_at(now));
    if (leader_.leading()) include(now + leading_interval);
    const bool awaits_election = !leader_.leading() && leader_.state() != Leader::State::idle;
    if (leader_.is_draining() || awaits_election) include(now + settings_.leader.untrusted_retry_interval);
    if (leadership_.is_serving()) include(scheduler_.next_tick_at(now, quorum_clock_.wall_clock(now)));
    include(agents_.next_due_at());
    include(calls_.next_due_at());
    include(leader_.next_message_at());
    return next;
}

void ControlDaemon::on_timer_fired(Micros lateness, Micros now) {
    if (suspicion_.on_timer_fired(lateness, leadership_.leading_since(), now))
        log_line("control", "leadership yielded cause=late_timers lateness_ms={}", lateness / 1000);
}

void ControlDaemon::confirm_leadership(Micros now) {
    const Micros interval =
        scheduler_.has_placed_runs() ? settings_.confirm_interval_busy : settings_.confirm_interval_idle;
    const bool is_confirmed = now - leader_.confirmed_at() <= interval;
    if (is_confirmed || now - confirmation_requested_at_ <= settings_.min_confirm_interval) return;
    confirmation_requested_at_ = now;
    leader_.request_confirmation();
}

void ControlDaemon::log_counters(Micros now) {
    if (now - counters_logged_at_ <= settings_.counters_interval) return;
    counters_logged_at_ = now;
    const std::string text = counters().changes_text();
    if (text.empty()) return;
    log_line("counters", "{}", text);
    if (leadership_.is_leading()) log_line("gauges", "{}", scheduler_.gauges());
}

}  // namespace calicostall
