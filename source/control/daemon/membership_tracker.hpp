// The membership as this daemon knows it, and its own rank in it. Owns the latest membership that the own replica or a
// candidate showed, and the highest version that anybody named. Pure.
#pragma once
#include "common.hpp"
#include "control/membership/known_membership.hpp"

namespace calicostall {

// Example: if (auto change = tracker.adopt_if_later(value)) detector.reorder(...);
class MembershipTracker {
public:
    // What a later membership has changed.
    struct Change {
        Membership previous;
        std::optional<size_t> previous_rank;
        // Whether the members are the same ones in the same order.
        bool has_same_members = false;
    };

    // Goes by the membership in this register from now on, if it is later than the one that is known.
    std::optional<Change> adopt_if_later(const Register& value, ReplicaId own_replica_id);

    // Without members as long as nothing is known.
    const Membership& membership() const { return membership_; }
    // The register that the membership was read from; empty as long as nothing is known.
    const Register& membership_register() const { return known_.membership_register(); }

    // This daemon's rank among the members; nothing when it isn't one.
    std::optional<size_t> rank() const { return rank_; }
    bool is_member() const { return rank_.has_value(); }
    // This daemon was removed, as others say who know a later membership.
    void lose_rank() { rank_.reset(); }

    // The highest version of the membership that was heard of, in the own replica or elsewhere.
    std::uint64_t version() const { return version_; }
    void raise_version(std::uint64_t version) { version_ = std::max(version_, version); }

private:
    KnownMembership known_;
    Membership membership_;  // the same, without its register
    std::uint64_t version_ = 0;
    std::optional<size_t> rank_;
};

}  // namespace calicostall
