/// The time of day that a leader acts by: agreed on from the clocks of the members, of which any minority may be wrong.
///
/// All arithmetic is on offsets, a time of day less the own monotonic clock. Of n members at most f = (n - 1) / 2
/// clocks are taken to be wrong, by any amount, in either direction. Of k readings, sorted, the one at k - f - 1 has f
/// others above it, so it is not ahead of every right clock; the one at f is not behind every right clock. Between
/// these two bounds lies what may be right. Once all have responded they meet in the middle clock (for even n: the two
/// middle ones).
///
///  - unknown: no majority has responded yet, and no leader shared its time. There is no time of day.
///  - provisional: a majority has responded, but their clocks differ. The lower bound counts: what is due then comes
///  late
///    by the skew of a clock at worst, never early. It changes at once with each reading.
///  - agreed: the bounds met once, or the last leader shared its time. From then on it runs by the monotonic clock.
///  Where
///    it lies outside the bounds it is slewed, and it steps only after a majority has said the same for `step_after`.
///
/// So with at most f wrong clocks within any `reading_lifetime`, and any restarts, the time is never ahead of the right
/// clocks but by what they differ themselves: at first it is the lower bound; it is moved forward to a lower bound
/// only; and what a leader shares was made in this way. The time an earlier leader went by counts for more than clocks
/// read after a start: it was agreed on before they were set, and nobody can set a monotonic clock.
///
/// Owned by the daemon. Pure: the caller passes the time in, microseconds of the monotonic clock.
#pragma once
#include "control/store/membership.hpp"
#include "shared/time/agreed_time.hpp"

namespace calicostall {

struct QuorumClockSettings {
    /// How far the bounds may lie apart for the clocks to agree; also how far off a clock counts as skewed.
    Micros agreement_tolerance = milliseconds(500);
    /// A reading counts for so long; later the clock may have been set. A leader asks each member several times a
    /// second.
    Micros reading_lifetime = milliseconds(1500);
    /// An agreed time is slewed by one microsecond in so many.
    Micros slew_divisor = 20;
    /// A majority's clocks that say another time for so long are believed at once.
    Micros step_after = seconds(30);
    /// A time agreed on by readings alone waits so long for somebody who remembers an earlier leader's.
    Micros recall_timeout = seconds(2);
};

/// A member's time of day, and between which times of the own monotonic clock it was read.
struct ClockReading {
    Micros wall_clock = 0;
    Micros requested_at = 0;
    Micros received_at = 0;
};

/// Something worth a line of the log.
struct ClockEvent {
    enum class Kind {
        skewed,     // a member's clock is off the agreed time; `offset`: the clock's time less the agreed one
        recovered,  // it no longer is
        stepped,    // the agreed time was set to the majority's; `offset`: by how much
        recalled,   // the agreed time was set to an earlier leader's; `offset`: by how much
    };
    Kind kind = Kind::skewed;
    ReplicaId member;
    Micros offset = 0;
    bool operator==(const ClockEvent&) const = default;
};

/// Example: clock.begin_term(term); clock.record_reading(term, member, {response.wall_clock, requested_at, now});
///          clock.update(membership, self, wall_clock_now(), now); if (clock.is_known()) act_by(clock.wall_clock(now));
class QuorumClock {
public:
    enum class State { unknown, provisional, agreed };

    explicit QuorumClock(QuorumClockSettings settings = {}) : settings_(settings) {}

    /// This daemon asks for a term: only readings from now on count for it. Terms that are not new are ignored.
    void begin_term(Term term);

    /// A member's response to a request of that term.
    void record_reading(Term term, ReplicaId member, const ClockReading& reading);

    /// What the current leader goes by, as its writes report it.
    void follow_leader(const AgreedTime& reported, Micros now);

    /// What a member remembers of an earlier leader, as it grants the term, or an agent, as it polls.
    void recall_earlier_time(const AgreedTime& remembered, Micros now);

    /// To be called by a leader several times a second, and before it asks for the time.
    /// @param local_wall_clock this daemon's own time of day
    /// @return what happened, for the log
    std::vector<ClockEvent> update(const Membership& membership, ReplicaId self, Micros local_wall_clock, Micros now);

    /// Whether a majority has responded in this term, so that a leader may go by the time.
    bool is_known() const { return has_majority_readings_ && state_ != State::unknown; }
    /// Whether what is due may be done: the time was shared by an earlier leader, or nobody came who remembers one.
    /// When all members were down, agents still know it, and a majority of clocks may have been set in the meantime.
    bool is_settled(Micros now) const {
        return is_known() && (!is_from_readings_only_ || now - agreed_since_ >= settings_.recall_timeout);
    }
    State state() const { return state_; }
    /// The agreed time of day, microseconds since 1970.
    Micros wall_clock(Micros now) const { return offset_ + now; }
    /// What is shared with others: nothing unless the time is agreed, and nobody is waited for who remembers a better
    /// one.
    AgreedTime time_to_share(Micros now) const;

private:
    /// What a member's clock may show, as an offset from the own monotonic clock.
    struct OffsetRange {
        Micros low = 0;
        Micros high = 0;
        Micros received_at = 0;
    };
    struct Bounds {
        Micros low = 0;
        Micros high = 0;
    };

    void adopt(const AgreedTime& time, Micros now);
    /// None unless a majority has responded.
    std::optional<Bounds> bounds(const Membership& membership, Micros now) const;
    void agree_on_time(const Bounds& bounds, Micros now);
    void slew(const Bounds& bounds, ReplicaId self, Micros now, std::vector<ClockEvent>& events);
    void report_clock_skew(const Membership& membership, std::vector<ClockEvent>& events);

    QuorumClockSettings settings_;
    State state_ = State::unknown;
    Term term_;                           // the last one this daemon asked for
    Term agreed_term_;                    // whose leader's time this is
    bool has_majority_readings_ = false;  // in this term
    bool is_from_readings_only_ = false;  // no earlier leader's time was shared
    Micros offset_ = 0;
    Micros updated_at_ = 0;
    Micros agreed_since_ = 0;  // when the first readings gave a time
    std::optional<Micros> disagreed_since_;
    std::optional<Micros> recall_offset_;        // to be reported by the next update
    std::map<ReplicaId, OffsetRange> readings_;  // of this term
    std::set<ReplicaId> skewed_members_;
};

}  // namespace calicostall
