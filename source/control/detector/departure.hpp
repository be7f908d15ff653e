// How a member leaves in order: it goes only after everything that it holds is held by a majority without it. Pure.
//
// A follower asks the owner until that is so, then stops acknowledging writes, asks once more and goes. The second
// answer is the one that counts: whatever was committed with this member's acknowledgement was proposed before it
// stopped, so it is among what the owner then finds on a majority of the others; and nothing later counts this member.
// An owner that leaves hands ownership over with the same condition, see Election.
#pragma once
#include "common.hpp"

namespace calicostall {

// Example: departure.begin(now, deadline); if (departure.asks()) ask_owner(); departure.note_answer(answer.level);
//          if (departure.is_due(now)) announce();
class Departure {
public:
    enum class Phase { staying, asking, closed, settled };

    // From now on this member wants to go; at `deadline` it goes in any case.
    void begin(Micros deadline) {
        phase_ = Phase::asking;
        deadline_ = deadline;
    }
    // The owner's answer to a request made in the present phase.
    void note_answer(bool level) {
        if (!level) return;
        epoch = Epoch{}, sequence = 0;
        if (phase_ == Phase::asking)
            phase_ = Phase::closed;
        else if (phase_ == Phase::closed)
            phase_ = Phase::settled;
    }
    // This daemon was the owner and has handed over in order.
    void note_handed_over() {
        if (phase_ != Phase::staying) phase_ = Phase::settled;
    }

    Phase phase() const { return phase_; }
    bool is_leaving() const { return phase_ != Phase::staying; }
    // Whether the own replica still acknowledges writes and grants terms.
    bool takes_part() const { return phase_ == Phase::staying || phase_ == Phase::asking; }
    // Whether it is time to announce the departure and go.
    bool is_due(Micros now) const { return phase_ == Phase::settled || (is_leaving() && now >= deadline_); }

    // What the owner's answer named in this phase, to be named by the next question; `sequence` is 0 at first.
    Epoch epoch;
    std::uint64_t sequence = 0;

private:
    Phase phase_ = Phase::staying;
    Micros deadline_ = 0;
};

}  // namespace calicostall
