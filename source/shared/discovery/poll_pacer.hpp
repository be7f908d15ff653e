// How often agents poll their leader: the leader sets the backoff, each agent keeps to it. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

// All times are microseconds.
struct PollBackoffSettings {
    Micros tolerated_lateness = milliseconds(10);  // of the leader's own timers: up to this it isn't overloaded
    std::int64_t backoff_per_lateness = 2;         // how much backoff for each unit of lateness beyond
    Micros max_backoff = milliseconds(200);
};

// The backoff of each agent between a response and its next request, by the leader's own lateness. A leader on time
// asks for none, however many agents there are: a backoff delays each wave of a job, and costs its client more than the
// leader.
// Example: poll_backoff({}, milliseconds(30)) == milliseconds(40), poll_backoff({}, milliseconds(2)) == 0
inline Micros poll_backoff(const PollBackoffSettings& settings, Micros lateness) {
    return std::clamp<Micros>((lateness - settings.tolerated_lateness) * settings.backoff_per_lateness, 0,
                              settings.max_backoff);
}

enum class PollUrgency {
    idle,    // nothing to report: waits at the leader, one at a time
    normal,  // carries something to report, and keeps the backoff
    urgent,  // goes at once
};

// Example: PollPacer pacer; if (now >= pacer.next_send_at(PollUrgency::normal, in_flight)) { pacer.on_request(now); ...
// }
class PollPacer {
public:
    static constexpr Micros never = std::numeric_limits<Micros>::max();

    // A request was sent.
    void on_request(Micros now) { last_request_at_ = now; }
    // A response has come that asks for this backoff.
    void on_response(Micros now, Micros backoff) {
        backoff_ = backoff;
        backoff_ends_at_ = now + backoff;
    }
    // A new leader is known: no backoff that an earlier one asked for holds.
    void reset() {
        backoff_ = 0;
        backoff_ends_at_ = 0;
    }
    // From when on the next request may be sent, with so many in flight; `never`: not before a response has come.
    Micros next_send_at(PollUrgency urgency, size_t in_flight) const {
        if (in_flight >= 2 || (in_flight == 1 && urgency == PollUrgency::idle)) return never;
        if (urgency == PollUrgency::urgent) return 0;
        return in_flight == 0 ? backoff_ends_at_ : std::max(backoff_ends_at_, last_request_at_ + backoff_);
    }

private:
    Micros backoff_ = 0, backoff_ends_at_ = 0, last_request_at_ = 0;
};

}  // namespace calicostall
