// The proposing side of the record: takeover, commits, confirmations, hand-over. Pure: the caller sends.
#pragma once
#include "common.hpp"
#include "control/store/register.hpp"

namespace calicostall {

struct OwnerSettings {
    Micros retry = milliseconds(100);
    Micros ask_again = milliseconds(30);  // a daemon that does not trust this one yet
    size_t batch_bytes = 512 * 1024;
};

// A message the caller is to carry to one member and to bring the answer of back with its ticket.
struct Errand {
    std::uint64_t ticket = 0;
    Member to;
    std::variant<PrepareAsk, WriteAsk> ask;
};

// States: idle -> preparing (asks for a higher epoch) -> handing (rewrites the newest values) -> acting.
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

    // Begins a takeover; `seen` is the highest epoch known.
    void take_over(const Core& core, Epoch seen) {
        const Member* me = core.find(self_);
        if (!me) return;
        give_up();
        core_ = core;
        epoch_ = Epoch{(std::max(seen.value, epoch_.value) / number_room + 1) * number_room + me->number % number_room};
        ++takeovers_;
        change_state(State::preparing);
    }

    // Gives way: nothing undecided may be told as done or as never done.
    void give_up() {
        if (state_ == State::idle) return;
        change_state(State::idle);
        confirmed_at_ = -1;
        std::vector<Told> told;
        for (Wait& wait : waits_) told.push_back(std::move(wait.told));
        waits_.clear();
        links_.clear();
        registers_.clear();
        grants_.clear();
        tombs_.clear();
        learners_.clear();
        held_.clear();
        for (Told& each : told) each(false);
    }

    // Proposes the key's next value. `told` is called once a majority has it (or with false when given up).
    void propose(const std::string& key, std::optional<std::string> fixed, std::string moving, Told told) {
        Register& value = registers_[key];
        value.version.value++;
        value.epoch = epoch_;
        if (fixed) value.fixed = std::move(*fixed);
        value.moving = std::move(moving);
        for (auto& [identity, link] : links_) link.dirty.insert(key);
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
        for (const Member& member : core_.members) count += member.identity == self_ || heard_since(member.identity, since);
        return count >= core_.majority();
    }

    // Forgets ended keys: an empty value everywhere first, the key itself only when every member has that.
    void bury(const std::string& key) {
        propose(key, std::string(), std::string(), nullptr);
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
                errands.push_back(dispatch(link, now, PrepareAsk{self_, identity, epoch_}));
            } else {
                std::optional<WriteAsk> ask = next_write(identity, link);
                if (ask) errands.push_back(dispatch(link, now, std::move(*ask)));
            }
        }
        return errands;
    }

    // The answer to an errand; none when it failed.
    void take(std::uint64_t ticket, const PrepareAnswer* answer, Micros now) {
        Link* link = landing(ticket);
        if (!link || state_ != State::preparing) return;
        if (!answer) return hold_off(*link, now);
        link->heard_at = now;
        if (answer->verdict == Verdict::granted) {
            grants_[link->member.identity] = *answer;
            adopt_core(*answer);
            if (state_ == State::preparing && granted_majority()) begin_handing();
        } else {
            if (answer->promised > epoch_) return outbid(answer->promised);
            if (answer->verdict == Verdict::stranger) link->gone = true;
            hold_off(*link, now);
            if (answer->verdict == Verdict::untrusted) link->not_before = now + settings_.ask_again;
        }
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
        std::set<std::string> lacking(answer->lacking.begin(), answer->lacking.end());
        for (const auto& [key, version] : link->in_flight) {
            if (lacking.contains(key)) {
                link->has.erase(key);
                link->marks.erase(key);
                link->dirty.insert(key);
                continue;
            }
            link->has.insert(key);
            Version& held = held_[key][link->member.identity];
            held = std::max(held, version);
            if (tombs_.contains(key)) settle_tomb(key);
        }
        for (const std::string& key : link->purging) link->purges.erase(key);
        link->in_flight.clear();
        link->purging.clear();
        if (link->completing && lacking.empty()) link->synced = true;
        link->round = std::max(link->round, link->flying_round);
        link->answered_from = link->sent_at;
        if (state_ == State::handing && synced_majority()) change_state(State::acting);
        note_confirmation();
        tell();
    }

    // Set when an answer showed a higher promise; the caller reads and clears it.
    std::optional<Epoch> outbid_by;

