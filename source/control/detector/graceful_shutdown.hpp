/// How a member shuts down gracefully: it ends only after all that it holds is held by a majority without it.
///
/// A follower asks the leader until that is so, then stops acknowledging writes, asks once more and ends. The second
/// answer is the one that counts: whatever was committed with this member's acknowledgement was proposed before it
/// stopped, so it is among what the leader then finds on a majority of the others; and nothing later counts this
/// member. A leader that shuts down transfers its leadership under the same condition, see Election.
///
/// Owned by the daemon that shuts down. Pure: the caller passes the time in, microseconds of the monotonic clock.
#pragma once
#include "common.hpp"

namespace calicostall {

/// Example: shutdown.begin(deadline); shutdown.on_response(response.level);
///          if (shutdown.is_due(now)) announce();
class GracefulShutdown {
public:
    enum class Phase {
        running,               // no shutdown is planned
        awaiting_replication,  // asks the leader, and still acknowledges writes
        withdrawn,             // asks once more, and acknowledges nothing any more
        complete,              // others hold everything
    };

    /// From now on this member wants to end; at `deadline` it ends in any case.
    void begin(Micros deadline);
    /// The leader's response to a request made in the present phase.
    /// @param is_replicated whether a majority of the others holds everything up to the sequence of the request
    void on_response(bool is_replicated);
    /// This daemon was the leader and has transferred its leadership.
    void on_leadership_transferred();

    Phase phase() const { return phase_; }
    bool is_shutting_down() const { return phase_ != Phase::running; }
    /// Whether the own replica still acknowledges writes and grants terms.
    bool is_participating() const { return phase_ == Phase::running || phase_ == Phase::awaiting_replication; }
    /// Whether it is time to announce the shutdown and end.
    bool is_due(Micros now) const { return phase_ == Phase::complete || (is_shutting_down() && now >= deadline_); }

    /// What the leader's response named in this phase, to be named by the next request; `sequence` is 0 at first.
    Term term;
    std::uint64_t sequence = 0;

private:
    Phase phase_ = Phase::running;
    Micros deadline_ = 0;
};

}  // namespace calicostall
