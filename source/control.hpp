// The role `control`: detector, record, configuration, worker list, placement.
#pragma once
#include "common.hpp"
#include "control/detector/detector.hpp"
#include "control/detector/suspicion.hpp"
#include "control/jobs/scheduler.hpp"
#include "control/store/disk.hpp"
#include "control/store/owner.hpp"
#include "control/store/replica.hpp"
#include "preview/serve.hpp"
#include "shared/http/listener.hpp"
#include "shared/http/loop.hpp"
#include "shared/http/slab.hpp"
#include "shared/news/locator.hpp"
#include "shared/news/pace.hpp"
#include "shared/settings/settings.hpp"
#include "shared/time/judge.hpp"

namespace calicostall {

struct ControlSettings {
    Settings machine;
    DetectorSettings detector;
    OwnerSettings owner;
    SchedulerSettings scheduler;
    Micros write_patience = milliseconds(700);
    Micros side_wait = seconds(1);
    PaceSettings pace;
    Micros probe_busy = milliseconds(300), probe_idle = milliseconds(800);
    Micros catching_up_most = milliseconds(1200);
    Micros count_every = seconds(5);
    // A silent member goes after `gone_after` where a joiner waits or has just come in its stead: another machine may
    // be lost as soon as that one has caught up. Else it goes after `given_up_after`, longer than freezes and cuts
    // last, as each change of the core costs a hand-over when the member comes back; and never from a core of three.
    Micros gone_after = seconds(2), given_up_after = seconds(12), replacing = seconds(10);
    size_t core_most = 9;
    Micros turn_most = milliseconds(20);  // a turn's rounds end here; what is left waits for the next one
    Micros rest_most = milliseconds(8);   // between two turns: as long as the last one took, at most so long
    SuspicionSettings suspicion;
    Micros alone_after = milliseconds(1000);  // without a majority a daemon suspects itself
    bool preview_reads = false;               // whether a preview may read a snapshot of the record
    SnapshotLimits snapshot;
    bool run_lines = false;     // whether what is accepted, starts and ends goes to the log
    Micros snapshot_lines = 0;  // how often the owner writes one to its log, for trials; 0: never
};

class Control {
public:
    Control(ControlSettings settings, Loop& loop)
        : settings_(std::move(settings)),
          loop_(loop),
          disk_(settings_.machine.folder, settings_.machine.disk_mb),
          detector_(settings_.detector, 0, 1, steady_now()),
          owner_(settings_.owner, Identity{}),
          ledger_{this},
          scheduler_(settings_.scheduler, ledger_),
          suspicion_(settings_.suspicion),
          preview_reads_(settings_.preview_reads, settings_.snapshot) {}

    // Opens disk and listeners; returns what went wrong.
    Findings open() {
        Findings findings;
        std::lock_guard guard(lock_);
        Micros now = steady_now();
        own_address_ = replica_address(settings_.machine.control);
        if (std::string error = disk_.open(replica_); !error.empty()) {
            findings.add("data_dir", error);
            return findings;
        }
        bool first = replica_.identity.value == 0;
        if (first) found_identity();
        if (first && !disk_.write_identity(replica_.identity)) findings.add("data_dir", "takes no writes");
        owner_ = Owner(settings_.owner, replica_.identity);
        owner_.unpack_core = [](const std::string& packed) { return unpack<Core>(packed); };
        disk_.start();
        bool fresh = first && settings_.machine.first_start;
        catching_up_until_ = fresh ? now : now + settings_.catching_up_most;
        learn_core(now);
        log_line("control", "identity {:x}, {} registers, promised {}, {}", replica_.identity.value,
                 replica_.registers.size(), replica_.promised.value,
                 place_ ? fmt::format("place {} of {}", *place_, core_.members.size()) : std::string("no member yet"));
        try {
            inner_ = std::make_unique<Listener>(own_address_, Listener::Limits{.body_bytes = 64 << 20},
                                                [this](Request request) { take_inner(std::move(request)); });
            inner_->open();
        } catch (const std::exception& error) {
            findings.add("port_range", fmt::format("{}: {}", own_address_, error.what()));
        }
        try {
            control_ = std::make_unique<Listener>(settings_.machine.control, Listener::Limits{.body_bytes = 4 << 20},
                                                  [this](Request request) { take_control(std::move(request)); });
            control_->open();
        } catch (const std::exception& error) {
            findings.add("bind_addrs.control", fmt::format("{}: {}", settings_.machine.control, error.what()));
        }
        if (settings_.run_lines)
            scheduler_.tell_runs([this](RunLine line) {
                line.wall = judge_.wall(wall_now(), steady_now());
                log_line("run", "{}", line.line());
            });
        loop_.after(0, [this] { turn_by_timer(); });
        return findings;
    }
    // A planned stop: the successors are told, and what is being decided gets a moment.
    void leave(std::function<void()> then) {
        std::lock_guard guard(lock_);
        log_line("control", "leaving");
        leaving_ = true;
        owner_.give_up();
        scheduler_.end_ownership();
        for (size_t place = 0; place < core_.members.size(); ++place)
            if (place != place_.value_or(~size_t(0))) send_alive(place, true);
        answer_all_waiting();
        loop_.after(milliseconds(400), std::move(then));
    }
    void take_settings(const Settings& machine) {
        std::lock_guard guard(lock_);
        settings_.machine.seeds = machine.seeds;
        if (locator_) locator_->add_seeds(seed_replicas());
    }

private:
    struct LedgerAdapter {
        Control* control;
        void propose(const std::string& key, std::optional<std::string> fixed, Patch patch,
                     std::function<void(bool)> told) {
            control->owner_.propose(key, std::move(fixed), std::move(patch), std::move(told));
            control->turn_wanted_ = true;
        }
        void confirm(const std::string& key, std::function<void(bool)> told) {
            control->owner_.confirm(key, std::move(told));
            control->turn_wanted_ = true;
        }
        void bury(const std::string& key) { control->owner_.remove(key); }
    };
    struct SideWait {
        Reply reply;
        std::string node;
        Epoch epoch;
        std::uint64_t taken = 0, seen_told = 0;
        Micros until = 0;
        bool superseded = false;  // a newer ask of the same side is here: that one gets the orders
    };
    struct SideAccount {
        std::uint64_t incarnation = 0, mark = 0;
        WorkerAccount account;
    };
    struct NewsWait {
        Reply reply;
        NewsAsk ask;
        Micros until = 0;
    };

