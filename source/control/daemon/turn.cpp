// The turn: everything that follows from a change or from time, in a fixed order, and when the next one is due.
#include "control/daemon/control.hpp"

namespace calicostall {

namespace {

// At least so often a turn is made, whatever nothing is waiting for.
constexpr Micros idle_interval = milliseconds(200), acting_interval = milliseconds(100);
// Timers are not set closer than this, nor is one set again that is off by no more.
constexpr Micros timer_resolution = 500;
// A timer that is overdue by this much is taken as lost.
constexpr Micros timer_lost_after = milliseconds(50);
// The weight of the newest timer in the smoothed lateness is one in so many.
constexpr Micros lateness_weight = 8;

}  // namespace

void Control::turn_on_timer() {
    std::lock_guard guard(lock_);
    timer_at_ = 0;
    turn();
}

void Control::turn() {
    if (in_turn_) {
        turn_requested_ = true;
        return;
    }
    in_turn_ = true;
    const Micros begun_at = steady_now();
    Micros now = begun_at;
    for (size_t round = 0; round < settings_.turn_rounds_max; ++round) {
        turn_requested_ = false;
        turn_round(now);
        now = steady_now();
        if (!turn_requested_ || now - begun_at > settings_.turn_duration_max) break;
    }
    // Those who wait are looked at once a turn, however many rounds it took.
    answer_sides(steady_now());
    answer_news(steady_now());
    in_turn_ = false;
    turn_pace_.ended(begun_at, now);
    schedule_turn(now);
}

void Control::request_turn() {
    if (in_turn_) {
        turn_requested_ = true;
        return;
    }
    const Micros now = steady_now();
    const Micros due = turn_pace_.earliest(owner_.acting());
    if (now >= due) return turn();
    turn_requested_ = true;
    // Most often the timer is set already, and what comes next need not be worked out.
    const bool scheduled = timer_at_ <= due + timer_resolution && timer_at_ > now - timer_lost_after;
    if (!scheduled) schedule_turn(now);
}

// First what others wait for on time (heartbeats, orders, promises, writes), then planning, then what planning
// proposed.
void Control::turn_round(Micros now) {
    send_founding_messages(now);
    refresh_core(now);
    locate_core(now);
    request_join(now);
    if (place_ && !left_) run_election(now);
    judge_time(now);
    send_held_calls(now);
    send_store_messages(now);
    if (acting()) confirm_ownership(now);
    if (serving()) {
        maintain_core(now);
        scheduler_.tick(now, core_clock_.wall(now), owner_.confirmed_at(), core_clock_.settled(now));
        log_snapshot(now);
    }
    send_store_messages(now);
    log_counters(now);
}

// Asks a majority again whether this daemon is still the owner, when their last answers are too old.
void Control::confirm_ownership(Micros now) {
    const Micros interval = scheduler_.anything_held() ? settings_.probe_interval_busy : settings_.probe_interval_idle;
    if (now - owner_.confirmed_at() <= interval || now - probed_at_ <= settings_.probe_interval_min) return;
    probed_at_ = now;
    owner_.probe();
}

void Control::log_counters(Micros now) {
    if (now - counted_at_ <= settings_.counters_interval) return;
    counted_at_ = now;
    const std::string text = counters().changed_text();
    if (text.empty()) return;
    log_line("counters", "{}", text);
    if (acting()) log_line("gauges", "{}", scheduler_.gauges());
}

void Control::schedule_turn(Micros now) {
    const Micros next = next_turn_at(now);
    if (timer_at_ != 0 && timer_at_ <= next + timer_resolution && timer_at_ > now - timer_lost_after) return;
    timer_at_ = next;
    loop_.after(next - now, [this, next] {
        std::lock_guard guard(lock_);
        if (timer_at_ != next) return;
        timer_at_ = 0;
        const Micros fired_at = steady_now(), late = fired_at - next;
        const auto acting_since = owner_.acting() ? std::optional(acting_since_) : std::nullopt;
        if (suspicion_.fired(late, acting_since, fired_at))
            log_line("control", "is too slow to be owner, timers fire {} ms late", late / 1000);
        timer_lateness_ += (std::max<Micros>(0, late) - timer_lateness_) / lateness_weight;
        turn();
    });
}

Micros Control::next_turn_at(Micros now) {
    Micros next = now + idle_interval;
    if (auto due = founding_->next_pump()) next = std::min(next, *due);
    if (place_) next = std::min(next, detector_.next(now));
    if (owner_.acting()) next = std::min(next, now + acting_interval);
    if (owner_.draining() || (!owner_.acting() && owner_.state() != Owner::State::idle))
        next = std::min(next, now + settings_.owner.ask_again);
    if (serving()) next = std::min(next, scheduler_.next_tick(now, core_clock_.wall(now)));
    if (sides_pending_) next = std::min(next, sides_due_);
    if (auto due = held_calls_.next_at()) next = std::min(next, *due);
    if (auto due = owner_.next_message_at()) next = std::min(next, *due);
    if (turn_requested_) next = std::min(next, turn_pace_.earliest(owner_.acting()));
    return std::max(next, now + timer_resolution);
}

}  // namespace calicostall
