// The time of day that an owner acts by: judged from the clocks of the core, of which any minority may be set wrong.
//
// All arithmetic is on offsets, a time of day less the own steady clock. Of a core of n at most f = (n - 1) / 2 clocks
// are taken to be wrong, by any amount, in either direction. Of k readings, sorted, the one at k - f - 1 has f others
// above it, so it is not ahead of every right clock; the one at f is not behind every right clock. Between these two
// bounds lies what may be right. Once all are heard they meet in the middle clock (for even n: the two middle ones).
//
//  - unknown: no majority was heard yet, and nothing was handed on. There is no time of day.
//  - provisional: a majority was heard, but their clocks differ. The lower bound counts: what is due then comes late
//    by the step of a clock at worst, never early. It changes at once with what is heard.
//  - agreed: the bounds met once, or the last owner handed its time on. From then on it runs by the steady clock. Where
//    it lies outside the bounds it is slewed, and it leaps only after a majority has said the same for `leap_after`.
//
// So with at most f wrong clocks within any `fresh_for`, and any restarts, the time is never ahead of the right clocks
// but by what they differ themselves: at first it is the lower bound; it is moved forward to a lower bound only; and
// what an owner hands on was made in this way. The time an earlier owner went by counts for more than clocks read after
// a start: it saw them before they were set, and nobody can set a steady clock.
#pragma once
#include "control/clock/judged_time.hpp"
#include "control/store/register.hpp"

namespace calicostall {

struct CoreClockSettings {
    // How far the bounds may lie apart for the clocks to agree; also how far off a clock counts as out.
    Micros agreement = milliseconds(500);
    // A reading counts for so long; later the clock may have been set. An owner asks each member several times a
    // second.
    Micros fresh_for = milliseconds(1500);
    // An agreed time is moved by one microsecond in so many.
    Micros slew_part = 20;
    // A majority's clocks that say another time for so long are believed at once.
    Micros leap_after = seconds(30);
};

// A member's time of day, and between which times of the own steady clock it was read.
struct ClockReading {
    Micros wall = 0, asked_at = 0, heard_at = 0;
};

// Something worth a line of the log. `by`: the clock's time less the judged one, or how far the judged time leapt.
struct ClockNotice {
    enum class Kind { out, back, leapt, recalled } kind = Kind::out;
    Identity member;
    Micros by = 0;
    bool operator==(const ClockNotice&) const = default;
};

// Example: clock.begin_term(epoch); clock.note_member(epoch, member, {answer.wall, asked_at, now});
//          clock.update(core, self, wall_now(), now); if (clock.known()) act_by(clock.wall(now));
class CoreClock {
public:
    enum class State { unknown, provisional, agreed };

    explicit CoreClock(CoreClockSettings settings = {}) : settings_(settings) {}

    // This daemon asks for a term: only what is heard from now on counts for it. Terms that are not new are ignored.
    void begin_term(Epoch term);

    // A member's answer to a question of that term.
    void note_member(Epoch term, Identity member, const ClockReading& reading);

    // What the present owner goes by, as its writes tell it.
    void follow(const JudgedTime& told, Micros now);

    // What a member remembers of an earlier owner, as it grants the term.
    void recall(const JudgedTime& remembered, Micros now);

    // To be called by an owner often enough, and before it asks for the time.
    std::vector<ClockNotice> update(const Core& core, Identity self, Micros own_wall, Micros now);

    // Whether a majority of the core was heard in this term, so that an owner may go by the time.
    bool known() const { return heard_ && state_ != State::unknown; }
    State state() const { return state_; }
    // The judged time of day.
    Micros wall(Micros now) const { return offset_ + now; }
    // What is handed on: nothing unless the time is agreed.
    JudgedTime handed_on(Micros now) const;

private:
    struct Offset {
        Micros low = 0, high = 0, heard_at = 0;
    };
    struct Bounds {
        Micros low = 0, high = 0;
    };

    void take(const JudgedTime& time, Micros now);
    // None unless a majority was heard.
    std::optional<Bounds> bounds(const Core& core, Micros now) const;
    void judge_anew(const Bounds& bounds);
    void slew(const Bounds& bounds, Identity self, Micros now, std::vector<ClockNotice>& notices);
    void tell_clocks_out(const Core& core, std::vector<ClockNotice>& notices);

    CoreClockSettings settings_;
    State state_ = State::unknown;
    Epoch term_;               // the last one this daemon asked for
    Epoch judged_term_;        // whose owner's time this is
    bool heard_ = false;       // a majority, in this term
    bool from_start_ = false;  // judged by clocks alone, nothing was handed on
    Micros offset_ = 0, updated_at_ = 0;
    std::optional<Micros> disagreed_since_;
    std::optional<Micros> recalled_by_;
    std::map<Identity, Offset> readings_;  // of this term
    std::set<Identity> out_;
};

}  // namespace calicostall
