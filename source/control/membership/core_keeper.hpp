/// Which change of membership comes next: an acting owner's decision, from what it sees of members and joiners. Pure.
///
/// The core changes by one member at a time, and a change begins only when the one before it is settled: a majority of
/// the core holds everything up to and including that change. So a decision is always taken for a core that is whole in
/// this sense, and a removal is decided only if a majority of the rest follows the owner and is heard, that is, can get
/// level without the removed member.
///
/// Order of a replacement. Let `margin` be how many more members may be lost while a majority of the core lives:
/// living - (n / 2 + 1) for a core of n. A dead member D, a joiner J that holds everything:
///
///   core      | before | remove D first | add J first | after both
///   3, D dead |   0    |       0        |      0      |     1
///   4, D dead |   0    |       1        |      1      |     1
///   5, D dead |   1    |       1        |      1      |     2
///   6, D dead |   1    |       2        |      2      |     2
///
/// The margin after the first step is the same in both orders, but the two differ in who may be lost: with J added
/// first J counts, and its loss costs one more (3: {a, b, D, J} needs a, b and J). With D removed first J isn't needed
/// yet. D can't be counted on: its return would help only where J was added first. So the dead one goes first:
///  - From a core of even size at once: that alone raises the margin, no joiner is needed.
///  - From one of odd size only when a joiner is ready, so that both changes follow each other within a few round
///  trips;
///    until then D may still come back and count. Its margin doesn't rise by the removal alone.
///  - A member whose address answers under another identity can't come back. It goes at once, in any size.
///  - While a member of an odd core is out of hearing and not yet given up, a joiner is not added: it would make the
///  core
///    even, with all but one needed (3: all three living). It is a matter of `replace_after` at most.
/// A member that leaves in order is alive until its replacement is in: the joiner is added first, as nobody is dead
/// (3: {a, b, P, J} bears one loss, {a, b} none), and once the leaving one is silent it goes like any other.
///
/// Without a joiner a silent member of an odd core goes after `remove_after`, and never from a core of `size_min`.
#pragma once
#include "common.hpp"
#include "control/store/register.hpp"

namespace calicostall {

struct CoreKeeperSettings {
    /// A silent member goes after `replace_after` where a joiner waits or has just come in its stead: another machine
    /// may be lost as soon as that one has caught up. Else after `remove_after`, longer than freezes and cuts last, as
    /// each change of the core costs a transfer when the member comes back.
    Micros replace_after = seconds(2), remove_after = seconds(12);
    Micros replacement_window = seconds(10);        // for so long a new member counts as having just come
    Micros join_request_lifetime = seconds(3);      // a joiner that stopped asking is forgotten
    Micros gone_settling_time = milliseconds(500);  // a new owner believes only after so long that a disk is gone
    Micros reachable_within = seconds(1);           // a member counts as heard when it answered within this time
    size_t size_max = 9;
    size_t size_min = 3;  // without a joiner no core gets smaller than this
};

/// What the owner knows of members and joiners; `OwnerHealth` reads it from an `Owner`.
class CoreHealth {
public:
    virtual ~CoreHealth() = default;
    /// The last change of membership is settled.
    virtual bool is_settled() const = 0;
    /// The member answered anything since then.
    virtual bool heard_since(Identity identity, Micros since) const = 0;
    /// The member's disk is lost: its address answers under another identity.
    virtual bool is_gone(Identity identity) const = 0;
    /// It was handed everything in this term, and gets what is new.
    virtual bool is_following(Identity identity) const = 0;
};

template <class Owner>
class OwnerHealth : public CoreHealth {
public:
    explicit OwnerHealth(const Owner& owner) : owner_(owner) {}
    bool is_settled() const override { return owner_.membership_settled(); }
    bool heard_since(Identity identity, Micros since) const override { return owner_.heard_since(identity, since); }
    bool is_gone(Identity identity) const override { return owner_.is_gone(identity); }
    bool is_following(Identity identity) const override { return owner_.learner_ready(identity); }

private:
    const Owner& owner_;
};

/// The next change, with the core as it will be.
struct CoreChange {
    enum class Kind { none, add, remove };
    Kind kind = Kind::none;
    Member member;
    Core core;
};

/// Example, for an acting owner:
///   for (Identity identity : keeper.expire_joiners(owner.core(), now)) owner.drop_learner(identity);
///   CoreChange change = keeper.next_change(owner.core(), OwnerHealth(owner), now);
///   if (change.kind != CoreChange::Kind::none) owner.set_core(change.core, pack(change.core), nullptr);
class CoreKeeper {
public:
    CoreKeeper(CoreKeeperSettings settings, Identity self) : settings_(settings), self_(self) {}

    /// This daemon became owner: what was seen before doesn't count.
    void begin_term(Micros now);
    void end_term() { joiners_.clear(); }

    /// A daemon asks to become a member; true if it is new.
    bool note_joiner(const Member& joiner, Micros now);
    /// Forgets joiners that became members or stopped asking; returns them.
    std::vector<Identity> expire_joiners(const Core& core, Micros now);
    /// Those who ask now; each is to be a learner of the owner.
    std::vector<Member> joiners() const;

    /// The change to be proposed now. One that adds a member is remembered as begun.
    CoreChange next_change(const Core& core, const CoreHealth& health, Micros now);

private:
    struct Joiner {
        Member member;
        Micros heard_at = 0;
    };
    const Member* find_lost_member(const Core& core, const CoreHealth& health, Micros now) const;
    bool is_lost(const Member& member, const Core& core, const CoreHealth& health, Micros now) const;
    bool is_disk_lost(const Member& member, const CoreHealth& health, Micros now) const;
    bool is_replaced_at_its_address(const Member& member) const;
    bool is_reachable(const Member& member, const CoreHealth& health, Micros now) const;
    bool can_rest_get_level(const Core& core, const Member& without, const CoreHealth& health, Micros now) const;
    const Member* find_ready_joiner(const CoreHealth& health) const;
    bool should_wait_for_member(const Core& core, const CoreHealth& health, Micros now) const;
    Micros patience(const Core& core, const CoreHealth& health, Micros now) const;

    CoreKeeperSettings settings_;
    Identity self_;
    std::map<Identity, Joiner> joiners_;
    Micros acting_since_ = 0;
    std::optional<Micros> added_at_;
};

}  // namespace calicostall
