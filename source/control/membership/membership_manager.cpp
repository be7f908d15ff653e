#include "control/membership/membership_manager.hpp"

namespace calicostall {

namespace {

bool is_even(const Membership& membership) {
    return membership.members.size() % 2 == 0;
}

MembershipChange removal(Membership membership, const Member& member) {
    MembershipChange change{MembershipChange::Kind::remove, member, std::move(membership)};
    std::erase_if(change.membership.members, [&](const Member& each) { return each.number == change.member.number; });
    change.membership.target_size = change.membership.members.size();
    return change;
}

MembershipChange addition(Membership membership, Member member) {
    member.number = membership.next_member_number++;
    membership.members.push_back(member);
    membership.target_size = membership.members.size();
    return {MembershipChange::Kind::add, std::move(member), std::move(membership)};
}

}  // namespace

void MembershipManager::begin_term(Micros now) {
    leading_since_ = now;
    last_addition_at_.reset();
    learners_.clear();
}

bool MembershipManager::record_join_request(const Member& learner, Micros now) {
    auto [found, is_new] = learners_.try_emplace(learner.replica_id);
    found->second = {learner, now};
    return is_new;
}

std::vector<ReplicaId> MembershipManager::expire_learners(const Membership& membership, Micros now) {
    std::vector<ReplicaId> expired;
    for (const auto& [replica_id, learner] : learners_)
        if (membership.find(replica_id) || now - learner.last_contact_at > settings_.join_request_lifetime)
            expired.push_back(replica_id);
    for (ReplicaId replica_id : expired)
        learners_.erase(replica_id);
    return expired;
}

std::vector<Member> MembershipManager::learners() const {
    std::vector<Member> members;
    for (const auto& [replica_id, learner] : learners_)
        members.push_back(learner.member);
    return members;
}

MembershipChange MembershipManager::next_change(const Membership& membership, const MembershipHealth& health,
                                                Micros now) {
    if (!health.membership_committed()) return {};
    if (const Member* lost_member = find_lost_member(membership, health, now)) return removal(membership, *lost_member);
    if (membership.members.size() >= settings_.max_size || should_wait_for_member(membership, health, now)) return {};
    const Member* learner = find_ready_learner(health);
    if (!learner) return {};
    MembershipChange change = addition(membership, *learner);
    if (!can_commit(change.membership, health, now)) return {};
    last_addition_at_ = now;
    return change;
}

// Those whose disk is lost come first: they can't come back.
const Member* MembershipManager::find_lost_member(const Membership& membership, const MembershipHealth& health,
                                                  Micros now) const {
    const Member* unresponsive = nullptr;
    for (const Member& member : membership.members) {
        if (member.replica_id == self_ || !is_lost(member, membership, health, now)) continue;
        if (!can_commit(removal(membership, member).membership, health, now)) continue;
        if (is_disk_lost(member, health, now)) return &member;
        if (!unresponsive) unresponsive = &member;
    }
    return unresponsive;
}

bool MembershipManager::is_lost(const Member& member, const Membership& membership, const MembershipHealth& health,
                                Micros now) const {
    const bool is_smallest = membership.members.size() <= settings_.min_size;
    if (is_disk_lost(member, health, now)) return !is_smallest || !learners_.empty();
    if (is_smallest || !is_even(membership) || !learners_.empty()) return false;
    return is_unresponsive_for(member, removal_timeout(now), health, now);
}

bool MembershipManager::is_disk_lost(const Member& member, const MembershipHealth& health, Micros now) const {
    const bool has_confirmation_time_passed = now - leading_since_ > settings_.disk_loss_confirmation_time;
    return is_address_reused(member) || (has_confirmation_time_passed && health.is_disk_lost(member.replica_id));
}

bool MembershipManager::is_address_reused(const Member& member) const {
    return std::any_of(learners_.begin(), learners_.end(),
                       [&](const auto& each) { return each.second.member.address == member.address; });
}

bool MembershipManager::is_reachable(const Member& member, const MembershipHealth& health, Micros now) const {
    return member.replica_id == self_ || health.responded_since(member.replica_id, now - settings_.reachable_within);
}

bool MembershipManager::is_unresponsive_for(const Member& member, Micros timeout, const MembershipHealth& health,
                                            Micros now) const {
    if (member.replica_id == self_ || now - leading_since_ <= timeout) return false;
    return !health.responded_since(member.replica_id, now - timeout);
}

// Whether the member counts toward a majority now: it responds and follows, and nothing suggests that its disk is lost.
bool MembershipManager::counts_toward_majority(const Member& member, const MembershipHealth& health, Micros now) const {
    if (health.is_disk_lost(member.replica_id)) return false;
    const bool is_learner = learners_.contains(member.replica_id);
    if (!is_learner && is_address_reused(member)) return false;
    return is_reachable(member, health, now) && health.is_synchronized(member.replica_id);
}

// Whether a majority counts: it can commit the change to this membership.
bool MembershipManager::can_commit(const Membership& membership, const MembershipHealth& health, Micros now) const {
    const auto counting_members =
        std::count_if(membership.members.begin(), membership.members.end(),
                      [&](const Member& member) { return counts_toward_majority(member, health, now); });
    return size_t(counting_members) >= membership.majority();
}

const Member* MembershipManager::find_ready_learner(const MembershipHealth& health) const {
    for (const auto& [replica_id, learner] : learners_)
        if (health.is_synchronized(replica_id)) return &learner.member;
    return nullptr;
}

// Whether an odd membership has a member that has just become unreachable: a learner would make the membership even,
// and count as needed at once. One that stays unresponsive is made up for by the learner.
bool MembershipManager::should_wait_for_member(const Membership& membership, const MembershipHealth& health,
                                               Micros now) const {
    if (is_even(membership)) return false;
    return std::any_of(membership.members.begin(), membership.members.end(), [&](const Member& member) {
        return !is_reachable(member, health, now) && !is_unresponsive_for(member, settings_.replace_after, health, now);
    });
}

// How long an unresponsive member of an even membership is waited for: less where another machine has just come in its
// stead.
Micros MembershipManager::removal_timeout(Micros now) const {
    const bool has_recent_addition = last_addition_at_ && now - *last_addition_at_ < settings_.replacement_window;
    return has_recent_addition ? settings_.replace_after : settings_.remove_after;
}

}  // namespace calicostall
