#include "control/store/owner.hpp"

#include "shared/wire/cbor.hpp"

namespace calicostall {

namespace {

// Whether at most one member came or went.
bool one_step_apart(const Core& one, const Core& other) {
    size_t differences = 0;
    for (const Member& member : one.members)
        differences += !other.find(member.identity);
    for (const Member& member : other.members)
        differences += !one.find(member.identity);
    return differences <= 1;
}

// What an entry and a part take in a message beside their bytes, for the size of a batch.
constexpr size_t entry_overhead = 32, part_overhead = 12;

}  // namespace

// --- takeover ---

const Owner::Link* Owner::living_link(Identity identity) const {
    auto link = links_.find(identity);
    return link == links_.end() || link->second.gone ? nullptr : &link->second;
}

void Owner::take_over(const Core& core, Epoch seen, std::map<std::string, Register> own_registers,
                      std::optional<Identity> present_owner, const Register& core_value) {
    if (!core.find(self_)) return;
    give_up();
    core_ = core;
    epoch_ = Epoch{std::max(seen.value, epoch_.value) + 1};
    own_registers_ = std::move(own_registers);
    Holdings known;
    for (const auto& [key, value] : own_registers_)
        known.list.push_back({key, value.epoch, value.version});
    known_ = pack(known);
    adopted_core_.reset();
    if (core_value.newer_than(this->core_value())) adopted_core_ = core_value;
    present_owner_ = present_owner == self_ ? std::nullopt : present_owner;
    handover_deadline_.reset();
    ++takeovers_;
    change_state(State::preparing);
}

void Owner::give_up() {
    if (state_ == State::idle) return;
    change_state(State::idle);
    confirmed_at_ = -1;
    core_changing_ = draining_ = false;
    std::vector<Callback> callbacks;
    for (Wait& wait : waits_)
        callbacks.push_back(std::move(wait.callback));
    callbacks.push_back(std::exchange(on_core_settled_, nullptr));
    waits_.clear();
    links_.clear();
    registers_.clear();
    own_registers_.clear();
    known_.clear();
    chosen_.clear();
    grants_.clear();
    tombstones_.clear();
    learners_.clear();
    floor_version_ = Version{};
    for (Callback& callback : callbacks)
        if (callback) callback(false);
}

// Whether a member's promise is one that this daemon's own term can't have: a higher term, or the same for another.
bool Owner::is_superseding(Epoch promised, Identity promised_to) const {
    return promised > epoch_ || (promised == epoch_ && promised_to != self_);
}

void Owner::superseded(Epoch promised) {
    superseded_by = promised;
    give_up();
}

// Whether the present owner is still to be let finish what it has in flight.
bool Owner::awaits_present_owner(Micros now) {
    if (!present_owner_) return false;
    if (!handover_deadline_) handover_deadline_ = now + settings_.handover_patience;
    if (now >= *handover_deadline_ || !core_.find(*present_owner_)) present_owner_.reset();
    return present_owner_.has_value();
}

bool Owner::granted_majority() const {
    size_t count = 0;
    for (const Member& member : core_.members)
        count += grants_.contains(member.identity);
    return count >= core_.majority() && grants_.contains(self_);
}

// A grant may show a later core than the one this takeover began with.
void Owner::adopt_core(const PrepareAnswer& answer) {
    for (const KeyedRegister& each : answer.registers) {
        if (each.key != "core" || !unpack_core) continue;
        std::optional<Core> core = unpack_core(each.value.moving);
        if (!core || !each.value.newer_than(core_value())) continue;
        core_ = *core;
        adopted_core_ = each.value;
        if (!core_.find(self_)) return give_up();
        update_links();
    }
}

// What a member holds, from its answer: all of `own_registers_` but for what it named.
std::map<std::string, Owner::Content> Owner::holdings(const PrepareAnswer& answer) const {
    std::map<std::string, Content> held;
    for (const auto& [key, value] : own_registers_)
        held.emplace_hint(held.end(), key, Content{value.epoch, value.version});
    for (const std::string& key : answer.lacking)
        held.erase(key);
    for (const KeyedRegister& each : answer.registers)
        held[each.key] = {each.value.epoch, each.value.version};
    return held;
}

// Takes the newest value of each key on the majority, but none that an owner since has acted without.
void Owner::choose_registers() {
    Epoch floor;
    for (const auto& [identity, grant] : grants_)
        floor = std::max(floor, grant.synced);
    registers_.clear();
    // What was known is on the majority unless each of them lacks it or has another content.
    std::map<std::string, size_t> elsewhere;
    for (const auto& [identity, grant] : grants_) {
        for (const std::string& key : grant.lacking)
            elsewhere[key]++;
        for (const KeyedRegister& each : grant.registers)
            if (own_registers_.contains(each.key)) elsewhere[each.key]++;
    }
    auto weigh = [&](const std::string& key, const Register& value) {
        if (value.epoch < floor) return;
        auto [place, fresh] = registers_.try_emplace(key, value);
        if (!fresh && value.newer_than(place->second)) place->second = value;
    };
    for (const auto& [key, value] : own_registers_) {
        auto found = elsewhere.find(key);
        if (found == elsewhere.end() || found->second < grants_.size()) weigh(key, value);
    }
    for (const auto& [identity, grant] : grants_)
        for (const KeyedRegister& each : grant.registers)
            weigh(each.key, each.value);
    if (adopted_core_) weigh("core", *adopted_core_);
    for (auto& [key, value] : registers_) {
        chosen_[key] = {value.epoch, value.version};
        value.epoch = epoch_;
        if (value.empty()) tombstones_.insert(key);
    }
}

void Owner::begin_transfer() {
    // What a member of an earlier core answered is on a majority of this one, or was forgotten since.
    std::erase_if(grants_, [this](const auto& each) { return !core_.find(each.first); });
    choose_registers();
    takeover_sequence_ = ++sequence_;
    std::map<Identity, Link> before;
    before.swap(links_);
    update_links();
    for (auto& [identity, link] : links_) {
        if (auto old = before.find(identity); old != before.end()) link.heard_at = old->second.heard_at;
        if (auto grant = grants_.find(identity); grant != grants_.end()) compare(link, grant->second);
    }
    // The contents are in `registers_` now; of what was known its epochs and versions are still needed.
    for (auto& [key, value] : own_registers_)
        value.fixed.clear(), value.moving.clear(), value.parts.clear();
    grants_.clear();
    change_state(State::transferring);
}

// Learns what the member holds. What equals the chosen value, or the present one, need not be written again.
void Owner::compare(Link& link, const PrepareAnswer& answer) {
    std::map<std::string, Content> held = holdings(answer);
    link.compared = link.adopting = true;
    for (const auto& [key, content] : held) {
        auto value = registers_.find(key);
        if (value == registers_.end()) {
            link.excepted.push_back(key);
            // Left over from before a member went: forgotten by all the others since.
            if (content.first == epoch_) link.purges[key] = content.second;
            continue;
        }
        auto chosen = chosen_.find(key);
        bool alike =
            content == Content{epoch_, value->second.version} || (chosen != chosen_.end() && content == chosen->second);
        if (alike)
            link.alike[key] = content.second;
        else
            link.excepted.push_back(key);
    }
    for (const auto& [key, value] : registers_) {
        auto alike = link.alike.find(key);
        if (alike == link.alike.end() || alike->second != value.version)
            link.backlog.add(key, takeover_sequence_).whole = true;
        else
            link.backlog.erase(key);
    }
}

bool Owner::synced_majority() const {
    size_t count = 0;
    for (const Member& member : core_.members) {
        const Link* link = living_link(member.identity);
        count += link && link->synced;
    }
    return count >= core_.majority();
}

// --- proposals ---

void Owner::propose(const std::string& key, std::optional<std::string> fixed, Patch patch, Callback on_committed) {
    auto [place, fresh] = registers_.try_emplace(key);
    Register& value = place->second;
    tombstones_.erase(key);
    // A key that was forgotten and comes again goes on above every version that was forgotten.
    value.version.value = std::max(value.version.value, fresh ? floor_version_.value : 0) + 1;
    value.epoch = epoch_;
    if (fixed) value.fixed = std::move(*fixed);
    value.moving = std::move(patch.moving);
    value.change(patch.parts, patch.all);
    ++sequence_;
    for (auto& [identity, link] : links_) {
        Missing& missing = link.backlog.add(key, sequence_);
        missing.replaces = missing.replaces || patch.all;
        missing.whole = missing.whole || fixed;
        for (const Part& part : patch.parts)
            missing.parts.insert(part.number);
    }
    if (on_committed) waits_.push_back({key, value.version, 0, std::move(on_committed)});
}

void Owner::confirm(const std::string& key, Callback on_committed) {
    auto found = registers_.find(key);
    Version version = found == registers_.end() ? Version{} : found->second.version;
    waits_.push_back({key, version, ++round_wanted_, std::move(on_committed)});
}

void Owner::remove(const std::string& key) {
    propose(key, std::string(), Patch({}, {}, true), nullptr);
    tombstones_.insert(key);
}

// A tombstone goes only when nobody who may take part in a takeover, now or after joining, can still hold what was
// before it: neither a member of the core before an open change, nor a learner.
void Owner::settle_tombstone(const std::string& key) {
    auto found = registers_.find(key);
    if (core_changing_ || found == registers_.end() || !held_by_all(key, found->second.version)) return;
    Version version = found->second.version;
    floor_version_ = std::max(floor_version_, version);
    tombstones_.erase(key);
    registers_.erase(found);
    for (auto& [identity, link] : links_) {
        link.backlog.erase(key);
        link.has.erase(key);
        link.alike.erase(key);
        link.purges[key] = version;
    }
}

void Owner::settle_tombstones() {
    std::set<std::string> waiting = tombstones_;
    for (const std::string& key : waiting)
        settle_tombstone(key);
}

// --- membership ---

bool Owner::set_core(const Core& core, const std::string& packed, Callback on_committed) {
    if (!membership_settled() || !core.find(self_) || !one_step_apart(core_, core)) return false;
    core_ = core;
    update_links();
    propose("core", std::nullopt, packed, nullptr);
    core_sequence_ = sequence_;
    core_changing_ = true;
    on_core_settled_ = std::move(on_committed);
    return true;
}

bool Owner::membership_settled() const {
    return acting() && !core_changing_;
}

Sequence Owner::acknowledged(const Link& link) const {
    if (!link.synced) return 0;
    Sequence first_open = link.backlog.oldest().value_or(sequence_ + 1);
    for (const auto& [key, sent] : link.in_flight)
        first_open = std::min(first_open, sent.missing.since);
    return first_open - 1;
}

size_t Owner::members_level(Sequence sequence, std::optional<Identity> except) const {
    size_t count = 0;
    for (const Member& member : core_.members) {
        const Link* link = living_link(member.identity);
        if (member.identity == except || !link) continue;
        count += acknowledged(*link) >= sequence;
    }
    return count;
}

void Owner::settle_membership(std::vector<Callback>& callbacks) {
    if (!core_changing_ || members_level(core_sequence_) < core_.majority()) return;
    core_changing_ = false;
    callbacks.push_back(std::exchange(on_core_settled_, nullptr));
    settle_tombstones();
}

bool Owner::level(Identity identity) const {
    const Link* link = living_link(identity);
    return acting() && link && acknowledged(*link) >= sequence_;
}

bool Owner::level_without(Identity identity) const {
    return acting() && held_without(identity, sequence_);
}

bool Owner::held_without(Identity identity, Sequence sequence) const {
    return members_level(sequence, identity) >= core_.majority();
}

void Owner::begin_drain() {
    draining_ = acting();
}

void Owner::add_learner(const Member& member) {
    if (core_.find(member.identity)) return;
    learners_[member.identity] = member;
    update_links();
}

bool Owner::learner_ready(Identity identity) const {
    const Link* link = living_link(identity);
    return link && link->synced;
}

void Owner::drop_learner(Identity identity) {
    learners_.erase(identity);
    update_links();
    settle_tombstones();
}

bool Owner::heard_since(Identity identity, Micros since) const {
    const Link* link = living_link(identity);
    return link && link->heard_at >= since;
}

bool Owner::is_gone(Identity identity) const {
    auto link = links_.find(identity);
    return link != links_.end() && link->second.gone;
}

bool Owner::reaches_majority(Micros since) const {
    size_t count = 0;
    for (const Member& member : core_.members)
        count += member.identity == self_ || heard_since(member.identity, since);
    return count >= core_.majority();
}

void Owner::update_links() {
    std::map<Identity, Member> wanted;
    for (const Member& member : core_.members)
        wanted[member.identity] = member;
    for (const auto& [identity, member] : learners_)
        wanted[identity] = member;
    std::erase_if(links_, [&](const auto& each) { return !wanted.contains(each.first); });
    for (const auto& [identity, member] : wanted)
        links_[identity].member = member;
}

// --- messages ---

std::vector<OutgoingMessage> Owner::messages_due(Micros now) {
    std::vector<OutgoingMessage> messages;
    if (state_ == State::idle) return messages;
    if (links_.empty()) update_links();
    bool pre_votes_only = state_ == State::preparing && awaits_present_owner(now);
    for (auto& [identity, link] : links_) {
        if (link.in_flight_ticket || now < link.not_before) continue;
        if (state_ == State::preparing) {
            std::optional<PrepareAsk> ask = next_prepare(identity, link, pre_votes_only);
            if (!ask && is_probe_due(link, now)) ask = make_prepare(identity, PrepareKind::pre_vote);
            if (ask) messages.push_back(make_message(link, now, std::move(*ask)));
        } else if (!link.compared) {
            // One that was not among the majority: what it holds is learnt before it is written to.
            messages.push_back(make_message(link, now, make_prepare(identity, PrepareKind::late)));
        } else {
            if (state_ == State::transferring && is_probe_due(link, now)) probe();
            std::optional<WriteAsk> ask = next_write(identity, link);
            if (ask) messages.push_back(make_message(link, now, std::move(*ask)));
        }
    }
    return messages;
}

std::optional<Micros> Owner::next_message_at() const {
    std::optional<Micros> next;
    for (const auto& [identity, link] : links_)
        if (!link.in_flight_ticket && (!link.backlog.empty() || link.round < round_wanted_))
            next = std::min(next.value_or(link.not_before), link.not_before);
    return next;
}

// Whether a member whose part in the takeover is done was not asked for so long that it might be lost, or have promised
// a higher term. A takeover that only waits for others would otherwise never learn it, and believe itself alone.
bool Owner::is_probe_due(const Link& link, Micros now) const {
    return link.sent_at > 0 && now - link.sent_at >= settings_.probe_interval;
}

// A pre-vote promises nothing and brings nothing back but the member's promise.
PrepareAsk Owner::make_prepare(Identity identity, PrepareKind kind) const {
    return {self_, identity, epoch_, kind, kind == PrepareKind::pre_vote ? "" : known_, core_value()};
}

Register Owner::core_value() const {
    if (adopted_core_) return *adopted_core_;
    auto own = own_registers_.find("core");
    return own == own_registers_.end() ? Register{} : own->second;
}

std::optional<PrepareAsk> Owner::next_prepare(Identity identity, const Link& link, bool pre_votes_only) const {
    if (grants_.contains(identity) || learners_.contains(identity)) return std::nullopt;
    // The own promise is raised last: until the others trust this daemon, the present owner is left alone.
    if (identity == self_ && grants_.size() + 1 < core_.majority()) return std::nullopt;
    bool pre_vote = identity != self_ && !link.ready;
    if (pre_votes_only && !pre_vote) return std::nullopt;
    return make_prepare(identity, pre_vote ? PrepareKind::pre_vote : PrepareKind::grant);
}

std::optional<WriteAsk> Owner::next_write(Identity identity, Link& link) {
    if (link.backlog.empty() && link.purges.empty() && link.round >= round_wanted_ && link.synced) return std::nullopt;
    WriteAsk ask{self_, identity, epoch_, false, false, {}, {}, link.adopting, {}};
    if (link.adopting) ask.excepted = link.excepted;
    size_t bytes = 0;
    link.in_flight.clear();
    while (!link.backlog.empty() && bytes < settings_.batch_bytes) {
        auto [key, missing] = link.backlog.take_oldest();
        WriteEntry entry = make_entry(key, missing, link);
        bytes += entry.key.size() + entry.fixed.size() + entry.moving.size() + entry_overhead;
        for (const Part& part : entry.parts)
            bytes += part.bytes.size() + part_overhead;
        link.in_flight[std::move(key)] = {entry.version, std::move(missing)};
        ask.entries.push_back(std::move(entry));
    }
    for (const auto& [key, version] : link.purges)
        ask.purges.push_back({key, version});
    link.purging = link.purges;
    // Complete: all that the takeover settled on is there, or goes with this message.
    ask.complete = !link.synced && link.backlog.oldest().value_or(sequence_ + 1) > takeover_sequence_;
    ask.level = link.backlog.empty();
    link.completing = ask.complete;
    link.in_flight_round = round_wanted_;
    return ask;
}

WriteEntry Owner::make_entry(const std::string& key, const Missing& missing, const Link& link) const {
    const Register& value = registers_.at(key);
    auto has = link.has.find(key);
    WriteEntry entry{key, Carries::all, epoch_, value.version, {}, {}, value.moving, {}, missing.replaces};
    if (has != link.has.end() && !missing.whole) {
        entry.carries = Carries::changes;
        entry.base = has->second;
    } else {
        entry.fixed = value.fixed;
    }
    if (entry.carries == Carries::all || missing.replaces) {
        for (const auto& [number, part] : value.parts)
            entry.parts.push_back({number, part});
    } else {
        for (std::uint64_t number : missing.parts) {
            auto part = value.parts.find(number);
            entry.parts.push_back({number, part == value.parts.end() ? std::string() : part->second});
        }
    }
    return entry;
}

template <class Ask>
OutgoingMessage Owner::make_message(Link& link, Micros now, Ask ask) {
    link.in_flight_ticket = ++last_ticket_;
    link.sent_at = now;
    return {link.in_flight_ticket, link.member, std::move(ask)};
}

// --- answers ---

// Another identity lives at the member's address: the member's disk is lost, with all that it acknowledged, and an
// answer from there is no sign of life of the member.
void Owner::note_gone(Link& link, Micros now) {
    link.gone = true;
    back_off(link, now);
}

Owner::Link* Owner::link_awaiting(std::uint64_t ticket) {
    for (auto& [identity, link] : links_) {
        if (link.in_flight_ticket == ticket) {
            link.in_flight_ticket = 0;
            return &link;
        }
    }
    return nullptr;
}

void Owner::take(std::uint64_t ticket, const PrepareAnswer* answer, Micros now) {
    Link* link = link_awaiting(ticket);
    if (!link || state_ == State::idle) return;
    bool of_present_owner = present_owner_ == link->member.identity;
    if (of_present_owner && (!answer || answer->verdict != Verdict::untrusted)) present_owner_.reset();
    if (!answer) return back_off(*link, now);
    const bool stranger = answer->verdict == Verdict::stranger;
    if (stranger && !is_superseding(answer->promised, answer->promised_to)) return note_gone(*link, now);
    if (!stranger) link->heard_at = now;
    switch (answer->verdict) {
        case Verdict::ready:
            link->ready = true;
            return;
        case Verdict::granted:
            if (state_ != State::preparing) return compare(*link, *answer);
            grants_[link->member.identity] = *answer;
            adopt_core(*answer);
            if (state_ == State::preparing && granted_majority()) begin_transfer();
            return;
        default:
            break;
    }
    if (is_superseding(answer->promised, answer->promised_to)) return superseded(answer->promised);
    back_off(*link, now);
    if (answer->verdict == Verdict::untrusted) link->not_before = now + settings_.ask_again;
}

void Owner::take(std::uint64_t ticket, const WriteAnswer* answer, Micros now) {
    Link* link = link_awaiting(ticket);
    if (!link || (state_ != State::transferring && state_ != State::acting)) return;
    if (!answer) {
        requeue_in_flight(*link);
        return back_off(*link, now);
    }
    if (is_superseding(answer->promised, answer->promised_to)) return superseded(answer->promised);
    if (answer->verdict == Verdict::stranger) {
        requeue_in_flight(*link);
        return note_gone(*link, now);
    }
    link->heard_at = now;
    if (answer->verdict != Verdict::granted) {
        requeue_in_flight(*link);
        return back_off(*link, now);
    }
    bool busy = link->written_at >= 0 && link->sent_at - link->written_at <= settings_.gather_most;
    link->written_at = now;
    if (busy) link->not_before = now + std::min((now - link->sent_at) / 2, settings_.gather_most);
    note_written(*link, *answer);
    if (state_ == State::transferring && synced_majority()) change_state(State::acting);
    note_confirmation();
    run_callbacks();
}

void Owner::note_written(Link& link, const WriteAnswer& answer) {
    bool adopted = std::exchange(link.adopting, false);
    if (adopted) {
        link.has.merge(link.alike);
        link.alike.clear();
        link.excepted.clear();
    }
    std::set<std::string> lacking(answer.lacking.begin(), answer.lacking.end());
    std::vector<std::string> removed;
    for (const auto& [key, sent] : link.in_flight) {
        if (lacking.contains(key)) {
            link.has.erase(key);
            if (registers_.contains(key)) link.backlog.add(key, sent.missing.since).whole = true;
            continue;
        }
        link.has[key] = sent.version;
        if (tombstones_.contains(key)) removed.push_back(key);
    }
    link.in_flight.clear();
    for (const auto& [key, version] : link.purging) {
        auto purge = link.purges.find(key);
        if (purge != link.purges.end() && purge->second == version) link.purges.erase(purge);
    }
    link.purging.clear();
    if (link.completing && lacking.empty()) link.synced = true;
    link.round = std::max(link.round, link.in_flight_round);
    link.answered_from = link.sent_at;
    if (adopted) return settle_tombstones();
    for (const std::string& key : removed)
        settle_tombstone(key);
}

// What got no answer may be there or not; it is sent again. One that took it will find the base gone, and gets all.
void Owner::requeue_in_flight(Link& link) {
    for (auto& [key, sent] : link.in_flight) {
        if (!registers_.contains(key)) continue;
        link.backlog.add(key, sent.missing.since).merge(sent.missing);
    }
    link.in_flight.clear();
    link.purging.clear();
}

// --- commits ---

// How many members have the key in this version or a later one.
size_t Owner::holders(const std::string& key, Version version) const {
    size_t count = 0;
    for (const Member& member : core_.members) {
        const Link* link = living_link(member.identity);
        if (!link) continue;
        auto has = link->has.find(key);
        count += has != link->has.end() && has->second >= version;
    }
    return count;
}

bool Owner::held_by_all(const std::string& key, Version version) const {
    return std::all_of(links_.begin(), links_.end(), [&](const auto& each) {
        auto has = each.second.has.find(key);
        return has != each.second.has.end() && has->second >= version;
    });
}

size_t Owner::members_in_round(std::uint64_t round) const {
    size_t count = 0;
    for (const Member& member : core_.members) {
        const Link* link = living_link(member.identity);
        count += link && link->round >= round;
    }
    return count;
}

void Owner::note_confirmation() {
    std::vector<Micros> times;
    for (const Member& member : core_.members) {
        const Link* link = living_link(member.identity);
        times.push_back(link ? link->answered_from : -1);
    }
    std::sort(times.rbegin(), times.rend());
    if (acting() && times.size() >= core_.majority())
        confirmed_at_ = std::max(confirmed_at_, times[core_.majority() - 1]);
}

void Owner::run_callbacks() {
    if (!acting()) return;
    std::vector<Callback> callbacks;
    for (auto wait = waits_.begin(); wait != waits_.end();) {
        auto found = registers_.find(wait->key);
        bool held = wait->version.value == 0 || found == registers_.end() ||
                    holders(wait->key, wait->version) >= core_.majority();
        if (held && members_in_round(wait->round) >= core_.majority()) {
            callbacks.push_back(std::move(wait->callback));
            wait = waits_.erase(wait);
        } else {
            ++wait;
        }
    }
    settle_membership(callbacks);
    for (Callback& callback : callbacks)
        if (callback) callback(true);
}

}  // namespace calicostall
