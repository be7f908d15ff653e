#include "control/membership/known_membership.hpp"

#include "shared/wire/codec.hpp"

namespace calicostall {

bool KnownMembership::adopt_if_later(const Register& value) {
    const bool is_later = membership_register_.head.empty() || value.is_newer_than(membership_register_);
    if (value.head.empty() || !is_later) return false;
    std::optional<Membership> membership = decode<Membership>(value.head);
    if (!membership) return false;
    membership_ = std::move(*membership);
    membership_register_ = value;
    return true;
}

}  // namespace calicostall
