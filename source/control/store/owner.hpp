// The proposing side of the record: takeover, commits, confirmations, hand-over. Pure: the caller sends.
#pragma once
#include "common.hpp"
#include "control/store/register.hpp"
#include "shared/wire/cbor.hpp"

namespace calicostall {

struct OwnerSettings {
    Micros retry = milliseconds(100);
    Micros ask_again = milliseconds(30);  // a daemon that does not trust this one yet
    size_t batch_bytes = 512 * 1024;
    // Under load changes are gathered for half as long as the last write took, at most so long; after a pause nothing
    // waits.
    Micros gather_most = milliseconds(6);
};

// A message the caller is to carry to one member and to bring the answer of back with its ticket.
struct Errand {
    std::uint64_t ticket = 0;
    Member to;
    std::variant<PrepareAsk, WriteAsk> ask;
};

// States: idle -> preparing (asks for a higher epoch) -> handing (what differs is written anew) -> acting.
class Owner {
public:
    enum class State { idle, preparing, handing, acting };
    using Told = std::function<void(bool committed)>;

    Owner(OwnerSettings settings, Identity self) : settings_(settings), self_(self) {}

    State state() const { return state_; }
    bool acting() const { return state_ == State::acting; }
    Epoch epoch() const { return epoch_; }
    const Core& core() const { return core_; }
    const std::map<std::string, Register>& registers() const { return registers_; }
    // When a majority was last known to follow this epoch: the sending time of their oldest needed answer.
    Micros confirmed_at() const { return confirmed_at_; }
    std::uint64_t takeovers() const { return takeovers_; }

    // Begins a takeover; `seen` is the highest epoch known, `mine` what this daemon's own replica holds: the others
    // send only what differs from it.
    // Example: owner.take_over(core, std::max(replica.promised, highest), replica.registers);
    void take_over(const Core& core, Epoch seen, std::map<std::string, Register> mine = {}) {
        const Member* me = core.find(self_);
        if (!me) return;
        give_up();
        core_ = core;
        epoch_ = Epoch{(std::max(seen.value, epoch_.value) / number_room + 1) * number_room + me->number % number_room};
        mine_ = std::move(mine);
        Holdings known;
        for (const auto& [key, value] : mine_)
            known.list.push_back({key, value.epoch, value.version});
        known_ = pack(known);
        core_epoch_ = Epoch{};
        core_version_ = Version{};
        ++takeovers_;
        change_state(State::preparing);
    }

    // Gives way: nothing undecided may be told as done or as never done.
    void give_up() {
        if (state_ == State::idle) return;
        change_state(State::idle);
        confirmed_at_ = -1;
        std::vector<Told> told;
        for (Wait& wait : waits_)
            told.push_back(std::move(wait.told));
        waits_.clear();
        links_.clear();
        registers_.clear();
        mine_.clear();
        known_.clear();
        chosen_.clear();
        grants_.clear();
        tombs_.clear();
        learners_.clear();
        floor_version_ = Version{};
        for (Told& each : told)
            each(false);
    }

    // Proposes the key's next value. `told` is called once a majority has it (or with false when given up).
    void propose(const std::string& key, std::optional<std::string> fixed, Patch patch, Told told) {
        auto [place, fresh] = registers_.try_emplace(key);
        Register& value = place->second;
        tombs_.erase(key);
        // A key that was forgotten and comes again goes on above every version that was forgotten.
        value.version.value = std::max(value.version.value, fresh ? floor_version_.value : 0) + 1;
        value.epoch = epoch_;
        if (fixed) value.fixed = std::move(*fixed);
        value.moving = std::move(patch.moving);
        value.change(patch.parts, patch.all);
        for (auto& [identity, link] : links_) {
            Missing& missing = link.dirty[key];
            missing.replaces = missing.replaces || patch.all;
            missing.whole = missing.whole || fixed;
            for (const Part& part : patch.parts)
                missing.parts.insert(part.number);
        }
        if (told) waits_.push_back({key, value.version, 0, std::move(told)});
    }
    // Called once the key's present value is on a majority that was asked after this call.
    void confirm(const std::string& key, Told told) {
        auto found = registers_.find(key);
        Version version = found == registers_.end() ? Version{} : found->second.version;
        waits_.push_back({key, version, ++round_wanted_, std::move(told)});
    }
    // Asks the majority once more whether this epoch still holds.
    void probe() { ++round_wanted_; }

