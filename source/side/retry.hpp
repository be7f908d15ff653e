// How long the answer to a call is waited for, by how long earlier ones took. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

// A retransmission timeout after Jacobson and Karels (as in RFC 6298): the smoothed round trip and four times its mean
// deviation, doubled with each call that gets no answer. Only the round trips of answered calls are measured, and a
// call is never measured from its first attempt on (Karn), since each attempt is a call of its own.
// Example: AnswerTimeout timeout; send(timeout.value()); timeout.answered(milliseconds(3)); timeout.value() -> 40 ms
class AnswerTimeout {
public:
    struct Settings {
        Micros least = milliseconds(40);
        Micros most = milliseconds(200);  // also before the first answer
    };

    AnswerTimeout() = default;
    explicit AnswerTimeout(Settings settings) : settings_(settings) {}

    // How long the next answer is waited for.
    Micros value() const;
    void answered(Micros round_trip);
    // Calls that were under way together count as one: none of them was sent with the longer timeout.
    void unanswered(Micros sent_at, Micros now);
    // Nothing is known of the peer any more.
    void reset() { *this = AnswerTimeout(settings_); }

private:
    Settings settings_;
    Micros smoothed_ = 0, deviation_ = 0;
    bool measured_ = false;
    int doublings_ = 0;      // since the last answer
    Micros doubled_at_ = 0;  // the last time
};

}  // namespace calicostall
