/// The failure detector behind the leader election: the three tasks of docs/detector.md as a pure state machine.
///
/// Each daemon trusts one member, by its rank in the membership: the lowest one that it hears. A daemon that trusts
/// itself sends heartbeats to all of higher rank. Pure: the caller passes the time in, microseconds of the monotonic
/// clock, and sends the heartbeats.
#pragma once
#include "common.hpp"

namespace calicostall {

struct DetectorSettings {
    Micros heartbeat_interval = milliseconds(200);
    Micros timeout = seconds(1);                   // of a heartbeat, at first
    Micros timeout_increment = milliseconds(100);  // added after each false suspicion,
    Micros max_timeout = seconds(3);               // up to here
    Micros timeout_decay_interval = seconds(20);   // without a false suspicion for so long, one increment goes
};

/// p_1..p_n of the page have the ranks 0..n-1.
/// Example: Detector detector(settings, 2, 3, now); for (size_t rank : detector.tick(now)) send_heartbeat(rank);
class Detector {
public:
    /// @param self_rank this daemon's rank
    /// @param member_count how many ranks there are
    Detector(DetectorSettings settings, size_t self_rank, size_t member_count, Micros now);

    size_t self_rank() const { return self_rank_; }
    size_t member_count() const { return member_count_; }
    /// The rank of the member that this daemon takes for the leader; never above its own.
    size_t trusted_rank() const { return trusted_rank_; }
    bool trusts_itself() const { return trusted_rank_ == self_rank_; }
    /// How long a heartbeat of this rank is waited for.
    Micros timeout_of(size_t rank) const { return rank < timeouts_.size() ? timeouts_[rank] : settings_.timeout; }

    /// While silent (not caught up, or suspecting itself) a daemon sends no heartbeats, though it may trust itself.
    void set_silent(bool silent) { silent_ = silent; }
    bool is_silent() const { return silent_; }

    /// The membership changed: a replaced member's rank goes, a new one is appended.
    /// @param trusted_rank the new rank of the member trusted so far (`member_count` when it has gone)
    void reorder(size_t self_rank, size_t member_count, size_t trusted_rank, Micros now);

    /// Tasks 1 and 2.
    /// @return the ranks that are to be sent a heartbeat now
    std::vector<size_t> tick(Micros now);

    /// Task 3: a heartbeat arrived.
    /// @return false when it is discarded
    bool on_heartbeat(size_t sender_rank, Micros now);

    /// A planned stop was announced: the trust in that member ends at once.
    void on_shutdown(size_t sender_rank, Micros now);

    /// When the next tick has something to do.
    Micros next_tick_at(Micros now) const;

private:
    void suspect_trusted(Micros now);
    void trust(size_t rank, Micros now);
    void decay_timeouts(Micros now);

    DetectorSettings settings_;
    size_t self_rank_ = 0;
    size_t member_count_ = 0;
    size_t trusted_rank_ = 0;
    bool heartbeat_received_ = false;  // of the trusted member, within the time-out that runs
    bool silent_ = false;
    std::vector<Micros> timeouts_;  // of the members of lower rank
    Micros waiting_since_ = 0;      // when the time-out that runs began
    Micros stable_since_ = 0;       // the last false suspicion, or decay
    Micros next_heartbeat_at_ = 0;
};

}  // namespace calicostall