    // Changes the core by one member: the new one counts at once, as any later reader meets it.
    void set_core(const Core& core, const std::string& packed, Told told) {
        core_ = core;
        tie_links();
        propose("core", std::nullopt, packed, std::move(told));
    }
    void add_learner(const Member& member) {
        if (core_.find(member.identity)) return;
        learners_[member.identity] = member;
        tie_links();
    }
    bool learner_ready(Identity identity) const {
        auto link = links_.find(identity);
        return link != links_.end() && link->second.synced;
    }
    bool has_learner(Identity identity) const { return learners_.contains(identity); }
    void drop_learner(Identity identity) {
        learners_.erase(identity);
        tie_links();
    }
    // Whether the member answered anything since `since`.
    bool heard_since(Identity identity, Micros since) const {
        auto link = links_.find(identity);
        return link != links_.end() && link->second.heard_at >= since;
    }
    // The member's disk is known to be gone (its address answers with another identity).
    bool is_gone(Identity identity) const {
        auto link = links_.find(identity);
        return link != links_.end() && link->second.gone;
    }
    bool reaches_majority(Micros since) const {
        size_t count = 0;
        for (const Member& member : core_.members)
            count += member.identity == self_ || heard_since(member.identity, since);
        return count >= core_.majority();
    }

    // Forgets ended keys: an empty value everywhere first, the key itself only when every member has that.
    void bury(const std::string& key) {
        propose(key, std::string(), Patch({}, {}, true), nullptr);
        tombs_.insert(key);
    }

    // What is to be sent now.
    std::vector<Errand> pump(Micros now) {
        std::vector<Errand> errands;
        if (state_ == State::idle) return errands;
        if (links_.empty()) tie_links();
        for (auto& [identity, link] : links_) {
            if (link.flying || now < link.not_before) continue;
            if (state_ == State::preparing) {
                if (grants_.contains(identity) || learners_.contains(identity)) continue;
                // The own promise is raised last: until the others trust this daemon, the present owner is left alone.
                if (identity == self_ && grants_.size() + 1 < core_.majority()) continue;
                bool sounding = identity != self_ && !link.ready;
                errands.push_back(
                    dispatch(link, now,
                             PrepareAsk{self_, identity, epoch_, sounding ? PrepareKind::sounding : PrepareKind::grant,
                                        sounding ? "" : known_}));
            } else if (!link.compared) {
                // One that was not among the majority: what it holds is learnt before it is written to.
                errands.push_back(dispatch(link, now, PrepareAsk{self_, identity, epoch_, PrepareKind::late, known_}));
            } else {
                std::optional<WriteAsk> ask = next_write(identity, link);
                if (ask) errands.push_back(dispatch(link, now, std::move(*ask)));
            }
        }
        return errands;
    }
    // When `pump` has something to send that it held back.
    std::optional<Micros> next_pump() const {
        std::optional<Micros> next;
        for (const auto& [identity, link] : links_)
            if (!link.flying && (!link.dirty.empty() || link.round < round_wanted_))
                next = std::min(next.value_or(link.not_before), link.not_before);
        return next;
    }