private:
    struct Link {
        Member member;
        std::uint64_t flying = 0;
        Micros sent_at = 0, not_before = 0, heard_at = -1, answered_from = -1;
        std::uint64_t round = 0, flying_round = 0;
        bool synced = false, completing = false, gone = false;
        std::set<std::string> dirty;
        std::set<std::string> has;              // keys of which it has the fixed part
        std::map<std::string, Version> marks;   // keys it already holds in the newest version
        std::map<std::string, Version> in_flight;
        std::set<std::string> purges, purging;
    };
    struct Wait {
        std::string key;
        Version version;
        std::uint64_t round;
        Told told;
    };
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
    // What got no answer may be there or not; it is sent again.
    void put_back(Link& link) {
        for (const auto& [key, version] : link.in_flight) link.dirty.insert(key);
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
        for (const Member& member : core_.members) wanted[member.identity] = member;
        for (const auto& [identity, member] : learners_) wanted[identity] = member;
        std::erase_if(links_, [&](const auto& each) { return !wanted.contains(each.first); });
        for (const auto& [identity, member] : wanted) {
            auto [place, fresh] = links_.try_emplace(identity);
            place->second.member = member;
            if (!fresh) continue;
            for (const auto& [key, value] : registers_) place->second.dirty.insert(key);
        }
    }
    std::optional<WriteAsk> next_write(Identity identity, Link& link) {
        bool idle_probe = (state_ == State::acting || state_ == State::handing) && !link.synced && link.dirty.empty();
        if (link.dirty.empty() && link.purges.empty() && link.round >= round_wanted_ && !idle_probe &&
            !(link.heard_at < 0))
            return std::nullopt;
        WriteAsk ask{self_, identity, epoch_, false, false, {}, {}};
        size_t bytes = 0;
        link.in_flight.clear();
        for (auto key = link.dirty.begin(); key != link.dirty.end() && bytes < settings_.batch_bytes; key = link.dirty.erase(key)) {
            const Register& value = registers_[*key];
            WriteEntry entry{*key, Carries::all, value};
            auto mark = link.marks.find(*key);
            if (mark != link.marks.end() && mark->second == value.version) entry.carries = Carries::mark;
            else if (link.has.contains(*key) && !tombs_.contains(*key)) entry.carries = Carries::moving;
            if (entry.carries != Carries::all) entry.value.fixed.clear();
            if (entry.carries == Carries::mark) entry.value.moving.clear();
            bytes += key->size() + entry.value.fixed.size() + entry.value.moving.size() + 32;
            link.in_flight[*key] = value.version;
            ask.entries.push_back(std::move(entry));
        }
        ask.purges.assign(link.purges.begin(), link.purges.end());
        link.purging = link.purges;
        ask.complete = !link.synced && link.dirty.empty();
        ask.level = link.dirty.empty();
        link.completing = ask.complete;
        link.flying_round = round_wanted_;
        return ask;
    }
    bool granted_majority() const {
        size_t count = 0;
        for (const Member& member : core_.members) count += grants_.contains(member.identity);
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
            if (!core || std::tie(each.value.epoch, each.value.version) <= std::tie(core_epoch_, core_version_)) continue;
            core_epoch_ = each.value.epoch;
            core_version_ = each.value.version;
            core_ = *core;
            if (!core_.find(self_)) return give_up();
            tie_links();
        }
    }
    void begin_handing() {
        Epoch floor;
        for (const auto& [identity, grant] : grants_) floor = std::max(floor, grant.synced);
        registers_.clear();
        held_.clear();
        for (const auto& [identity, grant] : grants_)
            for (const KeyedRegister& each : grant.registers) {
                if (each.value.epoch < floor) continue;
                auto [place, fresh] = registers_.try_emplace(each.key, each.value);
                if (!fresh && each.value.newer_than(place->second)) place->second = each.value;
            }
        links_.clear();
        tie_links();
        for (auto& [identity, grant] : grants_) {
            auto link = links_.find(identity);
            if (link == links_.end()) continue;
            for (const KeyedRegister& each : grant.registers) {
                auto found = registers_.find(each.key);
                if (found == registers_.end()) continue;
                if (!found->second.newer_than(each.value)) link->second.marks[each.key] = each.value.version;
                if (each.value.epoch >= floor && each.value.fixed == found->second.fixed) link->second.has.insert(each.key);
            }
        }
        for (auto& [key, value] : registers_) {
            value.epoch = epoch_;
            if (value.fixed.empty() && value.moving.empty()) tombs_.insert(key);
        }
        grants_.clear();
        change_state(State::handing);
    }
    void settle_tomb(const std::string& key) {
        auto found = registers_.find(key);
        if (found == registers_.end() || holders(key, found->second.version) < core_.members.size()) return;
        tombs_.erase(key);
        registers_.erase(key);
        held_.erase(key);
        for (auto& [identity, link] : links_) {
            link.dirty.erase(key);
            link.has.erase(key);
            link.purges.insert(key);
        }
    }
    // How many members have the key in this version or a later one.
    size_t holders(const std::string& key, Version version) const {
        auto found = held_.find(key);
        if (found == held_.end()) return 0;
        size_t count = 0;
        for (const Member& member : core_.members) {
            auto held = found->second.find(member.identity);
            count += held != found->second.end() && held->second >= version;
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
        if (acting() && times.size() >= core_.majority()) confirmed_at_ = std::max(confirmed_at_, times[core_.majority() - 1]);
    }
    void tell() {
        if (!acting()) return;
        std::vector<Told> told;
        for (auto wait = waits_.begin(); wait != waits_.end();) {
            auto found = registers_.find(wait->key);
            bool held = wait->version.value == 0 || found == registers_.end() || holders(wait->key, wait->version) >= core_.majority();
            if (held && rounders(wait->round) >= core_.majority()) {
                told.push_back(std::move(wait->told));
                wait = waits_.erase(wait);
            } else {
                ++wait;
            }
        }
        for (Told& each : told) each(true);
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
    Micros confirmed_at_ = -1;
    std::uint64_t takeovers_ = 0, last_ticket_ = 0, round_wanted_ = 0;
    std::map<std::string, Register> registers_;
    std::map<std::string, std::map<Identity, Version>> held_;
    std::map<Identity, Link> links_;
    std::map<Identity, PrepareAnswer> grants_;
    std::map<Identity, Member> learners_;
    std::set<std::string> tombs_;
    std::list<Wait> waits_;
};

}  // namespace calicostall