    std::string replica_address(const std::string& control) const {
        return fmt::format("{}:{}", address_host(control), settings_.machine.first_port);
    }
    bool acting() const { return owner_.acting() && scheduler_epoch_ == owner_.epoch(); }

    // --- who belongs to the core ---

    void found_identity() {
        std::vector<std::string> seeds = settings_.machine.seeds;
        std::sort(seeds.begin(), seeds.end());
        bool among = std::find(seeds.begin(), seeds.end(), settings_.machine.control) != seeds.end();
        std::random_device device;
        replica_.identity = Identity{(std::uint64_t(device()) << 32 | device()) | 1};
        // One without a disk that counts never founds and never votes: it answers under an identity that no core knows.
        if (!settings_.machine.first_start || !among || !settings_.machine.counted) return;
        Core core;
        core.next_number = 1;
        core.size_wanted = seeds.size();
        std::string all;
        for (const std::string& seed : seeds)
            all += seed + ";";
        std::uint64_t origin = XXH3_64bits(all.data(), all.size());
        for (const std::string& seed : seeds) {
            Member member{core.next_number++, Identity{XXH3_64bits_withSeed(seed.data(), seed.size(), origin) | 1},
                          replica_address(seed), seed};
            if (seed == settings_.machine.control) replica_.identity = member.identity;
            core.members.push_back(member);
        }
        founding_ = replica_.found("core", Register{Epoch{0}, Version{1}, {}, pack(core), {}});
    }
    void learn_core(Micros now) {
        if (founding_) {
            Change change = std::move(*founding_);
            founding_.reset();
            disk_.put(std::move(change), [] {});
        }
        auto found = replica_.registers.find("core");
        if (found == replica_.registers.end()) return;
        if (core_version_ && *core_version_ == std::pair(found->second.epoch, found->second.version)) return;
        auto core = unpack<Core>(found->second.moving);
        if (!core) return;
        core_version_ = std::pair(found->second.epoch, found->second.version);
        core_mark_ = found->second.version.value;
        std::optional<Identity> trusted;
        if (place_ && detector_.trusted() < core_.members.size()) trusted = core_.members[detector_.trusted()].identity;
        bool same = core_.members.size() == core->members.size();
        for (size_t place = 0; same && place < core->members.size(); ++place)
            same = core_.members[place].identity == core->members[place].identity;
        core_ = std::move(*core);
        place_ = core_.place_of(replica_.identity);
        if (same || !place_) return;
        size_t place = trusted ? core_.place_of(*trusted).value_or(0) : 0;
        detector_.reorder(*place_, core_.members.size(), place, now);
        log_line("control", "core of {}, place {}", core_.members.size(), *place_);
    }
    std::vector<std::string> seed_replicas() const {
        std::vector<std::string> addresses;
        for (const std::string& seed : settings_.machine.seeds)
            if (std::string address = replica_address(seed); address != own_address_) addresses.push_back(address);
        return addresses;
    }
    // One outside the core learns owner, core and configuration as fronts do, to pass calls and news on. So does a
    // member that nobody grants an epoch for long: it may have been let go while it was away, and then it asks to join
    // again.
    void follow_core(Micros now) {
        if (place_ && locator_) {
            auto [mark, peers] = locator_->peers();
            if (mark > core_mark_ && std::find(peers.begin(), peers.end(), own_address_) == peers.end()) {
                log_line("control", "is no member any more");
                place_.reset();
                owner_.give_up();
            }
        }
        bool ungranted = owner_.state() == Owner::State::preparing && now > next_takeover_ + seconds(2);
        if ((place_ && !ungranted) || locator_ || seed_replicas().empty()) return;
        locator_ = std::make_unique<Locator>(Locator::Settings{settings_.machine.node, seed_replicas()}, loop_, [this] {
            std::lock_guard guard(lock_);
            if (Epoch epoch = locator_->epoch(); epoch.value != 0) note_owner(epoch, locator_->owner());
            turn();
        });
        locator_->open();
    }
    // Only a daemon with a disk that counts asks to join: the owner first, else whoever may know it.
    void ask_to_join(Micros now) {
        if (place_ || now < next_join_ || leaving_ || !settings_.machine.counted) return;
        next_join_ = now + milliseconds(400);
        JoinAsk ask{replica_.identity, own_address_, settings_.machine.control, false};
        std::vector<std::string> addresses = seed_replicas();
        if (locator_)
            for (const std::string& peer : locator_->peers().second)
                addresses.push_back(peer);
        if (std::string owner = owner_address(); !owner.empty()) addresses.push_back(owner);
        std::sort(addresses.begin(), addresses.end());
        addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
        for (const std::string& address : addresses)
            if (address != own_address_)
                loop_.ask({.url = "http://" + address + "/inner/join", .body = pack(ask)}, nullptr);
    }
    void take_join(const JoinAsk& ask) {
        if (!acting()) {
            std::string owner = owner_address();
            if (!ask.relayed && !owner.empty() && owner != own_address_) {
                JoinAsk onward = ask;
                onward.relayed = true;
                loop_.ask({.url = "http://" + owner + "/inner/join", .body = pack(onward)}, nullptr);
            }
            return;
        }
        if (owner_.core().find(ask.identity)) return;
        auto [joiner, fresh] = joiners_.try_emplace(ask.identity);
        joiner->second = {Member{0, ask.identity, ask.address, ask.control}, steady_now()};
        if (!fresh) return;
        log_line("control", "{} asks to join as {:x}", ask.address, ask.identity.value);
        turn_wanted_ = true;
    }
    // The core changes by one member at a time, and only under an acting owner: it grows to every counted daemon there
    // is.
    void tend_core(Micros now) {
        for (auto joiner = joiners_.begin(); joiner != joiners_.end();) {
            bool joined = owner_.core().find(joiner->first) != nullptr;
            if (joined || now - joiner->second.heard_at > seconds(3)) {
                owner_.drop_learner(joiner->first);
                joiner = joiners_.erase(joiner);
                continue;
            }
            if (!owner_.has_learner(joiner->first)) {
                owner_.add_learner(joiner->second.member);
                turn_wanted_ = true;
            }
            ++joiner;
        }
        if (!owner_.membership_settled()) return;
        Core core = owner_.core();
        if (const Member* victim = lost_member(core, now)) {
            log_line("control", "member {} at {} leaves the core", victim->number, victim->address);
            std::uint64_t number = victim->number;
            std::erase_if(core.members, [&](const Member& member) { return member.number == number; });
            return change_core(core);
        }
        if (core.members.size() >= settings_.core_most) return;
        for (const auto& [identity, joiner] : joiners_) {
            if (!owner_.learner_ready(identity)) continue;
            Member member = joiner.member;
            member.number = core.next_number++;
            core.members.push_back(member);
            joined_at_ = now;
            log_line("control", "member {} at {} joins the core", member.number, member.address);
            return change_core(core);
        }
    }
    // A member whose disk is surely gone, or that was silent for too long while a majority of the rest is heard.
    const Member* lost_member(const Core& core, Micros now) const {
        Micros since = now - acting_since_;
        bool replaced = !joiners_.empty() || (joined_at_ != 0 && now - joined_at_ < settings_.replacing);
        Micros patience = replaced ? settings_.gone_after : settings_.given_up_after;
        for (const Member& member : core.members) {
            if (member.identity == replica_.identity) continue;
            bool same_place = std::any_of(joiners_.begin(), joiners_.end(), [&](const auto& each) {
                return each.second.member.address == member.address;
            });
            bool gone = same_place || (owner_.is_gone(member.identity) && since > milliseconds(500));
            bool silent = since > patience && !owner_.heard_since(member.identity, now - patience);
            if (!gone && !silent) continue;
            if (core.members.size() <= 3 && joiners_.empty()) continue;
            size_t heard = 0;
            for (const Member& other : core.members)
                heard += other.identity != member.identity &&
                         (other.identity == replica_.identity || owner_.heard_since(other.identity, now - seconds(1)));
            if (heard >= (core.members.size() - 1) / 2 + 1) return &member;
        }
        return nullptr;
    }
    void change_core(Core core) {
        core.size_wanted = core.members.size();
        owner_.set_core(core, pack(core), nullptr);
        turn_wanted_ = true;
    }