    // The answer to an errand; none when it failed.
    void take(std::uint64_t ticket, const PrepareAnswer* answer, Micros now) {
        Link* link = landing(ticket);
        if (!link || state_ == State::idle) return;
        if (!answer) return hold_off(*link, now);
        link->heard_at = now;
        switch (answer->verdict) {
            case Verdict::ready:
                link->ready = true;
                return;
            case Verdict::granted:
                if (state_ != State::preparing) return compare(*link, *answer);
                grants_[link->member.identity] = *answer;
                adopt_core(*answer);
                if (state_ == State::preparing && granted_majority()) begin_handing();
                return;
            default:
                break;
        }
        if (answer->promised > epoch_) return outbid(answer->promised);
        if (answer->verdict == Verdict::stranger) link->gone = true;
        hold_off(*link, now);
        if (answer->verdict == Verdict::untrusted) link->not_before = now + settings_.ask_again;
    }
    void take(std::uint64_t ticket, const WriteAnswer* answer, Micros now) {
        Link* link = landing(ticket);
        if (!link || (state_ != State::handing && state_ != State::acting)) return;
        if (!answer) {
            put_back(*link);
            return hold_off(*link, now);
        }
        if (answer->promised > epoch_) return outbid(answer->promised);
        link->heard_at = now;
        if (answer->verdict != Verdict::granted) {
            if (answer->verdict == Verdict::stranger) link->gone = true;
            put_back(*link);
            return hold_off(*link, now);
        }
        bool busy = link->written_at >= 0 && link->sent_at - link->written_at <= settings_.gather_most;
        link->written_at = now;
        if (busy) link->not_before = now + std::min((now - link->sent_at) / 2, settings_.gather_most);
        if (link->adopting) {
            link->adopting = false;
            link->has.merge(link->alike);
            link->alike.clear();
            link->excepted.clear();
        }
        std::set<std::string> lacking(answer->lacking.begin(), answer->lacking.end());
        std::vector<std::string> buried;
        for (const auto& [key, flight] : link->in_flight) {
            if (lacking.contains(key)) {
                link->has.erase(key);
                if (registers_.contains(key)) link->dirty[key].whole = true;
                continue;
            }
            link->has[key] = flight.version;
            if (tombs_.contains(key)) buried.push_back(key);
        }
        link->in_flight.clear();
        for (const auto& [key, version] : link->purging) {
            auto purge = link->purges.find(key);
            if (purge != link->purges.end() && purge->second == version) link->purges.erase(purge);
        }
        link->purging.clear();
        if (link->completing && lacking.empty()) link->synced = true;
        link->round = std::max(link->round, link->flying_round);
        link->answered_from = link->sent_at;
        for (const std::string& key : buried)
            settle_tomb(key);
        if (state_ == State::handing && synced_majority()) change_state(State::acting);
        note_confirmation();
        tell();
    }

    // Set when an answer showed a higher promise; the caller reads and clears it.
    std::optional<Epoch> outbid_by;

private:
    // What a member lacks of a key, counted from the version that it is known to have.
    struct Missing {
        std::set<std::uint64_t> parts;
        bool replaces = false, whole = false;
    };
    struct Flight {
        Version version;
        Missing missing;
    };
    struct Link {
        Member member;
        std::uint64_t flying = 0;
        Micros sent_at = 0, not_before = 0, heard_at = -1, answered_from = -1, written_at = -1;
        std::uint64_t round = 0, flying_round = 0;
        bool ready = false, compared = false, adopting = false;
        bool synced = false, completing = false, gone = false;
        std::map<std::string, Missing> dirty;
        std::map<std::string, Version> has;    // what it acknowledged under this epoch
        std::map<std::string, Version> alike;  // what it has under this epoch once it has adopted
        std::vector<std::string> excepted;
        std::map<std::string, Flight> in_flight;
        std::map<std::string, Version> purges, purging;
    };
    struct Wait {
        std::string key;
        Version version;
        std::uint64_t round;
        Told told;
    };
    using Content = std::pair<Epoch, Version>;
    static constexpr std::uint64_t number_room = 64;

    void change_state(State state) { state_ = state; }

    template <class Some>
    Errand dispatch(Link& link, Micros now, Some ask) {
        link.flying = ++last_ticket_;
        link.sent_at = now;
        return {link.flying, link.member, std::move(ask)};
    }
    Link* landing(std::uint64_t ticket) {
        for (auto& [identity, link] : links_) {
            if (link.flying == ticket) {
                link.flying = 0;
                return &link;
            }
        }
        return nullptr;
    }
    // What got no answer may be there or not; it is sent again. One that took it will find the base gone, and gets all.
    void put_back(Link& link) {
        for (auto& [key, flight] : link.in_flight) {
            if (!registers_.contains(key)) continue;
            Missing& missing = link.dirty[key];
            missing.parts.merge(flight.missing.parts);
            missing.replaces = missing.replaces || flight.missing.replaces;
            missing.whole = missing.whole || flight.missing.whole;
        }
        link.in_flight.clear();
        link.purging.clear();
    }
    void hold_off(Link& link, Micros now) { link.not_before = now + settings_.retry; }
    void outbid(Epoch promised) {
        outbid_by = promised;
        give_up();
    }

