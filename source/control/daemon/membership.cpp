// Who belongs to the core: the first core, learning of changes, joining, and removing members that are lost.
#include <xxhash.h>

#include "control/daemon/control.hpp"

namespace calicostall {

namespace {

// From the sending of a takeover's first message until a member that nobody grants asks whether it is one at all.
constexpr Micros ungranted_timeout = seconds(2);
// A new owner believes that a member's disk is gone only after so long.
constexpr Micros gone_settling_time = milliseconds(500);
// A member counts as reachable when it answered within this time.
constexpr Micros reachable_within = seconds(1);
// A core is not made smaller than this unless a joiner waits.
constexpr size_t core_size_min = 3;

Identity random_identity() {
    std::random_device device;
    return Identity{(std::uint64_t(device()) << 32 | device()) | 1};
}

// The core that all founders write down alike, each by itself, from the same list of seeds.
Core founding_core(std::vector<std::string> seeds, const Settings& machine) {
    std::sort(seeds.begin(), seeds.end());
    std::string all;
    for (const std::string& seed : seeds)
        all += seed + ";";
    const std::uint64_t origin = XXH3_64bits(all.data(), all.size());
    Core core;
    core.next_number = 1;
    core.size_wanted = seeds.size();
    for (const std::string& seed : seeds) {
        const Identity identity{XXH3_64bits_withSeed(seed.data(), seed.size(), origin) | 1};
        core.members.push_back({core.next_number++, identity, machine.replica_address(seed), seed});
    }
    return core;
}

bool same_members(const Core& left, const Core& right) {
    return std::equal(left.members.begin(), left.members.end(), right.members.begin(), right.members.end(),
                      [](const Member& one, const Member& other) { return one.identity == other.identity; });
}

}  // namespace

void Control::draw_identity() {
    const Settings& machine = settings_.machine;
    replica_.identity = random_identity();
    const bool seed = std::find(machine.seeds.begin(), machine.seeds.end(), machine.control) != machine.seeds.end();
    // One without a disk that counts never founds and never votes: it answers under an identity that no core knows.
    if (!machine.first_start || !seed || !machine.counted) return;
    const Core core = founding_core(machine.seeds, machine);
    for (const Member& member : core.members)
        if (member.control == machine.control) replica_.identity = member.identity;
    founding_ = replica_.found("core", Register{Epoch{0}, Version{1}, {}, pack(core), {}});
}

void Control::refresh_core(Micros now) {
    if (founding_) {
        Change change = std::move(*founding_);
        founding_.reset();
        disk_.put(std::move(change), [] {});
    }
    auto found = replica_.registers.find("core");
    if (found == replica_.registers.end()) return;
    const Register& value = found->second;
    if (core_version_ && *core_version_ == std::pair(value.epoch, value.version)) return;
    auto core = unpack<Core>(value.moving);
    if (!core) return;
    core_version_ = std::pair(value.epoch, value.version);
    core_mark_ = value.version.value;
    std::optional<Identity> trusted;
    if (place_ && detector_.trusted() < core_.members.size()) trusted = core_.members[detector_.trusted()].identity;
    const bool same = same_members(core_, *core);
    core_ = std::move(*core);
    place_ = core_.place_of(replica_.identity);
    if (same || !place_) return;
    const size_t trusted_place = trusted ? core_.place_of(*trusted).value_or(0) : 0;
    detector_.reorder(*place_, core_.members.size(), trusted_place, now);
    log_line("control", "core of {}, place {}", core_.members.size(), *place_);
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
    const bool ungranted = owner_.state() == Owner::State::preparing && now > next_takeover_ + ungranted_timeout;
    if ((place_ && !ungranted) || locator_) return;
    std::vector<std::string> seeds = settings_.machine.seed_replicas(own_address_);
    if (seeds.empty()) return;
    locator_ = std::make_unique<Locator>(Locator::Settings{settings_.machine.node, seeds}, loop_, [this] {
        std::lock_guard guard(lock_);
        if (Epoch epoch = locator_->epoch(); epoch.value != 0) note_owner(epoch, locator_->owner());
        turn();
    });
    locator_->open();
}

// Only a daemon with a disk that counts asks to join: the owner, and whoever may know it.
void Control::request_join(Micros now) {
    if (place_ || now < next_join_ || leaving_ || !settings_.machine.counted) return;
    next_join_ = now + settings_.join_interval;
    const JoinAsk ask{replica_.identity, own_address_, settings_.machine.control, false};
    std::vector<std::string> known = settings_.machine.seed_replicas(own_address_);
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
    if (!acting()) {
        auto owner = other_owner_address();
        if (ask.relayed || !owner) return;
        JoinAsk relayed = ask;
        relayed.relayed = true;
        loop_.ask({.url = "http://" + *owner + "/inner/join", .body = pack(relayed)}, nullptr);
        return;
    }
    if (owner_.core().find(ask.identity)) return;
    auto [joiner, fresh] = joiners_.try_emplace(ask.identity);
    joiner->second = {Member{0, ask.identity, ask.address, ask.control}, steady_now()};
    if (!fresh) return;
    log_line("control", "{} asks to join as {:x}", ask.address, ask.identity.value);
    turn_requested_ = true;
}

// The core changes by one member at a time, and only under an acting owner: it grows to every counted daemon there is.
void Control::maintain_core(Micros now) {
    maintain_learners(now);
    if (!owner_.membership_settled()) return;
    Core core = owner_.core();
    if (const Member* victim = find_lost_member(core, now)) {
        log_line("control", "member {} at {} leaves the core", victim->number, victim->address);
        const std::uint64_t number = victim->number;
        std::erase_if(core.members, [&](const Member& member) { return member.number == number; });
        return propose_core(std::move(core));
    }
    if (core.members.size() >= settings_.core_size_max) return;
    for (const auto& [identity, joiner] : joiners_) {
        if (!owner_.learner_ready(identity)) continue;
        Member member = joiner.member;
        member.number = core.next_number++;
        core.members.push_back(member);
        joined_at_ = now;
        log_line("control", "member {} at {} joins the core", member.number, member.address);
        return propose_core(std::move(core));
    }
}

// Whoever asks to join is a learner first, for as long as it goes on asking.
void Control::maintain_learners(Micros now) {
    for (auto joiner = joiners_.begin(); joiner != joiners_.end();) {
        const bool joined = owner_.core().find(joiner->first) != nullptr;
        if (joined || now - joiner->second.heard_at > settings_.join_request_lifetime) {
            owner_.drop_learner(joiner->first);
            joiner = joiners_.erase(joiner);
            continue;
        }
        if (!owner_.has_learner(joiner->first)) {
            owner_.add_learner(joiner->second.member);
            turn_requested_ = true;
        }
        ++joiner;
    }
}

// A member whose disk is surely gone, or that was silent for too long while a majority of the rest is heard.
const Member* Control::find_lost_member(const Core& core, Micros now) const {
    const Micros acting_for = now - acting_since_;
    const bool replaced = !joiners_.empty() || (joined_at_ != 0 && now - joined_at_ < settings_.replacement_window);
    const Micros patience = replaced ? settings_.replace_after : settings_.remove_after;
    for (const Member& member : core.members) {
        if (member.identity == replica_.identity) continue;
        const bool same_address = std::any_of(joiners_.begin(), joiners_.end(), [&](const auto& each) {
            return each.second.member.address == member.address;
        });
        const bool gone = same_address || (owner_.is_gone(member.identity) && acting_for > gone_settling_time);
        const bool silent = acting_for > patience && !owner_.heard_since(member.identity, now - patience);
        if (!gone && !silent) continue;
        if (core.members.size() <= core_size_min && joiners_.empty()) continue;
        if (majority_without(core, member, now)) return &member;
    }
    return nullptr;
}

// Whether a majority of the core that is left without the member can be reached.
bool Control::majority_without(const Core& core, const Member& member, Micros now) const {
    size_t heard = 0;
    for (const Member& other : core.members) {
        if (other.identity == member.identity) continue;
        heard += other.identity == replica_.identity || owner_.heard_since(other.identity, now - reachable_within);
    }
    return heard >= (core.members.size() - 1) / 2 + 1;
}

void Control::propose_core(Core core) {
    core.size_wanted = core.members.size();
    owner_.set_core(core, pack(core), nullptr);
    turn_requested_ = true;
}

}  // namespace calicostall
