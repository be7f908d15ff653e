// The election: the detector, its heartbeats, and what follows from which member it trusts.
#include "control/daemon/control_daemon.hpp"

namespace calicostall {

namespace {

constexpr Micros heartbeat_timeout = milliseconds(500);

}  // namespace

void ControlDaemon::run_election(Micros now) {
    const Membership& membership = membership_.membership();
    const size_t trusted_before = detector_.trusted_rank();
    const bool is_too_slow =
        membership.members.size() > 1 && suspicion_.is_yielding_to_another(now, leadership_.last_leader_write_at());
    const bool was_leading = leader_.leading();
    const ElectionStep step =
        election_.step({membership, disk_.stalled_for(now), is_too_slow, now, &membership_.membership_register()});
    log_election(step, trusted_before);
    for (size_t rank : step.heartbeat_ranks)
        send_heartbeat(rank, false);
    if (step.stepped_down && was_leading) graceful_shutdown_.on_leadership_transferred();
    if (leadership_.must_begin()) begin_leadership(now);
    if (leadership_.must_end()) end_leadership();
}

void ControlDaemon::log_election(const ElectionStep& step, size_t trusted_before) const {
    if (step.was_suspended) log_line("control", "process suspension detected, silent until caught up");
    log_trusted_rank(trusted_before);
    if (step.drain_started) log_line("control", "leadership transfer started term={}", step.drain_started->value);
    if (step.stepped_down)
        log_line("control", "leadership released term={} transfer_ms={}", step.stepped_down->value,
                 step.drained_for / 1000);
}

void ControlDaemon::log_trusted_rank(size_t trusted_before) const {
    if (trusted_before == detector_.trusted_rank()) return;
    log_line("detector", "trusted member changed rank={} previous_rank={}", detector_.trusted_rank(), trusted_before);
}

void ControlDaemon::on_heartbeat(const LeaderHeartbeat& heartbeat, Micros now) {
    const std::optional<size_t> rank = membership_.membership().rank_of(heartbeat.sender);
    if (!rank || !membership_.is_member()) return;
    const size_t trusted_before = detector_.trusted_rank();
    if (heartbeat.is_shutting_down)
        detector_.on_shutdown(*rank, now);
    else
        detector_.on_heartbeat(*rank, now);
    if (trusted_before == detector_.trusted_rank()) return;
    log_trusted_rank(trusted_before);
    iterations_.run();
}

void ControlDaemon::send_heartbeat(size_t rank, bool is_shutting_down) {
    counters().add("alive_sent");
    loop_.send({.url = "http://" + membership_.membership().members[rank].address + "/inner/alive",
                .body = encode(LeaderHeartbeat{replica_.replica_id, is_shutting_down}),
                .timeout = heartbeat_timeout},
               nullptr);
}

void ControlDaemon::begin_leadership(Micros now) {
    leadership_.begin(now);
    membership_manager_->begin_term(now);
    log_line("control", "leadership began term={} registers={}", leader_.term().value, leader_.registers().size());
    scheduler_.begin_leadership(leader_.term(), leader_.registers(), now);
    begin_directory(now);
    const Membership& membership = leader_.membership();
    if (!membership.members.empty() && !leader_.registers().contains("core"))
        leader_.change_membership(membership, encode(membership), nullptr);
    update_known_leader(leader_.term(), leadership_.own_address());
}

void ControlDaemon::end_leadership() {
    leadership_.end();
    scheduler_.end_leadership();
    membership_manager_->end_term();
    directory_.end_term();
}

void ControlDaemon::update_known_leader(Term term, const std::string& address) {
    if (leadership_.update_known_leader(term, address)) iterations_.mark_requested();
}

void ControlDaemon::agree_on_time(Micros now) {
    if (leader_.state() != Leader::State::synchronizing && !leader_.leading()) return;
    for (const ClockEvent& event :
         quorum_clock_.update(leader_.membership(), replica_.replica_id, wall_clock_now(), now))
        log_clock_event(event);
}

void ControlDaemon::log_clock_event(const ClockEvent& event) const {
    const Member* member = leader_.membership().find(event.member);
    const std::string address = member ? member->address : "";
    const Micros offset_ms = event.offset / 1000;
    switch (event.kind) {
        case ClockEvent::Kind::skewed:
            counters().add("clocks_out");
            log_line("clock", "clock skew detected address={} offset_ms={}", address, offset_ms);
            break;
        case ClockEvent::Kind::recovered:
            log_line("clock", "clock skew ended address={} offset_ms={}", address, offset_ms);
            break;
        case ClockEvent::Kind::stepped:
            counters().add("time_leaps");
            log_line("clock", "agreed time stepped cause=majority offset_ms={}", offset_ms);
            break;
        case ClockEvent::Kind::recalled:
            counters().add("time_recalled");
            log_line("clock", "agreed time stepped cause=earlier_leader offset_ms={}", offset_ms);
            break;
    }
}

}  // namespace calicostall