    // --- the turn: everything that follows from a change or from time ---

    void turn_by_timer() {
        std::lock_guard guard(lock_);
        timer_at_ = 0;
        turn();
    }
    void turn() {
        if (turning_) {
            turn_wanted_ = true;
            return;
        }
        turning_ = true;
        Micros begun_at = steady_now(), now = begun_at;
        for (int round = 0; round < 8; ++round) {
            turn_wanted_ = false;
            turn_once(now);
            now = steady_now();
            if (!turn_wanted_ || now - begun_at > settings_.turn_most) break;
        }
        // Those who wait are looked at once a turn, however many rounds it took.
        answer_sides(steady_now());
        answer_news(steady_now());
        turning_ = false;
        turn_ended_at_ = now;
        turn_took_ = now - begun_at;
        schedule(now);
    }
    // For what comes in: a turn now, unless the last one was so long ago that the next may gather more.
    void turn_soon() {
        if (turning_) {
            turn_wanted_ = true;
            return;
        }
        Micros now = steady_now();
        if (now - turn_ended_at_ >= std::min(turn_took_, settings_.rest_most)) return turn();
        turn_wanted_ = true;
        schedule(now);
    }
    // First what others wait for on time (beats, promises, writes), then planning, then what planning proposed.
    void turn_once(Micros now) {
        follow_core(now);
        learn_core(now);
        ask_to_join(now);
        if (place_ && !leaving_) elect(now);
        for (OutgoingMessage& message : owner_.messages_due(now))
            carry(std::move(message));
        if (acting()) {
            tend_core(now);
            Micros wall = judge_.wall(wall_now(), now);
            scheduler_.tick(now, wall, owner_.confirmed_at());
            Micros age = now - owner_.confirmed_at();
            log_snapshot(now);
            if (age > (scheduler_.anything_held() ? settings_.probe_busy : settings_.probe_idle) &&
                now - probed_at_ > milliseconds(150)) {
                probed_at_ = now;
                owner_.probe();
            }
        }
        for (OutgoingMessage& message : owner_.messages_due(now))
            carry(std::move(message));
        if (now - counted_at_ > settings_.count_every) {
            counted_at_ = now;
            std::string text = counters().changed_text();
            if (!text.empty()) log_line("counters", "{}", text);
            if (!text.empty() && acting()) log_line("gauges", "{}", scheduler_.gauges());
        }
    }
    void elect(Micros now) {
        bool stalled = disk_.stalled_for(now) > milliseconds(600);
        // A majority that grants its epoch shows that nobody else is to be caught up from.
        if (owner_.state() == Owner::State::transferring || owner_.acting()) catching_up_until_ = 0;
        bool catching_up = now < catching_up_until_;
        if (!detector_.trusts_itself() || core_.members.size() < 2 ||
            owner_.reaches_majority(now - settings_.alone_after / 2))
            majority_at_ = now;
        bool alone = now - majority_at_ > settings_.alone_after;
        bool too_slow = core_.members.size() > 1 && suspicion_.stands_back(now);
        detector_.set_silent(stalled || catching_up || alone || too_slow);
        size_t before = detector_.trusted();
        for (size_t place : detector_.tick(now))
            send_alive(place, false);
        if (before != detector_.trusted())
            log_line("detector", "trusts place {} after {}", detector_.trusted(), before);
        if (detector_.trusts_itself() && !stalled && !too_slow && owner_.state() == Owner::State::idle &&
            now >= next_takeover_) {
            next_takeover_ = now + milliseconds(150);
            owner_.take_over(core_, std::max(replica_.promised, highest_epoch_), replica_.registers);
        }
        if ((!detector_.trusts_itself() || stalled || too_slow || (alone && owner_.acting())) &&
            owner_.state() != Owner::State::idle) {
            log_line("control", "gives way, epoch {}", owner_.epoch().value);
            owner_.give_up();
        }
        if (owner_.superseded_by) {
            highest_epoch_ = std::max(highest_epoch_, *owner_.superseded_by);
            owner_.superseded_by.reset();
        }
        if (owner_.acting() && scheduler_epoch_ != owner_.epoch()) {
            scheduler_epoch_ = owner_.epoch();
            acting_since_ = now;
            joined_at_ = 0;
            log_line("control", "owner under epoch {}, {} registers", owner_.epoch().value, owner_.registers().size());
            scheduler_.begin(owner_.epoch(), owner_.registers(), now);
            if (!owner_.core().members.empty() && owner_.registers().count("core") == 0)
                owner_.set_core(owner_.core(), pack(owner_.core()), nullptr);
            note_owner(owner_.epoch(), own_address_);
        }
        if (!owner_.acting() && scheduler_epoch_.value != 0) {
            scheduler_epoch_ = Epoch{};
            scheduler_.end_ownership();
            joiners_.clear();
        }
    }
    void schedule(Micros now) {
        Micros next = now + milliseconds(200);
        if (place_) next = std::min(next, detector_.next(now));
        if (owner_.state() != Owner::State::idle)
            next = std::min(next, now + (owner_.acting() ? milliseconds(100) : settings_.owner.ask_again));
        if (acting()) next = std::min(next, scheduler_.next_tick(now, judge_.wall(wall_now(), now)));
        if (sides_asked_) next = std::min(next, sides_due_);
        if (auto due = owner_.next_message_at()) next = std::min(next, *due);
        if (turn_wanted_) next = std::min(next, turn_ended_at_ + std::min(turn_took_, settings_.rest_most));
        next = std::max(next, now + 500);
        if (timer_at_ != 0 && timer_at_ <= next + 500 && timer_at_ > now - milliseconds(50)) return;
        timer_at_ = next;
        loop_.after(next - now, [this, next] {
            std::lock_guard guard(lock_);
            if (timer_at_ != next) return;
            timer_at_ = 0;
            Micros fired_at = steady_now();
            if (suspicion_.fired(fired_at - next, owner_.acting() ? std::optional(acting_since_) : std::nullopt,
                                 fired_at))
                log_line("control", "is too slow to be owner, timers fire {} ms late", (fired_at - next) / 1000);
            lateness_ += (std::max<Micros>(0, steady_now() - next) - lateness_) / 8;
            turn();
        });
    }
    void send_alive(size_t place, bool leaving) {
        counters().add("alive_sent");
        loop_.ask({.url = "http://" + core_.members[place].address + "/inner/alive",
                   .body = pack(AliveNote{replica_.identity, leaving}),
                   .patience = milliseconds(500)},
                  nullptr);
    }
    void note_owner(Epoch epoch, const std::string& address) {
        highest_epoch_ = std::max(highest_epoch_, epoch);
        if (epoch < known_epoch_ || (epoch == known_epoch_ && address == known_owner_)) return;
        known_epoch_ = epoch;
        known_owner_ = address;
        turn_wanted_ = true;
    }
    std::string owner_address() const { return known_owner_; }

