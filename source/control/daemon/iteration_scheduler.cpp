#include "control/daemon/iteration_scheduler.hpp"

namespace calicostall {

namespace {

// Timers are not set closer than this, nor is one set again that is off by no more.
constexpr Micros timer_resolution = 500;
// A timer that is overdue by this much is taken as lost.
constexpr Micros timer_loss_timeout = milliseconds(50);
// The weight of the newest timer in the smoothed lateness is one in so many.
constexpr Micros lateness_weight = 8;

}  // namespace

IterationScheduler::IterationScheduler(const IterationSettings& settings, EventLoop& loop, std::recursive_mutex& mutex,
                                       IterationClient& client)
    : settings_(settings), loop_(loop), mutex_(mutex), client_(client), pacer_(settings.pacer) {}

void IterationScheduler::start() {
    loop_.run_after(0, [this] {
        std::lock_guard guard(mutex_);
        timer_due_at_ = 0;
        run();
    });
}

void IterationScheduler::run() {
    if (is_iterating_) {
        is_requested_ = true;
        return;
    }
    is_iterating_ = true;
    const Micros started_at = steady_now();
    Micros now = started_at;
    for (size_t iteration = 0; iteration < settings_.max_iterations; ++iteration) {
        is_requested_ = false;
        client_.run_iteration(now);
        now = steady_now();
        if (!is_requested_ || now - started_at > settings_.max_duration) break;
    }
    client_.respond_to_waiting();
    is_iterating_ = false;
    pacer_.on_iterations_ended(started_at, now);
    schedule(now);
}

void IterationScheduler::run_if_requested() {
    if (is_requested_) run();
}

void IterationScheduler::request() {
    if (is_iterating_) {
        is_requested_ = true;
        return;
    }
    const Micros now = steady_now();
    const Micros allowed_at = pacer_.next_allowed_at(client_.is_proposing());
    if (now >= allowed_at) return run();
    is_requested_ = true;
    // Most often the timer is set already, and what comes next need not be worked out.
    if (!is_timer_set_for(allowed_at, now)) schedule(now);
}

// Also true for an unset timer that was due at 0 as long as the clock itself is that young.
bool IterationScheduler::is_timer_set_for(Micros at, Micros now) const {
    return timer_due_at_ <= at + timer_resolution && timer_due_at_ > now - timer_loss_timeout;
}

void IterationScheduler::schedule(Micros now) {
    const Micros next = next_at(now);
    if (timer_due_at_ != 0 && is_timer_set_for(next, now)) return;
    timer_due_at_ = next;
    loop_.run_after(next - now, [this, next] {
        std::lock_guard guard(mutex_);
        on_timer(next);
    });
}

Micros IterationScheduler::next_at(Micros now) {
    Micros next = client_.next_due_at(now);
    if (is_requested_) next = std::min(next, pacer_.next_allowed_at(client_.is_proposing()));
    return std::max(next, now + timer_resolution);
}

void IterationScheduler::on_timer(Micros due_at) {
    if (timer_due_at_ != due_at) return;  // it was set anew since
    timer_due_at_ = 0;
    const Micros fired_at = steady_now();
    const Micros lateness = fired_at - due_at;
    client_.on_timer_fired(lateness, fired_at);
    timer_lateness_ += (std::max<Micros>(0, lateness) - timer_lateness_) / lateness_weight;
    run();
}

}  // namespace calicostall
