#include "control/membership/founding.hpp"

#include "shared/wire/cbor.hpp"

namespace calicostall {

namespace {

constexpr const char* record_name = "m/founding_vote";
constexpr const char* core_key = "core";
constexpr Version founding_version{1};

std::vector<std::string> sorted(std::vector<std::string> list) {
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
    return list;
}

bool contains(const std::vector<std::string>& list, const std::string& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
}

bool lists(const Core& core, const Identity& identity, const std::string& control) {
    const Member* member = core.find(identity);
    return member && member->control == control;
}

Identity composer_of(const Core& core) {
    return core.members.front().identity;
}

void append(Change& change, Change more) {
    for (auto& entry : more.entries)
        change.entries.push_back(std::move(entry));
}

}  // namespace

Identity draw_identity() {
    std::random_device device;
    return Identity{(std::uint64_t(device()) << 32 | device()) | 1};
}

Founding::Founding(FoundingSettings settings, Replica& replica) : settings_(std::move(settings)), replica_(replica) {
    settings_.seeds = sorted(std::move(settings_.seeds));
}

Change Founding::open() {
    Change change;
    if (auto record = unpack<FoundingRecord>(replica_.founding_vote)) record_ = std::move(*record);
    bool among = contains(settings_.seeds, settings_.control);
    if (settings_.first_start && settings_.counted && among && !core_register()) {
        bool same = record_.founder && record_.seeds == settings_.seeds;
        record_.founder = true;
        record_.seeds = settings_.seeds;
        if (!same) keep_record(change);
    }
    compose_if_complete(change);
    return returned(std::move(change));
}

Change Founding::change_seeds(std::vector<std::string> seeds) {
    Change change;
    seeds = sorted(std::move(seeds));
    if (is_asking() && settings_.first_start && seeds != record_.seeds && contains(seeds, settings_.control)) {
        record_.seeds = std::move(seeds);
        keep_record(change);
        compose_if_complete(change);
    }
    return returned(std::move(change));
}

FoundingState Founding::state() const {
    if (core_register()) return FoundingState::member;
    if (!record_.founder) return FoundingState::bystander;
    return record_.gave_up ? FoundingState::gave_up : FoundingState::asking;
}

// --- asks ---

std::vector<FoundMessage> Founding::pump(Micros now) {
    std::vector<FoundMessage> messages;
    if (!is_core_durable()) return messages;
    ask_seeds(messages, now);
    ask_members(messages, now);
    return messages;
}

std::optional<Micros> Founding::next_pump() const {
    std::optional<Micros> next;
    if (!is_core_durable() || relay_done_) return next;
    for (const std::string& control : is_asking() ? other_seeds() : untold_members()) {
        auto peer = peers_.find(control);
        const Micros at = peer == peers_.end() ? 0 : peer->second.next_ask;
        const bool busy = peer != peers_.end() && peer->second.asked;
        if (!busy) next = std::min(next.value_or(at), at);
    }
    return next;
}

void Founding::ask_seeds(std::vector<FoundMessage>& messages, Micros now) {
    if (!is_asking()) return;
    for (const std::string& seed : other_seeds()) {
        Peer& peer = peers_[seed];
        if (peer.asked || now < peer.next_ask) continue;
        messages.push_back(ask_to(seed, peer));
        peer.next_ask = now + settings_.retry;
    }
}

void Founding::ask_members(std::vector<FoundMessage>& messages, Micros now) {
    if (relay_done_ || state() != FoundingState::member) return;
    const std::vector<std::string> untold = untold_members();
    relay_done_ = untold.empty();
    for (const std::string& member : untold) {
        Peer& peer = peers_[member];
        if (peer.asked || now < peer.next_ask) continue;
        messages.push_back(ask_to(member, peer));
        peer.next_ask = now + settings_.relay_retry;
    }
}

std::vector<std::string> Founding::untold_members() const {
    std::vector<std::string> untold;
    const CoreNews known = news();
    if (!known.as_founded || !lists(*known.core, replica_.identity, settings_.control)) return untold;
    for (const Member& member : known.core->members) {
        auto peer = peers_.find(member.control);
        const bool told = peer != peers_.end() && peer->second.told;
        if (member.identity != replica_.identity && !told) untold.push_back(member.control);
    }
    return untold;
}

FoundMessage Founding::ask_to(const std::string& control, Peer& peer) {
    FoundAsk ask;
    ask.sender = self();
    ask.seeds = record_.seeds;
    ask.wants_vote = is_composer();
    ask.vote_count = peer.last ? peer.last->vote_count : 0;
    ask.news = news();
    peer.asked = true;
    return {control, peer.replica, std::move(ask)};
}

std::pair<FoundAnswer, Change> Founding::serve(const FoundAsk& ask, Micros now) {
    Change change;
    note_peer(ask.sender, ask.news, now);
    hear(ask.news, now, change);
    FoundAnswer answer;
    answer.granted = grants_vote(ask, change);
    answer.to = ask.sender.identity;
    answer.sender = self();
    answer.counted = settings_.counted;
    answer.gave_up = record_.gave_up;
    answer.vote_count = record_.vote_count;
    answer.news = news();
    return {std::move(answer), returned(std::move(change))};
}

Change Founding::take(const std::string& control, const FoundAnswer* answer, Micros now) {
    Change change;
    Peer& peer = peers_[control];
    peer.asked = false;
    if (!answer || answer->to != replica_.identity || answer->sender.control != control) return change;
    peer.last = *answer;
    note_peer(answer->sender, answer->news, now);
    free_vote(*answer, change);
    hear(answer->news, now, change);
    if (!answer->granted && is_composer() && !answer->news.known) peer.next_ask = now;
    compose_if_complete(change);
    return returned(std::move(change));
}

void Founding::note_peer(const FounderAddress& sender, const CoreNews& news, Micros now) {
    auto found = peers_.find(sender.control);
    if (found == peers_.end()) return;
    Peer& peer = found->second;
    peer.replica = sender.address;
    std::optional<Core> core = held_core();
    bool replaced = core && !core->find(sender.identity);
    peer.told = peer.told || (core && (news.core || replaced));
    // It listens now: there is no need to wait for the next time.
    if (is_asking() && !peer.last) peer.next_ask = std::min(peer.next_ask, now);
}

// --- votes ---

bool Founding::grants_vote(const FoundAsk& ask, Change& change) {
    bool same_seeds = ask.seeds == record_.seeds && contains(record_.seeds, ask.sender.control);
    if (!ask.wants_vote || !is_asking() || !same_seeds || ask.sender.control == settings_.control) return false;
    if (!record_.voted_address.empty() && record_.voted_address != ask.sender.control) return false;
    if (record_.voted_identity == ask.sender.identity) return true;
    if (ask.vote_count != record_.vote_count) return false;
    give_vote(ask, change);
    return true;
}

void Founding::give_vote(const FoundAsk& ask, Change& change) {
    record_.voted_address = ask.sender.control;
    record_.voted_identity = ask.sender.identity;
    ++record_.vote_count;
    keep_record(change);
}

void Founding::free_vote(const FoundAnswer& answer, Change& change) {
    bool voted = record_.voted_identity.value != 0 && record_.voted_identity == answer.sender.identity;
    if (!voted || !answer.gave_up) return;
    record_.voted_identity = Identity{};
    ++record_.vote_count;
    keep_record(change);
}

bool Founding::has_vote_of(const std::string& seed) const {
    auto peer = peers_.find(seed);
    if (peer == peers_.end() || !peer->second.last) return false;
    const FoundAnswer& answer = *peer->second.last;
    return answer.counted && answer.granted && !answer.news.known;
}

bool Founding::is_without_vote(const std::string& seed) const {
    auto peer = peers_.find(seed);
    if (peer == peers_.end() || !peer->second.last) return false;
    const FoundAnswer& answer = *peer->second.last;
    return !answer.counted && !answer.news.known;
}

bool Founding::is_composer() const {
    if (!is_asking() || !record_.voted_address.empty()) return false;
    for (const std::string& seed : other_seeds())
        if (seed < settings_.control && !is_without_vote(seed)) return false;
    return true;
}

// --- the core ---

void Founding::compose_if_complete(Change& change) {
    if (!is_composer() || hearsay_at_) return;
    for (const std::string& seed : other_seeds())
        if (!has_vote_of(seed) && !is_without_vote(seed)) return;
    Core core = composed_core();
    log_.push_back(fmt::format("founds a core of {}", core.members.size()));
    hold(core, change);
}

Core Founding::composed_core() const {
    Core core;
    for (const std::string& seed : record_.seeds) {
        if (seed != settings_.control && !has_vote_of(seed)) continue;
        FounderAddress founder = seed == settings_.control ? self() : peers_.at(seed).last->sender;
        core.members.push_back({core.next_number++, founder.identity, founder.address, founder.control});
    }
    core.size_wanted = core.members.size();
    return core;
}

void Founding::hold(const Core& core, Change& change) {
    append(change, replica_.found(core_key, Register{Epoch{0}, founding_version, {}, pack(core), {}}));
    core_change_ = changes_ + 1;
    relay_done_ = false;
    for (auto& [control, peer] : peers_)
        peer.next_ask = 0, peer.told = false;
}

void Founding::accept(const Core& core, Change& change) {
    Identity composer = composer_of(core);
    bool free = record_.voted_identity.value == 0 || record_.voted_identity == composer;
    if (!free || !lists(core, replica_.identity, settings_.control)) return;
    log_.push_back(
        fmt::format("takes the core of {} that {} founded", core.members.size(), core.members.front().address));
    hold(core, change);
}

void Founding::hear(const CoreNews& news, Micros now, Change& change) {
    if (core_register() || !news.known) return;
    if (!news.core) return hear_of_core_without_list(now, change);
    if (news.core->members.empty()) return;
    if (!news.core->find(replica_.identity)) return give_up("a core exists that does not list this disk", change);
    if (news.as_founded) accept(*news.core, change);
}

void Founding::hear_of_core_without_list(Micros now, Change& change) {
    if (!hearsay_at_) hearsay_at_ = now;
    if (now - *hearsay_at_ >= settings_.hearsay_patience) give_up("a core exists", change);
}

void Founding::give_up(const std::string& reason, Change& change) {
    if (!is_asking()) return;
    record_.gave_up = true;
    keep_record(change);
    log_.push_back(
        fmt::format("{}, though the settings say that this is a first start: joins as a new member", reason));
}

Change Founding::note_core_at_work(Micros now) {
    Change change;
    if (!core_register()) hear_of_core_without_list(now, change);
    return returned(std::move(change));
}

// --- what is kept, and what is told ---

void Founding::keep_record(Change& change) {
    replica_.founding_vote = pack(record_);
    change.entries.emplace_back(record_name, replica_.founding_vote);
}

void Founding::note_durable(std::uint64_t mark) {
    durable_ = std::max(durable_, mark);
}

Change Founding::returned(Change change) {
    if (!change.empty()) ++changes_;
    return change;
}

const Register* Founding::core_register() const {
    auto found = replica_.registers.find(core_key);
    return found == replica_.registers.end() || found->second.moving.empty() ? nullptr : &found->second;
}

std::optional<Core> Founding::held_core() const {
    const Register* held = core_register();
    return held ? unpack<Core>(held->moving) : std::nullopt;
}

CoreNews Founding::news() const {
    CoreNews news;
    news.core = held_core();
    news.known = news.core || record_.gave_up || (hearsay_at_ && !is_asking());
    news.as_founded = news.core && core_register()->version == founding_version;
    return news;
}

FounderAddress Founding::self() const {
    return {replica_.identity, settings_.address, settings_.control};
}

std::vector<std::string> Founding::other_seeds() const {
    std::vector<std::string> others;
    for (const std::string& seed : record_.seeds)
        if (seed != settings_.control) others.push_back(seed);
    return others;
}

std::vector<std::string> Founding::take_log() {
    return std::exchange(log_, {});
}

}  // namespace calicostall