    // --- messages of the owner ---

    void carry(OutgoingMessage message) {
        std::uint64_t ticket = message.ticket;
        if (message.to.identity == replica_.identity) {
            // The disk's thread only brings the answer: taking it is the loop's work.
            auto take = [this, ticket](auto answer) {
                loop_.after(0, [this, ticket, answer = std::move(answer)] {
                    std::lock_guard guard(lock_);
                    owner_.take(ticket, &answer, steady_now());
                    turn();
                });
            };
            if (auto* prepare = std::get_if<PrepareAsk>(&message.ask))
                serve_prepare(*prepare, take);
            else
                serve_write(std::get<WriteAsk>(message.ask), take);
            return;
        }
        bool preparing = std::holds_alternative<PrepareAsk>(message.ask);
        std::string body = preparing ? pack(std::get<PrepareAsk>(message.ask)) : pack(std::get<WriteAsk>(message.ask));
        counters().add("errand_bytes", body.size());
        std::string address = message.to.address;
        loop_.ask({.url = "http://" + address + (preparing ? "/inner/prepare" : "/inner/write"),
                   .body = std::move(body),
                   .patience = settings_.write_patience},
                  [this, ticket, preparing, address](Answer answer) {
                      std::lock_guard guard(lock_);
                      Micros now = steady_now();
                      if (preparing) {
                          auto frame = answer.good() ? unpack<PrepareAnswer>(answer.body) : std::nullopt;
                          if (frame) judge_.note(address, frame->wall, now);
                          owner_.take(ticket, frame ? &*frame : nullptr, now);
                      } else {
                          auto frame = answer.good() ? unpack<WriteAnswer>(answer.body) : std::nullopt;
                          if (frame) judge_.note(address, frame->wall, now);
                          owner_.take(ticket, frame ? &*frame : nullptr, now);
                      }
                      if (preparing || !owner_.acting())
                          turn();
                      else
                          turn_soon();
                  });
    }
    template <class Told>
    void serve_prepare(const PrepareAsk& ask, Told told) {
        bool trusted = place_ && !leaving_ && core_.place_of(ask.from) == std::optional(detector_.trusted());
        auto [answer, change] = replica_.prepare(ask, trusted);
        if (answer.verdict == Verdict::granted && ask.from != replica_.identity && owner_.state() != Owner::State::idle)
            owner_.give_up();
        answer.wall = wall_now();
        disk_.put(std::move(change), [told, answer = std::move(answer)]() mutable { told(std::move(answer)); });
    }
    template <class Told>
    void serve_write(const WriteAsk& ask, Told told) {
        auto [answer, change] = replica_.write(ask);
        answer.wall = wall_now();
        if (answer.verdict == Verdict::granted) {
            learn_core(steady_now());
            const Member* from = core_.find(ask.from);
            if (from) note_owner(ask.epoch, from->address);
            if (ask.from != replica_.identity && ask.level)
                catching_up_until_ = 0;
            else if (ask.from != replica_.identity && catching_up_until_ != 0)
                catching_up_until_ = std::max(catching_up_until_, steady_now() + settings_.catching_up_most);
        }
        disk_.put(std::move(change), [told, answer = std::move(answer)]() mutable { told(std::move(answer)); });
    }