    void tie_links() {
        std::map<Identity, Member> wanted;
        for (const Member& member : core_.members)
            wanted[member.identity] = member;
        for (const auto& [identity, member] : learners_)
            wanted[identity] = member;
        std::erase_if(links_, [&](const auto& each) { return !wanted.contains(each.first); });
        for (const auto& [identity, member] : wanted)
            links_[identity].member = member;
    }
    std::optional<WriteAsk> next_write(Identity identity, Link& link) {
        if (link.dirty.empty() && link.purges.empty() && link.round >= round_wanted_ && link.synced)
            return std::nullopt;
        WriteAsk ask{self_, identity, epoch_, false, false, {}, {}, link.adopting, {}};
        if (link.adopting) ask.excepted = link.excepted;
        size_t bytes = 0;
        link.in_flight.clear();
        for (auto each = link.dirty.begin(); each != link.dirty.end() && bytes < settings_.batch_bytes;
             each = link.dirty.erase(each)) {
            const auto& [key, missing] = *each;
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
            bytes += key.size() + entry.fixed.size() + entry.moving.size() + 32;
            for (const Part& part : entry.parts)
                bytes += part.bytes.size() + 12;
            link.in_flight[key] = {value.version, std::move(each->second)};
            ask.entries.push_back(std::move(entry));
        }
        for (const auto& [key, version] : link.purges)
            ask.purges.push_back({key, version});
        link.purging = link.purges;
        ask.complete = !link.synced && link.dirty.empty();
        ask.level = link.dirty.empty();
        link.completing = ask.complete;
        link.flying_round = round_wanted_;
        return ask;
    }
    bool granted_majority() const {
        size_t count = 0;
        for (const Member& member : core_.members)
            count += grants_.contains(member.identity);
        return count >= core_.majority() && grants_.contains(self_);
    }
    bool synced_majority() const {
        size_t count = 0;
        for (const Member& member : core_.members) {
            auto link = links_.find(member.identity);
            count += link != links_.end() && link->second.synced;
        }
        return count >= core_.majority();
    }
    // A grant may show a later core than the one this takeover began with.
    void adopt_core(const PrepareAnswer& answer) {
        for (const KeyedRegister& each : answer.registers) {
            if (each.key != "core" || !unpack_core) continue;
            std::optional<Core> core = unpack_core(each.value.moving);
            auto mine = mine_.find("core");
            if (mine != mine_.end() && !each.value.newer_than(mine->second)) continue;
            if (!core || std::tie(each.value.epoch, each.value.version) <= std::tie(core_epoch_, core_version_))
                continue;
            core_epoch_ = each.value.epoch;
            core_version_ = each.value.version;
            core_ = *core;
            if (!core_.find(self_)) return give_up();
            tie_links();
        }
    }
    // What a member holds, from its answer: all of `mine_` but for what it named.
    std::map<std::string, Content> holdings(const PrepareAnswer& answer) const {
        std::map<std::string, Content> held;
        for (const auto& [key, value] : mine_)
            held.emplace_hint(held.end(), key, Content{value.epoch, value.version});
        for (const std::string& key : answer.lacking)
            held.erase(key);
        for (const KeyedRegister& each : answer.registers)
            held[each.key] = {each.value.epoch, each.value.version};
        return held;
    }
    void begin_handing() {
        Epoch floor;
        for (const auto& [identity, grant] : grants_)
            floor = std::max(floor, grant.synced);
        registers_.clear();
        // The newest value of each key on the majority. What was known is on it unless each of them lacks it or has
        // another.
        std::map<std::string, size_t> elsewhere;
        for (const auto& [identity, grant] : grants_) {
            for (const std::string& key : grant.lacking)
                elsewhere[key]++;
            for (const KeyedRegister& each : grant.registers)
                if (mine_.contains(each.key)) elsewhere[each.key]++;
        }
        auto weigh = [&](const std::string& key, const Register& value) {
            if (value.epoch < floor) return;
            auto [place, fresh] = registers_.try_emplace(key, value);
            if (!fresh && value.newer_than(place->second)) place->second = value;
        };
        for (const auto& [key, value] : mine_) {
            auto found = elsewhere.find(key);
            if (found == elsewhere.end() || found->second < grants_.size()) weigh(key, value);
        }
        for (const auto& [identity, grant] : grants_)
            for (const KeyedRegister& each : grant.registers)
                weigh(each.key, each.value);
        for (auto& [key, value] : registers_) {
            chosen_[key] = {value.epoch, value.version};
            value.epoch = epoch_;
            if (value.empty()) tombs_.insert(key);
        }
        std::map<Identity, Link> before;
        before.swap(links_);
        tie_links();
        for (auto& [identity, link] : links_) {
            if (auto old = before.find(identity); old != before.end()) link.heard_at = old->second.heard_at;
            if (auto grant = grants_.find(identity); grant != grants_.end()) compare(link, grant->second);
        }
        // The contents are in `registers_` now; of what was known its epochs and versions are still needed.
        for (auto& [key, value] : mine_)
            value.fixed.clear(), value.moving.clear(), value.parts.clear();
        grants_.clear();
        change_state(State::handing);
    }
    // Learns what the member holds. What equals the chosen value, or the present one, need not be written again.
    void compare(Link& link, const PrepareAnswer& answer) {
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
            bool alike = content == Content{epoch_, value->second.version} ||
                         (chosen != chosen_.end() && content == chosen->second);
            if (alike)
                link.alike[key] = content.second;
            else
                link.excepted.push_back(key);
        }
        for (const auto& [key, value] : registers_) {
            auto alike = link.alike.find(key);
            if (alike == link.alike.end() || alike->second != value.version)
                link.dirty[key].whole = true;
            else
                link.dirty.erase(key);
        }
    }
    void settle_tomb(const std::string& key) {
        auto found = registers_.find(key);
        if (found == registers_.end() || holders(key, found->second.version) < core_.members.size()) return;
        Version version = found->second.version;
        floor_version_ = std::max(floor_version_, version);
        tombs_.erase(key);
        registers_.erase(found);
        for (auto& [identity, link] : links_) {
            link.dirty.erase(key);
            link.has.erase(key);
            link.alike.erase(key);
            link.purges[key] = version;
        }
    }
    // How many members have the key in this version or a later one.
    size_t holders(const std::string& key, Version version) const {
        size_t count = 0;
        for (const Member& member : core_.members) {
            auto link = links_.find(member.identity);
            if (link == links_.end()) continue;
            auto has = link->second.has.find(key);
            count += has != link->second.has.end() && has->second >= version;
        }
        return count;
    }
    size_t rounders(std::uint64_t round) const {
        size_t count = 0;
        for (const Member& member : core_.members) {
            auto link = links_.find(member.identity);
            count += link != links_.end() && link->second.round >= round;
        }
        return count;
    }
    void note_confirmation() {
        std::vector<Micros> times;
        for (const Member& member : core_.members) {
            auto link = links_.find(member.identity);
            times.push_back(link == links_.end() ? -1 : link->second.answered_from);
        }
        std::sort(times.rbegin(), times.rend());
        if (acting() && times.size() >= core_.majority())
            confirmed_at_ = std::max(confirmed_at_, times[core_.majority() - 1]);
    }
    void tell() {
        if (!acting()) return;
        std::vector<Told> told;
        for (auto wait = waits_.begin(); wait != waits_.end();) {
            auto found = registers_.find(wait->key);
            bool held = wait->version.value == 0 || found == registers_.end() ||
                        holders(wait->key, wait->version) >= core_.majority();
            if (held && rounders(wait->round) >= core_.majority()) {
                told.push_back(std::move(wait->told));
                wait = waits_.erase(wait);
            } else {
                ++wait;
            }
        }
        for (Told& each : told)
            each(true);
    }

public:
    // How the caller reads the `core` register; set once.
    std::function<std::optional<Core>(const std::string&)> unpack_core;

private:
    OwnerSettings settings_;
    Identity self_;
    State state_ = State::idle;
    Epoch epoch_;
    Core core_;
    Epoch core_epoch_;
    Version core_version_;
    Version floor_version_;
    Micros confirmed_at_ = -1;
    std::uint64_t takeovers_ = 0, last_ticket_ = 0, round_wanted_ = 0;
    std::map<std::string, Register> registers_;
    std::map<std::string, Register> mine_;   // what the own replica held when the takeover began
    std::string known_;                      // the same as packed Holdings
    std::map<std::string, Content> chosen_;  // which contents the takeover settled on
    std::map<Identity, Link> links_;
    std::map<Identity, PrepareAnswer> grants_;
    std::map<Identity, Member> learners_;
    std::set<std::string> tombs_;
    std::list<Wait> waits_;
};

}  // namespace calicostall
