/// Whether a leader is too slow to be one: its own timers fire far too late for a while.
///
/// Owned by the daemon that it judges. Pure: the caller passes the time in, microseconds of the monotonic clock.
#pragma once
#include "common.hpp"

namespace calicostall {

struct SelfSuspicionSettings {
    Micros late_threshold = milliseconds(250);      // a timer counts as late from here,
    Micros on_time_threshold = milliseconds(60);    // as on time up to here
    size_t min_late_count = 5;                      // so many late ones in a row,
    Micros min_late_duration = milliseconds(1500);  // over at least so long
    Micros startup_grace = seconds(4);              // the one-time work after an election is no sign
    Micros initial_backoff = seconds(3);            // how long the daemon backs off; doubled each time,
    Micros max_backoff = seconds(48);               // up to so long
    Micros backoff_reset_after = seconds(30);       // timers were on time for so long: the back-off begins anew
    Micros leader_absence_timeout = seconds(2);  // no leader was heard of for so long: a slow one is better than none
};

/// Example: suspicion.on_timer_fired(lateness, leading_since, now);
///          detector.set_silent(suspicion.is_yielding_to_another(now, leader_last_contact_at));
class SelfSuspicion {
public:
    explicit SelfSuspicion(SelfSuspicionSettings settings) : settings_(settings), backoff_(settings.initial_backoff) {}

    /// A timer fired.
    /// @param lateness how long after its time, in microseconds
    /// @param leading_since when this daemon began to lead; none when it does not
    /// @return whether it begins to back off now
    bool on_timer_fired(Micros lateness, std::optional<Micros> leading_since, Micros now);

    bool is_backing_off(Micros now) const { return now < backoff_until_; }
    /// The same, but beyond the initial back-off only while another daemon leads: otherwise daemons that are all too
    /// slow would in the end all back off at once.
    /// @param last_contact_at when another leader was last heard of
    bool is_yielding_to_another(Micros now, std::optional<Micros> last_contact_at) const;

private:
    void record_on_time(Micros now);
    bool record_late(Micros now);

    SelfSuspicionSettings settings_;
    Micros backoff_;  // of the next time
    Micros backoff_until_ = 0;
    Micros min_backoff_until_ = 0;
    Micros late_since_ = 0;
    Micros on_time_since_ = -1;  // -1: the last timer was late
    size_t late_count_ = 0;      // in a row
};

}  // namespace calicostall
