// The election: the detector, its heartbeats, and what follows from its trust.
#include "control/daemon/control.hpp"

namespace calicostall {

namespace {

constexpr Micros heartbeat_timeout = milliseconds(500);

}  // namespace

bool Control::acting() const {
    return owner_.acting() && scheduler_epoch_ == owner_.epoch();
}

bool Control::serving() const {
    return acting() && election_.may_serve() && core_clock_.known();
}

void Control::run_election(Micros now) {
    const size_t trusted_before = detector_.trusted();
    const bool too_slow = core_.members.size() > 1 && suspicion_.stands_back_for_another(now, owner_heard_at_);
    const bool was_acting = owner_.acting();
    const ElectionStep step = election_.step({core_, disk_.stalled_for(now), too_slow, now, &known_core_.value()});
    log_election(step, trusted_before);
    for (size_t place : step.heartbeats)
        send_heartbeat(place, false);
    if (step.gave_up && was_acting) departure_.note_handed_over();
    if (owner_.acting() && scheduler_epoch_ != owner_.epoch()) begin_ownership(now);
    if (!owner_.acting() && scheduler_epoch_.value != 0) end_ownership();
}

void Control::log_election(const ElectionStep& step, size_t trusted_before) const {
    if (step.froze) log_line("control", "stood still, is silent until it is level again");
    if (trusted_before != detector_.trusted())
        log_line("detector", "trusts place {} after {}", detector_.trusted(), trusted_before);
    if (step.drains) log_line("control", "hands over, epoch {}", step.drains->value);
    if (step.gave_up)
        log_line("control", "gives way, epoch {}, {} ms after beginning to hand over", step.gave_up->value,
                 step.drained_for / 1000);
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
    election_.note_term(epoch);
    if (epoch < known_epoch_ || (epoch == known_epoch_ && address == known_owner_)) return;
    known_epoch_ = epoch;
    known_owner_ = address;
    turn_requested_ = true;
}

void Control::judge_time(Micros now) {
    if (owner_.state() != Owner::State::transferring && !owner_.acting()) return;
    for (const ClockNotice& notice : core_clock_.update(owner_.core(), replica_.identity, wall_now(), now)) {
        const Member* member = owner_.core().find(notice.member);
        const std::string address = member ? member->address : "";
        switch (notice.kind) {
            case ClockNotice::Kind::out:
                counters().add("clocks_out");
                log_line("clock", "of {} is out by {} ms", address, notice.by / 1000);
                break;
            case ClockNotice::Kind::back:
                log_line("clock", "of {} is right again, by {} ms", address, notice.by / 1000);
                break;
            case ClockNotice::Kind::leapt:
                counters().add("time_leaps");
                log_line("clock", "the judged time leaps by {} ms, as a majority has said all along", notice.by / 1000);
                break;
            case ClockNotice::Kind::recalled:
                counters().add("time_recalled");
                log_line("clock", "the judged time leaps by {} ms to an earlier owner's", notice.by / 1000);
                break;
        }
    }
}

std::optional<std::string> Control::other_owner_address() const {
    if (known_owner_.empty() || known_owner_ == own_address_) return std::nullopt;
    return known_owner_;
}

}  // namespace calicostall
