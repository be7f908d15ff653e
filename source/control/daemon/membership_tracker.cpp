#include "control/daemon/membership_tracker.hpp"

namespace calicostall {

namespace {

bool have_same_members(const Membership& left, const Membership& right) {
    return std::equal(left.members.begin(), left.members.end(), right.members.begin(), right.members.end(),
                      [](const Member& one, const Member& other) { return one.replica_id == other.replica_id; });
}

}  // namespace

std::optional<MembershipTracker::Change> MembershipTracker::adopt_if_later(const Register& value,
                                                                           ReplicaId own_replica_id) {
    if (!known_.adopt_if_later(value)) return std::nullopt;
    raise_version(value.version.value);
    Change change;
    change.previous = std::exchange(membership_, known_.membership());
    change.previous_rank = rank_;
    change.has_same_members = have_same_members(change.previous, membership_);
    rank_ = membership_.rank_of(own_replica_id);
    return change;
}

}  // namespace calicostall
