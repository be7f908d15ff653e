// How long the response to a call is waited for, by how long earlier ones took. Pure: sends nothing, reads no clock.
#pragma once
#include "common.hpp"

namespace calicostall {

// A retransmission timeout after Jacobson and Karels (as in RFC 6298): the smoothed round trip and four times its mean
// deviation, doubled with each call that gets no response. Only the round trips of answered calls are measured, and a
// call is never measured from its first attempt on (Karn), since each attempt is a call of its own.
// All times are microseconds of the monotonic clock.
// Example: ResponseTimeout timeout;
//          send(timeout.value());
//          timeout.record_response(milliseconds(3));
//          timeout.value() -> 40 ms
class ResponseTimeout {
public:
    struct Settings {
        Micros min = milliseconds(40);
        Micros max = milliseconds(200);  // also before the first response
    };

    ResponseTimeout() = default;
    explicit ResponseTimeout(Settings settings) : settings_(settings) {}

    // How long the next response is waited for.
    Micros value() const;
    // A call was answered after `round_trip`.
    void record_response(Micros round_trip);
    // A call that was sent at `sent_at` got no response until `now`.
    // Calls that were under way together count as one: none of them was sent with the longer timeout.
    void record_timeout(Micros sent_at, Micros now);
    // Nothing is known of the peer any more.
    void reset() { *this = ResponseTimeout(settings_); }

private:
    Settings settings_;
    Micros smoothed_round_trip_ = 0;
    Micros round_trip_deviation_ = 0;
    bool has_sample_ = false;
    int backoff_exponent_ = 0;  // since the last response
    Micros last_backoff_at_ = 0;
};

}  // namespace calicostall