    // --- what comes in ---

    void take_inner(Request request) {
        auto refuse = [&] {
            counters().add("frames_refused");
            request.reply.send(Response::plain(400));
        };
        auto shared = std::make_shared<Reply>();
        if (request.path == "/inner/write") {
            auto ask = unpack<WriteAsk>(request.body);
            if (!ask) return refuse();
            *shared = std::move(request.reply);
            std::lock_guard guard(lock_);
            if (ask->to == replica_.identity || true)
                serve_write(*ask, [shared](WriteAnswer answer) { shared->send(Response::cbor(pack(answer))); });
            if (turn_wanted_) turn();
        } else if (request.path == "/inner/prepare") {
            auto ask = unpack<PrepareAsk>(request.body);
            if (!ask) return refuse();
            *shared = std::move(request.reply);
            std::lock_guard guard(lock_);
            serve_prepare(*ask, [shared](PrepareAnswer answer) { shared->send(Response::cbor(pack(answer))); });
            turn();
        } else if (request.path == "/inner/alive") {
            auto note = unpack<AliveNote>(request.body);
            if (!note) return refuse();
            {
                std::lock_guard guard(lock_);
                Micros now = steady_now();
                auto place = core_.place_of(note->from);
                size_t before = detector_.trusted();
                if (place && place_) {
                    if (note->leaving)
                        detector_.leaving(*place, now);
                    else
                        detector_.alive(*place, now);
                }
                if (before != detector_.trusted()) {
                    log_line("detector", "trusts place {} after {}", detector_.trusted(), before);
                    turn();
                }
            }
            request.reply.send(Response::plain(200));
        } else if (request.path == "/inner/join") {
            auto ask = unpack<JoinAsk>(request.body);
            if (!ask) return refuse();
            request.reply.send(Response::cbor(pack(JoinAnswer{true})));
            std::lock_guard guard(lock_);
            take_join(*ask);
            if (turn_wanted_) turn();
        } else if (request.path == "/inner/news") {
            auto ask = unpack<NewsAsk>(request.body);
            if (!ask) return refuse();
            std::lock_guard guard(lock_);
            Micros now = steady_now();
            news_.push_back({std::move(request.reply), *ask, now + std::min(ask->wait, seconds(30))});
            news_due_ = 0;
            answer_news(now);
        } else if (request.path == "/inner/call") {
            auto ask = unpack<CallAsk>(request.body);
            if (!ask) return refuse();
            *shared = std::move(request.reply);
            std::lock_guard guard(lock_);
            serve_call(*ask, [shared](CallAnswer answer) { shared->send(Response::cbor(pack(answer))); });
            turn_soon();
        } else if (request.path == "/inner/side") {
            auto ask = unpack<SideAsk>(request.body);
            if (!ask) return refuse();
            std::lock_guard guard(lock_);
            serve_side(std::move(*ask), std::move(request.reply));
            turn_soon();
        } else if (request.path == preview_path) {
            request.reply.send(answer_preview(request.method));
        } else {
            request.reply.send(Response::plain(404));
        }
    }
    // Reads only: no turn follows, nothing is proposed, no worker is looked at.
    SnapshotMoment snapshot_moment() {
        Micros now = steady_now();
        return {owner_.epoch().value, now, judge_.wall(wall_now(), now), owner_.confirmed_at()};
    }
    Response answer_preview(const std::string& method) {
        PreviewReads::Taken taken;
        {
            std::lock_guard guard(lock_);
            std::string owner = owner_address();
            taken = preview_reads_.take(method, {acting(), owner == own_address_ ? std::string() : owner},
                                        RecordView(scheduler_), snapshot_moment());
        }
        return preview_reads_.answer(std::move(taken));
    }
    void log_snapshot(Micros now) {
        if (settings_.snapshot_lines == 0 || now < next_snapshot_line_) return;
        next_snapshot_line_ = now + settings_.snapshot_lines;
        auto snapshot = snapshot_of(RecordView(std::as_const(scheduler_)), snapshot_moment(), settings_.snapshot);
        if (!snapshot) return;
        for (const std::string& line : snapshot_lines(pack_snapshot(*snapshot), snapshot->wall))
            log_line("snapshot", "{}", line);
    }
    // Calls of operators, by the table: PUT /config, GET /config.
    void take_control(Request request) {
        if (request.path != "/config" || (request.method != "PUT" && request.method != "GET")) {
            request.reply.send(Response::plain(request.path == "/config" ? 405 : 404));
            return;
        }
        auto shared = std::make_shared<Reply>(std::move(request.reply));
        CallAsk ask{request.method, {}, "/config", std::move(request.body), request.if_match, false};
        bool reads = ask.method == "GET";
        std::lock_guard guard(lock_);
        serve_call(ask, [shared, reads](CallAnswer answer) {
            if (answer.fate == CallFate::settled) {
                Response response;
                response.code = int(answer.code);
                response.body = std::move(answer.body);
                response.form = response.body.empty() ? Response::Form::none : Response::Form::json;
                response.retry_after_s = int(answer.retry_after_s);
                shared->send(response);
            } else {
                shared->send(Response::later(answer.fate == CallFate::doubtful && !reads ? 504 : 503, 1));
            }
        });
        turn();
    }
    template <class Told>
    void serve_call(const CallAsk& ask, Told told) {
        auto done = [told](CallFate fate, Response response) {
            told(CallAnswer{fate, response.code, std::move(response.body), response.retry_after_s});
        };
        if (acting()) {
            Micros now = steady_now();
            if (ask.path == "/config" && ask.host.empty()) {
                if (ask.method == "PUT")
                    scheduler_.put_config(ask, done);
                else
                    scheduler_.get_config(done);
            } else {
                scheduler_.call(ask, now, judge_.wall(wall_now(), now), done);
            }
            return;
        }
        std::string owner = owner_address();
        if (ask.relayed || owner.empty() || owner == own_address_) {
            counters().add("calls_elsewhere");
            return told(CallAnswer{CallFate::elsewhere, 503, {}, 1});
        }
        CallAsk onward = ask;
        onward.relayed = true;
        counters().add("calls_relayed");
        loop_.ask(
            {.url = "http://" + owner + "/inner/call", .body = pack(onward), .patience = milliseconds(900)},
            [told](Answer answer) {
                auto frame = answer.good() ? unpack<CallAnswer>(answer.body) : std::nullopt;
                if (frame)
                    told(std::move(*frame));
                else
                    told(CallAnswer{
                        answer.fate == Answer::Fate::refused ? CallFate::elsewhere : CallFate::doubtful, 503, {}, 1});
            });
    }
    void serve_side(SideAsk ask, Reply reply) {
        Micros now = steady_now();
        if (!acting()) {
            std::string owner = owner_address();
            if (ask.relayed || owner.empty() || owner == own_address_)
                return reply.send(Response::cbor(pack(SideAnswer{})));
            ask.relayed = true;
            auto shared = std::make_shared<Reply>(std::move(reply));
            loop_.ask({.url = "http://" + owner + "/inner/side",
                       .body = pack(ask),
                       .patience = settings_.side_wait + milliseconds(600)},
                      [shared](Answer answer) {
                          shared->send(answer.good() ? Response::cbor(std::move(answer.body))
                                                     : Response::cbor(pack(SideAnswer{})));
                      });
            return;
        }
        if (!complete_account(ask)) {
            SideAnswer answer;
            answer.served = answer.whole = true;
            answer.epoch = owner_.epoch();
            counters().add("accounts_unknown");
            return reply.send(Response::cbor(pack(answer)));
        }
        scheduler_.take_side(ask, now, judge_.wall(wall_now(), now));
        // An older ask of the same side is answered at once: only the newest waits.
        for (SideWait& wait : sides_)
            if (wait.node == ask.node) wait.until = 0, wait.superseded = true;
        std::uint64_t told = ask.epoch == owner_.epoch() ? ask.seen : 0;
        sides_.push_back({std::move(reply), ask.node, ask.epoch, ask.epoch == owner_.epoch() ? ask.taken : 0, told,
                          now + settings_.side_wait});
    }
    // Fills in the account that the ask's mark means; false when it is not known here.
    bool complete_account(SideAsk& ask) {
        if (ask.account_mark == 0) return true;
        if (ask.worker) {
            if (accounts_.size() > 4096) accounts_.clear();
            accounts_[ask.node] = {ask.incarnation, ask.account_mark, *ask.worker};
            return true;
        }
        auto known = accounts_.find(ask.node);
        if (known == accounts_.end() || known->second.incarnation != ask.incarnation ||
            known->second.mark != ask.account_mark)
            return false;
        ask.worker = known->second.account;
        ask.worker->leaves_in = ask.leaves_in;
        return true;
    }
    // Sides are answered at once by an owner in time; where they keep a pause, what comes within an eighth of it goes
    // together.
    void answer_sides(Micros now) {
        sides_asked_ = now < sides_due_ && acting();
        if (sides_asked_) return;
        Micros pause = ask_pause(settings_.pace, lateness_);
        sides_due_ = now + std::min(pause / 8, milliseconds(10));
        for (auto wait = sides_.begin(); wait != sides_.end();) {
            if (acting() && now < wait->until &&
                !scheduler_.has_news(wait->node, wait->epoch, wait->taken, wait->seen_told)) {
                ++wait;
                continue;
            }
            if (acting()) {
                SideAnswer answer = scheduler_.answer_side(wait->node, owner_.confirmed_at(), now);
                if (wait->superseded) answer.orders.clear();
                answer.gather_specs();
                answer.pause = pause;
                counters().add("sides_answered");
                if (pause > 0) counters().add("pauses_told");
                wait->reply.send(Response::cbor(pack(answer)));
            } else {
                wait->reply.send(Response::cbor(pack(SideAnswer{})));
            }
            wait = sides_.erase(wait);
        }
    }
    void answer_news(Micros now) {
        std::uint64_t revision = 0;
        const std::string* config = nullptr;
        auto found = replica_.registers.find("published");
        if (found != replica_.registers.end() && !found->second.moving.empty()) {
            if (found->second.version != config_version_ || found->second.epoch != config_epoch_) {
                config_version_ = found->second.version;
                config_epoch_ = found->second.epoch;
                Findings findings;
                config_revision_ = parse_config(found->second.moving, findings).revision;
            }
            revision = config_revision_;
            config = &found->second.moving;
        }
        std::string followed;
        if (locator_ && !place_ && locator_->revision() > revision) {
            revision = locator_->revision();
            followed = locator_->config();
            config = &followed;
        }
        if (locator_ && !place_) {
            auto [mark, peers] = locator_->peers();
            if (mark > core_mark_) core_mark_ = mark, followed_core_ = std::move(peers);
        }
        // Without news nobody is looked at before the first wait is over.
        std::tuple told(known_epoch_, revision, core_mark_);
        if (told == news_told_ && now < news_due_) return;
        news_told_ = told;
        news_due_ = std::numeric_limits<Micros>::max();
        for (auto wait = news_.begin(); wait != news_.end();) {
            bool newer = known_epoch_ > wait->ask.epoch || revision > wait->ask.config_revision ||
                         core_mark_ > wait->ask.core_mark;
            if (!newer && now < wait->until) {
                news_due_ = std::min(news_due_, wait->until);
                ++wait;
                continue;
            }
            NewsAnswer answer{revision, {}, known_epoch_, known_owner_, core_mark_, {}};
            if (config && revision > wait->ask.config_revision) answer.config = *config;
            if (place_)
                for (const Member& member : core_.members)
                    answer.peers.push_back(member.address);
            else
                answer.peers = followed_core_;
            wait->reply.send(Response::cbor(pack(answer)));
            wait = news_.erase(wait);
        }
    }
    void answer_all_waiting() {
        for (SideWait& wait : sides_)
            wait.reply.send(Response::cbor(pack(SideAnswer{})));
        sides_.clear();
        for (NewsWait& wait : news_)
            wait.until = 0;
        news_due_ = 0;
        answer_news(steady_now());
    }

