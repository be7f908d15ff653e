// Who belongs to the core: learning of changes, joining, and carrying out what CoreKeeper decides.
#include "control/daemon/control.hpp"

namespace calicostall {

namespace {

// From the sending of a takeover's first message until a member that nobody grants asks whether it is one at all.
constexpr Micros ungranted_timeout = seconds(2);
// One outside the core polls for news at least so often, so that it knows soon whether it is in contact.
constexpr Micros locate_interval = seconds(1);

bool same_members(const Core& left, const Core& right) {
    return std::equal(left.members.begin(), left.members.end(), right.members.begin(), right.members.end(),
                      [](const Member& one, const Member& other) { return one.identity == other.identity; });
}

}  // namespace

void Control::refresh_core(Micros now) {
    auto found = replica_.registers.find("core");
    if (found != replica_.registers.end()) learn_core(found->second, now);
}

void Control::learn_core(const Register& value, Micros now) {
    if (!known_core_.take(value)) return;
    const Core& core = known_core_.core();
    core_mark_ = std::max(core_mark_, value.version.value);
    std::optional<Identity> trusted;
    if (place_ && detector_.trusted() < core_.members.size()) trusted = core_.members[detector_.trusted()].identity;
    const bool same = same_members(core_, core);
    core_ = core;
    const bool was_member = place_.has_value();
    place_ = core_.place_of(replica_.identity);
    if (!was_member && place_) election_.begin_membership(now);
    if (same || !place_) return;
    const size_t trusted_place = trusted ? core_.place_of(*trusted).value_or(0) : 0;
    detector_.reorder(*place_, core_.members.size(), trusted_place, now);
    log_line("control", "core of {}, place {}", core_.members.size(), *place_);
}

// Whom to ask for the core: the seeds, and the members as this daemon knew them last. Seeds alone may all be outside
// the core by now, and then nobody of them knows it.
std::vector<std::string> Control::known_replicas() const {
    std::vector<std::string> known = settings_.machine.seed_replicas(own_address_);
    for (const Member& member : core_.members) {
        const bool fresh = std::find(known.begin(), known.end(), member.address) == known.end();
        if (fresh && member.address != own_address_) known.push_back(member.address);
    }
    return known;
}

// A member that was told of its removal by the others' news may still be needed: the removal may never have been
// settled. So it votes once no daemon in contact is heard of any more; a vote that isn't needed does no harm (see
// `Owner`).
bool Control::may_grant(Identity candidate, Micros now) const {
    if (!departure_.takes_part()) return false;
    if (place_) return election_.may_grant(candidate, core_);
    const bool hears_of_owner = locator_ && locator_->in_touch(now);
    return core_.find(replica_.identity) && !hears_of_owner;
}

// One outside the core learns owner, core and configuration as fronts do, to pass calls and news on. So does a member
// that nobody grants an epoch for long: it may have been removed while it was away, and then it asks to join again.
void Control::locate_core(Micros now) {
    if (place_ && locator_) {
        auto [mark, peers] = locator_->peers();
        if (mark > core_mark_ && std::find(peers.begin(), peers.end(), own_address_) == peers.end()) {
            log_line("control", "is no member any more");
            place_.reset();
            owner_.give_up();
        }
    }
    const bool ungranted = election_.ungranted_for(now) > ungranted_timeout;
    if ((place_ && !ungranted) || locator_ || is_founding()) return;
    std::vector<std::string> known = known_replicas();
    if (known.empty()) return;
    locator_ = std::make_unique<Locator>(
        Locator::Settings{.own = settings_.machine.node, .seeds = known, .wait = locate_interval}, loop_, [this] {
            std::lock_guard guard(lock_);
            if (Epoch epoch = locator_->epoch(); epoch.value != 0) note_owner(epoch, locator_->owner());
            if (!locator_->peers().second.empty()) note_core_at_work();
            turn();
        });
    locator_->open();
}

// Only a daemon with a disk that counts asks to join: the owner, and whoever may know it.
void Control::request_join(Micros now) {
    if (place_ || is_founding() || now < next_join_ || election_.leaving() || !settings_.machine.counted) return;
    next_join_ = now + settings_.join_interval;
    const JoinAsk ask{replica_.identity, own_address_, settings_.machine.control, false};
    std::vector<std::string> known = known_replicas();
    std::set<std::string> addresses(known.begin(), known.end());
    if (locator_)
        for (const std::string& peer : locator_->peers().second)
            addresses.insert(peer);
    if (!owner_address().empty()) addresses.insert(owner_address());
    addresses.erase(own_address_);
    for (const std::string& address : addresses)
        loop_.ask({.url = "http://" + address + "/inner/join", .body = pack(ask)}, nullptr);
}

void Control::handle_join(const JoinAsk& ask) {
    if (!serving()) {
        auto owner = other_owner_address();
        if (ask.relayed || !owner) return;
        JoinAsk relayed = ask;
        relayed.relayed = true;
        loop_.ask({.url = "http://" + *owner + "/inner/join", .body = pack(relayed)}, nullptr);
        return;
    }
    if (owner_.core().find(ask.identity)) return;
    const Member joiner{0, ask.identity, ask.address, ask.control};
    if (!core_keeper_->note_joiner(joiner, steady_now())) return;
    log_line("control", "{} asks to join as {:x}", ask.address, ask.identity.value);
    turn_requested_ = true;
}

// The core changes by one member at a time, and only under an acting owner: it grows to every counted daemon there is.
void Control::maintain_core(Micros now) {
    maintain_learners(now);
    const CoreChange change = core_keeper_->next_change(owner_.core(), OwnerHealth(owner_), now);
    if (change.kind == CoreChange::Kind::none) return;
    const bool joins = change.kind == CoreChange::Kind::add;
    log_line("control", "member {} at {} {} the core", change.member.number, change.member.address,
             joins ? "joins" : "leaves");
    owner_.set_core(change.core, pack(change.core), nullptr);
    turn_requested_ = true;
}

// Whoever asks to join is a learner first, for as long as it goes on asking.
void Control::maintain_learners(Micros now) {
    for (Identity identity : core_keeper_->expire_joiners(owner_.core(), now))
        owner_.drop_learner(identity);
    for (const Member& joiner : core_keeper_->joiners()) {
        if (owner_.has_learner(joiner.identity)) continue;
        owner_.add_learner(joiner);
        turn_requested_ = true;
    }
}

}  // namespace calicostall
