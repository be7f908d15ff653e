/// The members and learners that a leader replicates to, and what counts for a majority of them.
///
/// Owned by one `Leader`. A learner is handed everything but counts for no majority; neither does a member whose disk
/// is known to be lost.
#pragma once
#include "common.hpp"
#include "control/store/membership.hpp"
#include "control/store/peer.hpp"

namespace calicostall {

class PeerSet {
public:
    const Membership& membership() const { return membership_; }
    /// Sets the membership; `update` brings the peers into line with it.
    void set_membership(const Membership& membership) { membership_ = membership; }

    void add_learner(const Member& member) { learners_[member.replica_id] = member; }
    void remove_learner(ReplicaId replica_id) { learners_.erase(replica_id); }
    bool has_learner(ReplicaId replica_id) const { return learners_.contains(replica_id); }

    /// Makes a peer for each member and learner that has none, and drops those of all others.
    void update();
    /// Begins the replication to each of them anew.
    void restart_replication();
    /// Forgets peers and learners; the membership stays.
    void clear();

    bool empty() const { return peers_.empty(); }
    std::map<ReplicaId, Peer>& all() { return peers_; }
    const std::map<ReplicaId, Peer>& all() const { return peers_; }
    /// The peer; null when there is none, or its disk is known to be lost.
    const Peer* find_live(ReplicaId replica_id) const;
    /// The peer's disk is known to be lost: another replica answers at its address.
    bool is_disk_lost(ReplicaId replica_id) const;
    /// The peer that this request went to, which may be sent the next one now; null for a request that nobody awaits.
    Peer* end_request(std::uint64_t request_id);

    // --- majorities; only members with a live peer count ---

    /// Whether a majority of the membership was sent all that the election chose, and acknowledged it.
    bool is_majority_synchronized() const;
    /// Whether a majority has responded since then; `self` counts as responding.
    bool is_majority_responsive(ReplicaId self, Micros since) const;
    /// How many members but `excluded` have acknowledged everything up to `sequence`; `last_sequence` is the leader's
    /// last proposal.
    size_t caught_up_count(Sequence sequence, Sequence last_sequence,
                           std::optional<ReplicaId> excluded = std::nullopt) const;
    /// Whether a majority has this version of the key, or a later one.
    bool is_majority_at(const std::string& key, Version version) const;
    /// Whether a majority has confirmed this round, or a later one.
    bool is_majority_in_round(std::uint64_t confirmation_round) const;
    /// Whether every member and learner has this version of the key, or a later one.
    bool is_everyone_at(const std::string& key, Version version) const;
    /// The sending time of the oldest request that the newest majority of granted writes needs; -1: a majority has not
    /// granted one yet.
    Micros majority_acknowledged_send_at() const;

private:
    template <class Predicate>
    size_t count_members(Predicate predicate) const;

    Membership membership_;
    std::map<ReplicaId, Member> learners_;
    std::map<ReplicaId, Peer> peers_;
};

}  // namespace calicostall
