// The election: the detector, its heartbeats, and what follows from its trust.
#include "control/daemon/control.hpp"

namespace calicostall {

namespace {

constexpr Micros heartbeat_timeout = milliseconds(500);

}  // namespace

bool Control::acting() const {
    return owner_.acting() && scheduler_epoch_ == owner_.epoch();
}

void Control::run_election(Micros now) {
    const bool stalled = disk_.stalled_for(now) > settings_.disk_stall_timeout;
    // A majority that grants its epoch shows that nobody else is to be caught up from.
    if (owner_.state() == Owner::State::transferring || owner_.acting()) catching_up_until_ = 0;
    const bool catching_up = now < catching_up_until_;
    if (!detector_.trusts_itself() || core_.members.size() < 2 ||
        owner_.reaches_majority(now - settings_.isolation_timeout / 2))
        majority_at_ = now;
    const bool isolated = now - majority_at_ > settings_.isolation_timeout;
    const bool too_slow = core_.members.size() > 1 && suspicion_.stands_back(now);
    detector_.set_silent(stalled || catching_up || isolated || too_slow);
    send_heartbeats(now);

    const bool unfit = stalled || too_slow;
    const bool idle = owner_.state() == Owner::State::idle;
    if (detector_.trusts_itself() && !unfit && idle && now >= next_takeover_) {
        next_takeover_ = now + settings_.takeover_interval;
        owner_.take_over(core_, std::max(replica_.promised, highest_epoch_), replica_.registers);
    }
    const bool gives_way = !detector_.trusts_itself() || unfit || (isolated && owner_.acting());
    if (gives_way && owner_.state() != Owner::State::idle) {
        log_line("control", "gives way, epoch {}", owner_.epoch().value);
        owner_.give_up();
    }
    if (owner_.superseded_by) {
        highest_epoch_ = std::max(highest_epoch_, *owner_.superseded_by);
        owner_.superseded_by.reset();
    }
    if (owner_.acting() && scheduler_epoch_ != owner_.epoch()) begin_ownership(now);
    if (!owner_.acting() && scheduler_epoch_.value != 0) end_ownership();
}

void Control::send_heartbeats(Micros now) {
    const size_t before = detector_.trusted();
    for (size_t place : detector_.tick(now))
        send_heartbeat(place, false);
    if (before != detector_.trusted()) log_line("detector", "trusts place {} after {}", detector_.trusted(), before);
}

void Control::handle_heartbeat(const AliveNote& note, Micros now) {
    auto place = core_.place_of(note.from);
    if (!place || !place_) return;
    const size_t before = detector_.trusted();
    if (note.leaving)
        detector_.leaving(*place, now);
    else
        detector_.alive(*place, now);
    if (before == detector_.trusted()) return;
    log_line("detector", "trusts place {} after {}", detector_.trusted(), before);
    turn();
}

void Control::send_heartbeat(size_t place, bool leaving) {
    counters().add("alive_sent");
    loop_.ask({.url = "http://" + core_.members[place].address + "/inner/alive",
               .body = pack(AliveNote{replica_.identity, leaving}),
               .patience = heartbeat_timeout},
              nullptr);
}

void Control::begin_ownership(Micros now) {
    scheduler_epoch_ = owner_.epoch();
    acting_since_ = now;
    core_keeper_->begin_term(now);
    log_line("control", "owner under epoch {}, {} registers", owner_.epoch().value, owner_.registers().size());
    scheduler_.begin(owner_.epoch(), owner_.registers(), now);
    if (!owner_.core().members.empty() && owner_.registers().count("core") == 0)
        owner_.set_core(owner_.core(), pack(owner_.core()), nullptr);
    note_owner(owner_.epoch(), own_address_);
}

void Control::end_ownership() {
    scheduler_epoch_ = Epoch{};
    scheduler_.end_ownership();
    core_keeper_->end_term();
}

void Control::note_owner(Epoch epoch, const std::string& address) {
    highest_epoch_ = std::max(highest_epoch_, epoch);
    if (epoch < known_epoch_ || (epoch == known_epoch_ && address == known_owner_)) return;
    known_epoch_ = epoch;
    known_owner_ = address;
    turn_requested_ = true;
}

std::optional<std::string> Control::other_owner_address() const {
    if (known_owner_.empty() || known_owner_ == own_address_) return std::nullopt;
    return known_owner_;
}

}  // namespace calicostall