    ControlSettings settings_;
    Loop& loop_;
    std::recursive_mutex lock_;
    Replica replica_;
    Disk disk_;
    Detector detector_;
    Owner owner_;
    LedgerAdapter ledger_;
    Scheduler<LedgerAdapter> scheduler_;
    SelfSuspicion suspicion_;
    PreviewReads preview_reads_;
    Micros next_snapshot_line_ = 0;
    ClockJudge judge_;
    std::unique_ptr<Listener> inner_, control_;
    std::string own_address_;
    Core core_;
    std::optional<std::pair<Epoch, Version>> core_version_;
    std::uint64_t core_mark_ = 0;
    std::optional<size_t> place_;
    std::optional<Change> founding_;
    struct Joiner {
        Member member;
        Micros heard_at = 0;
    };
    std::map<Identity, Joiner> joiners_;
    Micros joined_at_ = 0, next_join_ = 0;
    std::unique_ptr<Locator> locator_;  // while outside the core
    std::vector<std::string> followed_core_;
    Micros turn_ended_at_ = 0, turn_took_ = 0;
    bool leaving_ = false, turning_ = false, turn_wanted_ = false;
    Micros catching_up_until_ = 0, majority_at_ = 0, acting_since_ = 0, next_takeover_ = 0, probed_at_ = 0,
           counted_at_ = 0, timer_at_ = 0;
    Epoch scheduler_epoch_, highest_epoch_, known_epoch_;
    std::string known_owner_;
    Version config_version_;
    Epoch config_epoch_;
    std::uint64_t config_revision_ = 0;
    std::list<SideWait> sides_;
    std::list<NewsWait> news_;
    std::unordered_map<std::string, SideAccount> accounts_;  // by node
    Micros sides_due_ = 0;
    bool sides_asked_ = false;  // sides are to be answered when that time comes
    Micros lateness_ = 0;       // of the turns by timer, smoothed
    Micros news_due_ = 0;
    std::tuple<Epoch, std::uint64_t, std::uint64_t> news_told_;
};

}  // namespace calicostall
