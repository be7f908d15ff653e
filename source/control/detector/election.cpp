#include "control/detector/election.hpp"

namespace calicostall {

GracefulShutdownResponse answer_graceful_shutdown(const Leader& leader, const GracefulShutdownRequest& request) {
    const bool is_known = request.sequence > 0 && request.term == leader.term();
    const std::uint64_t sequence = is_known ? request.sequence : leader.last_sequence();
    return {is_known && leader.is_replicated_without(request.replica_id, sequence), leader.term(), sequence};
}

Election::Election(ElectionSettings settings, Detector& detector, Leader& leader, const Replica& replica)
    : settings_(settings), detector_(detector), leader_(leader), replica_(replica) {}

void Election::start(bool is_bootstrapping, Micros now) {
    last_majority_at_ = now;
    last_step_at_ = now;
    if (!is_bootstrapping) begin_catching_up(now);
}

void Election::begin_membership(Micros now) {
    last_majority_at_ = now;
    last_step_at_ = now;
}

ElectionStep Election::step(const ElectionInput& input) {
    const Micros now = input.now;
    ElectionStep step;
    // Before anything else: a process that was suspended must not send a heartbeat on waking.
    step.was_suspended = record_activity(now);
    handle_preemption(now);
    end_catching_up_when_granted();
    const bool is_isolated_now = is_isolated(input);
    if (is_isolated_now) begin_catching_up(now);
    detector_.set_silent(is_unfit(input) || is_isolated_now || is_catching_up(now));
    step.heartbeat_ranks = detector_.tick(now);
    seek_leadership(input);
    keep_or_step_down(input, is_isolated_now, step);
    handle_preemption(now);
    return step;
}

bool Election::record_activity(Micros now) {
    const bool was_suspended = last_step_at_ && now - *last_step_at_ > settings_.suspension_threshold;
    last_step_at_ = now;
    if (!was_suspended) return false;
    // Responses could not arrive meanwhile: whether a majority is reached is yet to be seen.
    last_majority_at_ = now;
    begin_catching_up(now);
    return true;
}

void Election::begin_catching_up(Micros now) {
    catching_up_until_ = now + settings_.catch_up_timeout;
    doubt_since_ = now;
    if (!leader_.leading()) return;
    term_in_doubt_ = true;
    leader_.request_confirmation();
}

// A majority that grants a term asked for since then, or confirms one, shows that there is no other leader to
// catch up with.
void Election::end_catching_up_when_granted() {
    const bool is_term_newer = election_started_at_ >= doubt_since_;
    const bool is_granted = leader_.state() == Leader::State::synchronizing && is_term_newer;
    const bool is_confirmed = leader_.leading() && (is_term_newer || leader_.confirmed_at() >= doubt_since_);
    if (!is_granted && !is_confirmed) return;
    catching_up_until_ = 0;
    term_in_doubt_ = false;
}

bool Election::is_isolated(const ElectionInput& input) {
    const bool is_single_member = input.membership.members.size() < 2;
    const Micros recently = input.now - settings_.isolation_timeout / 2;
    if (!detector_.trusts_itself() || is_single_member || leader_.is_majority_responsive(recently))
        last_majority_at_ = input.now;
    return input.now - last_majority_at_ > settings_.isolation_timeout;
}

bool Election::is_unfit(const ElectionInput& input) const {
    return input.is_too_slow || input.disk_stalled_for > settings_.disk_stall_timeout;
}

void Election::seek_leadership(const ElectionInput& input) {
    const bool has_caught_up = was_catching_up_ && !is_catching_up(input.now);
    was_catching_up_ = is_catching_up(input.now);
    if (!detector_.trusts_itself() || is_unfit(input) || is_shutting_down()) return;
    const bool is_idle = leader_.state() == Leader::State::idle && input.now >= next_election_at_;
    // An election that was started while catching up did not know whom to let finish, and one that was started with an
    // earlier membership asks the wrong members.
    const bool is_preparing = leader_.state() == Leader::State::preparing;
    const bool is_ill_informed = has_caught_up && current_leader(input.membership);
    // Compared only while it matters: the register is copied, and a leader makes a step in each iteration.
    const bool is_outdated = is_preparing && input.membership_register &&
                             input.membership_register->is_newer_than(leader_.membership_register());
    if (is_idle || (is_preparing && is_ill_informed) || is_outdated) start_election(input);
}

void Election::start_election(const ElectionInput& input) {
    next_election_at_ = input.now + settings_.election_interval;
    election_started_at_ = input.now;
    const Term highest_term_seen = std::max(replica_.promised_term, highest_term_);
    leader_.start_election(input.membership, highest_term_seen, replica_.registers, current_leader(input.membership),
                           input.membership_register ? *input.membership_register : Register{});
}

std::optional<ReplicaId> Election::current_leader(const Membership& membership) const {
    if (last_leader_.term.value == 0 || last_leader_.replica_id == replica_.replica_id) return std::nullopt;
    const std::optional<size_t> own_rank = membership.rank_of(replica_.replica_id);
    const std::optional<size_t> other_rank = membership.rank_of(last_leader_.replica_id);
    if (!own_rank || !other_rank || *other_rank < *own_rank) return std::nullopt;
    return last_leader_.replica_id;
}

void Election::keep_or_step_down(const ElectionInput& input, bool is_isolated_now, ElectionStep& step) {
    if (leader_.state() == Leader::State::idle) return;
    const bool is_disk_stalled = input.disk_stalled_for > settings_.disk_stall_timeout;
    const bool keeps_leadership = detector_.trusts_itself() && !is_unfit(input) && !is_shutting_down();
    if (!leader_.leading()) {
        if (!keeps_leadership) step_down(step, input.now);
        return;
    }
    // Without a majority or a disk nothing can be committed any more.
    if (is_isolated_now || is_disk_stalled) return step_down(step, input.now);
    if (!keeps_leadership) return transfer_leadership(input, step);
    leader_.cancel_drain();
}

void Election::transfer_leadership(const ElectionInput& input, ElectionStep& step) {
    if (!leader_.is_draining()) {
        leader_.begin_drain();
        drain_started_at_ = input.now;
        step.drain_started = leader_.term();
    }
    const Micros deadline = is_shutting_down() ? *shutdown_deadline_ : drain_started_at_ + settings_.drain_timeout;
    if (is_transfer_complete(input.membership) || input.now >= deadline) step_down(step, input.now);
}

bool Election::is_transfer_complete(const Membership& membership) const {
    if (!leader_.is_drained()) return false;
    if (is_shutting_down()) return leader_.is_caught_up_without(replica_.replica_id);
    if (detector_.trusts_itself() || detector_.trusted_rank() >= membership.members.size()) return true;
    return leader_.is_caught_up(membership.members[detector_.trusted_rank()].replica_id);
}

void Election::step_down(ElectionStep& step, Micros now) {
    step.stepped_down = leader_.term();
    step.drained_for = leader_.is_draining() ? now - drain_started_at_ : 0;
    term_in_doubt_ = false;
    leader_.step_down();
}

// A leader whose term was preempted has a successor that may have gone on without it. A candidate tries again above
// that term.
void Election::handle_preemption(Micros now) {
    if (leader_.leading()) last_leader_ = {leader_.term(), replica_.replica_id};
    if (leader_.leading() || leader_.state() == Leader::State::synchronizing) led_term_ = leader_.term();
    if (!leader_.higher_term_seen) return;
    const bool was_leader = led_term_ == leader_.term();
    record_term(*leader_.higher_term_seen);
    leader_.higher_term_seen.reset();
    term_in_doubt_ = false;
    if (was_leader) begin_catching_up(now);
}

void Election::on_write_granted(const WriteRequest& request, Micros now) {
    record_term(request.term);
    if (request.from == replica_.replica_id) return;
    if (request.term >= last_leader_.term) last_leader_ = {request.term, request.from};
    if (leader_.state() != Leader::State::idle && leader_.term() < request.term) leader_.step_down();
    if (request.is_caught_up)
        catching_up_until_ = 0;
    else if (catching_up_until_ != 0 || detector_.trusts_itself())
        catching_up_until_ = std::max(catching_up_until_, now + settings_.catch_up_timeout);
}

bool Election::can_serve() const {
    return leader_.leading() && !leader_.is_draining() && !term_in_doubt_;
}

bool Election::can_grant(ReplicaId candidate, const Membership& membership) const {
    // What a leader has in flight is committed before its successor gets a term.
    if (leader_.is_draining()) return false;
    return membership.rank_of(candidate) == std::optional(detector_.trusted_rank());
}

void Election::begin_shutdown(Micros now) {
    shutdown_deadline_ = now + settings_.shutdown_timeout;
}

}  // namespace calicostall
