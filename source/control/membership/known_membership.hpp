/// The membership as one daemon knows it: by its own replica's register, or by a later one that somebody showed it.
///
/// A later membership is always safe to go by, whoever tells of it (see `Leader`), and a daemon that goes by an older
/// one may be needed: say {A, B} became {A, B, C} while B was away, and A's disk is lost. B would wait for A for good,
/// and C for B's vote, which B doesn't give to one that it doesn't know. So a candidate shows its membership to
/// everyone it asks. Owned by the daemon. Pure.
#pragma once
#include "common.hpp"
#include "control/store/membership.hpp"
#include "control/store/register.hpp"

namespace calicostall {

/// Example: if (known_membership.adopt_if_later(request.membership_register)) follow(known_membership.membership());
class KnownMembership {
public:
    /// Goes by the membership in this register from now on, if it is later than the one that is known.
    /// @return whether it is
    bool adopt_if_later(const Register& value);
    /// Without members as long as nothing is known.
    const Membership& membership() const { return membership_; }
    /// What a candidate shows to those it asks; empty as long as nothing is known.
    const Register& membership_register() const { return membership_register_; }

private:
    Membership membership_;
    Register membership_register_;
};

}  // namespace calicostall
