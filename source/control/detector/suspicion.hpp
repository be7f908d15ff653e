// Whether an owner is too slow to be one: its own timers fire far too late for a while. Pure: the caller passes the
// time in.
#pragma once
#include "common.hpp"

namespace calicostall {

struct SuspicionSettings {
    Micros late = milliseconds(250),
           early = milliseconds(60);      // a timer counts as late from here, as in time again up to here
    size_t times = 5;                     // so many late ones in a row,
    Micros lasting = milliseconds(1500);  // over at least so long
    Micros young = seconds(4);            // a takeover's one-time work is no sign
    Micros pause = seconds(3), pause_most = seconds(48);  // how long it stands back; doubled each time
    Micros calm = seconds(30);                            // after so long in time the pause begins anew
    Micros vacant = seconds(2);  // no other owner was heard of for so long: a slow owner is better than none
};

// Example: SelfSuspicion suspicion(settings); suspicion.fired(late_by, owner_since, now);
// detector.set_silent(suspicion.stands_back_for_another(now, owner_heard_at));
class SelfSuspicion {
public:
    explicit SelfSuspicion(SuspicionSettings settings) : settings_(settings), pause_(settings.pause) {}

    // A timer fired `late` after its time; `acting_since` is when this daemon began to act as owner, none when it does
    // not. Returns whether it begins to stand back now.
    bool fired(Micros late, std::optional<Micros> acting_since, Micros now) {
        if (!acting_since || now - *acting_since < settings_.young || now < least_until_) {
            late_times_ = 0;
            return false;
        }
        if (late <= settings_.early) {
            late_times_ = 0;
            if (calm_since_ < 0) calm_since_ = now;
            if (now - calm_since_ > settings_.calm) pause_ = settings_.pause;
            return false;
        }
        if (late < settings_.late) return false;
        calm_since_ = -1;
        if (late_times_++ == 0) late_since_ = now;
        if (late_times_ < settings_.times || now - late_since_ < settings_.lasting) return false;
        until_ = now + pause_;
        least_until_ = now + settings_.pause;
        pause_ = std::min(pause_ * 2, settings_.pause_most);
        late_times_ = 0;
        return true;
    }
    bool stands_back(Micros now) const { return now < until_; }
    // The same, but beyond the first pause only while another owner is at work; `heard_at` is when one was last heard.
    // Otherwise daemons that are all too slow would in the end all stand back at once.
    bool stands_back_for_another(Micros now, std::optional<Micros> heard_at) const {
        const bool another = heard_at && now - *heard_at < settings_.vacant;
        return stands_back(now) && (now < least_until_ || another);
    }

private:
    SuspicionSettings settings_;
    Micros pause_, until_ = 0, least_until_ = 0, late_since_ = 0, calm_since_ = -1;
    size_t late_times_ = 0;
};

}  // namespace calicostall
