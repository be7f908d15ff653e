#include "control/membership/core_keeper.hpp"

namespace calicostall {

namespace {

bool is_even(const Core& core) {
    return core.members.size() % 2 == 0;
}

CoreChange removal(Core core, const Member& member) {
    CoreChange change{CoreChange::Kind::remove, member, std::move(core)};
    std::erase_if(change.core.members, [&](const Member& each) { return each.number == change.member.number; });
    change.core.size_wanted = change.core.members.size();
    return change;
}

CoreChange addition(Core core, Member member) {
    member.number = core.next_number++;
    core.members.push_back(member);
    core.size_wanted = core.members.size();
    return {CoreChange::Kind::add, std::move(member), std::move(core)};
}

}  // namespace

void CoreKeeper::begin_term(Micros now) {
    acting_since_ = now;
    added_at_.reset();
    joiners_.clear();
}

bool CoreKeeper::note_joiner(const Member& joiner, Micros now) {
    auto [place, fresh] = joiners_.try_emplace(joiner.identity);
    place->second = {joiner, now};
    return fresh;
}

std::vector<Identity> CoreKeeper::expire_joiners(const Core& core, Micros now) {
    std::vector<Identity> expired;
    for (const auto& [identity, joiner] : joiners_)
        if (core.find(identity) || now - joiner.heard_at > settings_.join_request_lifetime) expired.push_back(identity);
    for (Identity identity : expired)
        joiners_.erase(identity);
    return expired;
}

std::vector<Member> CoreKeeper::joiners() const {
    std::vector<Member> members;
    for (const auto& [identity, joiner] : joiners_)
        members.push_back(joiner.member);
    return members;
}

CoreChange CoreKeeper::next_change(const Core& core, const CoreHealth& health, Micros now) {
    if (!health.is_settled()) return {};
    if (const Member* lost = find_lost_member(core, health, now)) return removal(core, *lost);
    if (core.members.size() >= settings_.size_max || should_wait_for_member(core, health, now)) return {};
    const Member* joiner = find_ready_joiner(health);
    if (!joiner) return {};
    CoreChange change = addition(core, *joiner);
    if (!can_get_level(change.core, health, now)) return {};
    added_at_ = now;
    return change;
}

// Those whose disk is gone first: they can't come back.
const Member* CoreKeeper::find_lost_member(const Core& core, const CoreHealth& health, Micros now) const {
    const Member* silent = nullptr;
    for (const Member& member : core.members) {
        if (member.identity == self_ || !is_lost(member, core, health, now)) continue;
        if (!can_get_level(removal(core, member).core, health, now)) continue;
        if (is_disk_lost(member, health, now)) return &member;
        if (!silent) silent = &member;
    }
    return silent;
}

bool CoreKeeper::is_lost(const Member& member, const Core& core, const CoreHealth& health, Micros now) const {
    const bool smallest = core.members.size() <= settings_.size_min;
    if (is_disk_lost(member, health, now)) return !smallest || !joiners_.empty();
    if (smallest || !is_even(core) || !joiners_.empty()) return false;
    return is_silent_for(member, patience(now), health, now);
}

bool CoreKeeper::is_disk_lost(const Member& member, const CoreHealth& health, Micros now) const {
    const bool settled = now - acting_since_ > settings_.gone_settling_time;
    return is_replaced_at_its_address(member) || (settled && health.is_gone(member.identity));
}

bool CoreKeeper::is_replaced_at_its_address(const Member& member) const {
    return std::any_of(joiners_.begin(), joiners_.end(),
                       [&](const auto& each) { return each.second.member.address == member.address; });
}

bool CoreKeeper::is_reachable(const Member& member, const CoreHealth& health, Micros now) const {
    return member.identity == self_ || health.heard_since(member.identity, now - settings_.reachable_within);
}

bool CoreKeeper::is_silent_for(const Member& member, Micros limit, const CoreHealth& health, Micros now) const {
    if (member.identity == self_ || now - acting_since_ <= limit) return false;
    return !health.heard_since(member.identity, now - limit);
}

// Whether the member counts towards a majority now: it is heard and follows, and nothing speaks for its disk being
// lost.
bool CoreKeeper::is_able(const Member& member, const CoreHealth& health, Micros now) const {
    if (health.is_gone(member.identity)) return false;
    const bool joins = joiners_.contains(member.identity);
    if (!joins && is_replaced_at_its_address(member)) return false;
    return is_reachable(member, health, now) && health.is_following(member.identity);
}

// Whether a majority of the core is able: it can settle the change to it.
bool CoreKeeper::can_get_level(const Core& core, const CoreHealth& health, Micros now) const {
    const auto able = std::count_if(core.members.begin(), core.members.end(),
                                    [&](const Member& member) { return is_able(member, health, now); });
    return size_t(able) >= core.majority();
}

const Member* CoreKeeper::find_ready_joiner(const CoreHealth& health) const {
    for (const auto& [identity, joiner] : joiners_)
        if (health.is_following(identity)) return &joiner.member;
    return nullptr;
}

// Whether an odd core has a member that has just gone out of hearing: a joiner would make the core even, and count as
// needed at once. One that stays silent is made up for by the joiner.
bool CoreKeeper::should_wait_for_member(const Core& core, const CoreHealth& health, Micros now) const {
    if (is_even(core)) return false;
    return std::any_of(core.members.begin(), core.members.end(), [&](const Member& member) {
        return !is_reachable(member, health, now) && !is_silent_for(member, settings_.replace_after, health, now);
    });
}

// How long a silent member of an even core is waited for: less where another machine has just come in its stead.
Micros CoreKeeper::patience(Micros now) const {
    const bool just_added = added_at_ && now - *added_at_ < settings_.replacement_window;
    return just_added ? settings_.replace_after : settings_.remove_after;
}

}  // namespace calicostall
