/// Which change of membership comes next: a leader's decision, from what it sees of members and learners. Pure.
///
/// The membership changes by one member at a time, and a change begins only when the one before it is committed: a
/// majority of the membership holds everything up to and including that change. So a decision is always taken for a
/// membership that is complete in this sense, and a removal is decided only if a majority of the remaining members
/// follows the leader and responds, that is, can catch up without the removed member.
///
/// A disk that is lost and a member that is unresponsive are told apart. What a lost disk held is lost: its member goes
/// at once and counts for nothing until then. An unresponsive member may come back with everything that it
/// acknowledged, so removing it can cost a copy that still counts. Let `tolerated` be how many disks of a membership
/// may be lost for good while a majority of it can still come back, (n - 1) / 2 for n members whose other members all
/// return:
///
///   members          | 2 | 3 | 4 | 5 | 6 | 7
///   tolerated        | 0 | 1 | 1 | 2 | 2 | 3
///
/// From an even size to the odd one below it, and from an odd size to the even one above it, nothing is lost; the other
/// way round it falls by one. So:
///  - A member whose disk is lost (its address answers under another replica id) goes at once, from a membership of any
///    size: the loss has happened, and without it the majority is smaller.
///  - An unresponsive member goes from a membership of even size only, of four at least, and while nobody asks to join:
///    the learner goes in first, which makes an even membership odd and loses nothing. From an odd one an unresponsive
///    member never goes by itself: a ready learner is added first, once the member has been unresponsive for
///    `replace_after`, and the membership is even then. (An odd one with a member that never comes back tolerates as
///    much as the even one without it.)
///  - Before that, while a member of an odd membership doesn't respond, no learner is added: it would be needed at
///  once.
///  - A member that shuts down gracefully counts as responsive until its replacement is in, and once it is unresponsive
///    it goes like any other.
///  - Any change needs a majority of the membership after it that responds and follows, without those whose disks are
///    lost.
///
/// A membership of two (three that lost a disk) stays as it is until a learner is ready: an unresponsive one of two may
/// be the only other copy.
#pragma once
#include "common.hpp"
#include "control/store/membership.hpp"

namespace calicostall {

struct MembershipManagerSettings {
    /// An unresponsive member goes after `replace_after` where a learner has just come in its stead: another machine
    /// may be lost as soon as that one has caught up.
    Micros replace_after = seconds(2);
    /// Else after so long, longer than suspensions and network partitions last, as each change of membership costs a
    /// transfer when the member comes back.
    Micros remove_after = seconds(12);
    Micros replacement_window = seconds(10);                 // for so long a new member counts as having just come
    Micros join_request_lifetime = seconds(3);               // a learner that stopped asking is forgotten
    Micros disk_loss_confirmation_time = milliseconds(500);  // a new leader believes a lost disk only after so long
    Micros reachable_within = seconds(1);                    // a member that responded within this time is reachable
    size_t max_size = 9;
    size_t min_size = 3;  // without a learner no membership gets smaller, and by unresponsiveness alone none ever does
};

/// What the leader knows of members and learners; `LeaderHealth` reads it from a `Leader`.
class MembershipHealth {
public:
    virtual ~MembershipHealth() = default;
    /// The last change of membership is committed.
    virtual bool membership_committed() const = 0;
    /// The member has responded since then.
    virtual bool responded_since(ReplicaId replica_id, Micros since) const = 0;
    /// The member's disk is lost: its address answers under another replica id.
    virtual bool is_disk_lost(ReplicaId replica_id) const = 0;
    /// It was sent everything in this term, and gets what is new.
    virtual bool is_synchronized(ReplicaId replica_id) const = 0;
};

/// A template, as a simulated leader serves as well as `Leader`.
template <class LeaderType>
class LeaderHealth : public MembershipHealth {
public:
    explicit LeaderHealth(const LeaderType& leader) : leader_(leader) {}
    bool membership_committed() const override { return leader_.membership_committed(); }
    bool responded_since(ReplicaId replica_id, Micros since) const override {
        return leader_.responded_since(replica_id, since);
    }
    bool is_disk_lost(ReplicaId replica_id) const override { return leader_.is_disk_lost(replica_id); }
    bool is_synchronized(ReplicaId replica_id) const override { return leader_.is_learner_ready(replica_id); }

private:
    const LeaderType& leader_;
};

/// The next change, with the membership as it will be.
struct MembershipChange {
    enum class Kind { none, add, remove };
    Kind kind = Kind::none;
    Member member;
    Membership membership;
};

/// Example, for a leader:
///   for (ReplicaId id : manager.expire_learners(leader.membership(), now)) leader.remove_learner(id);
///   MembershipChange change = manager.next_change(leader.membership(), LeaderHealth(leader), now);
///   if (change.kind != MembershipChange::Kind::none)
///       leader.change_membership(change.membership, encode(change.membership), nullptr);
class MembershipManager {
public:
    MembershipManager(MembershipManagerSettings settings, ReplicaId self) : settings_(settings), self_(self) {}

    /// This daemon became leader: what was seen before doesn't count.
    void begin_term(Micros now);
    void end_term() { learners_.clear(); }

    /// A daemon asks to become a member.
    /// @return whether it is new
    bool record_join_request(const Member& learner, Micros now);
    /// Forgets learners that became members or stopped asking.
    /// @return those
    std::vector<ReplicaId> expire_learners(const Membership& membership, Micros now);
    /// Those who ask now; each is to be a learner of the leader.
    std::vector<Member> learners() const;

    /// The change to be proposed now. One that adds a member is remembered as begun.
    MembershipChange next_change(const Membership& membership, const MembershipHealth& health, Micros now);

private:
    struct Learner {
        Member member;
        Micros last_contact_at = 0;
    };
    const Member* find_lost_member(const Membership& membership, const MembershipHealth& health, Micros now) const;
    bool is_lost(const Member& member, const Membership& membership, const MembershipHealth& health, Micros now) const;
    bool is_disk_lost(const Member& member, const MembershipHealth& health, Micros now) const;
    bool is_address_reused(const Member& member) const;
    bool is_reachable(const Member& member, const MembershipHealth& health, Micros now) const;
    bool counts_toward_majority(const Member& member, const MembershipHealth& health, Micros now) const;
    bool can_commit(const Membership& membership, const MembershipHealth& health, Micros now) const;
    const Member* find_ready_learner(const MembershipHealth& health) const;
    bool should_wait_for_member(const Membership& membership, const MembershipHealth& health, Micros now) const;
    bool is_unresponsive_for(const Member& member, Micros timeout, const MembershipHealth& health, Micros now) const;
    Micros removal_timeout(Micros now) const;

    MembershipManagerSettings settings_;
    ReplicaId self_;
    std::map<ReplicaId, Learner> learners_;
    Micros leading_since_ = 0;
    std::optional<Micros> last_addition_at_;  // of a member, in this term
};

}  // namespace calicostall
