#include "control/detector/election.hpp"

namespace calicostall {

LeaveAnswer answer_leave(const Owner& owner, const LeaveAsk& ask) {
    const bool known = ask.sequence > 0 && ask.epoch == owner.epoch();
    const std::uint64_t sequence = known ? ask.sequence : owner.last_sequence();
    return {known && owner.held_without(ask.identity, sequence), owner.epoch(), sequence};
}

Election::Election(ElectionSettings settings, Detector& detector, Owner& owner, const Replica& replica)
    : settings_(settings), detector_(detector), owner_(owner), replica_(replica) {}

void Election::start(bool founding, Micros now) {
    majority_at_ = now;
    last_step_at_ = now;
    if (!founding) begin_catching_up(now);
}

void Election::begin_membership(Micros now) {
    majority_at_ = now;
    last_step_at_ = now;
}

ElectionStep Election::step(const ElectionInput& input) {
    const Micros now = input.now;
    ElectionStep step;
    // Before anything else: a daemon that froze must not send a heartbeat on waking.
    step.froze = note_activity(now);
    note_superseded(now);
    end_catching_up_when_granted();
    const bool isolated = is_isolated(input);
    if (isolated) begin_catching_up(now);
    detector_.set_silent(is_unfit(input) || isolated || catching_up(now));
    step.heartbeats = detector_.tick(now);
    seek_ownership(input);
    keep_or_give_up(input, isolated, step);
    note_superseded(now);
    return step;
}

bool Election::note_activity(Micros now) {
    const bool froze = last_step_at_ && now - *last_step_at_ > settings_.freeze_after;
    last_step_at_ = now;
    if (!froze) return false;
    // Answers could not be taken meanwhile: whether a majority is reached is yet to be seen.
    majority_at_ = now;
    begin_catching_up(now);
    return true;
}

void Election::begin_catching_up(Micros now) {
    catching_up_until_ = now + settings_.catch_up_timeout;
    doubt_since_ = now;
    if (!owner_.acting()) return;
    term_in_doubt_ = true;
    owner_.probe();
}

// A majority that grants a term asked for since then, or confirms one, shows that no other owner is to be caught up
// with.
void Election::end_catching_up_when_granted() {
    const bool granted = owner_.state() == Owner::State::transferring && takeover_at_ >= doubt_since_;
    const bool confirmed = owner_.acting() && (takeover_at_ >= doubt_since_ || owner_.confirmed_at() >= doubt_since_);
    if (!granted && !confirmed) return;
    catching_up_until_ = 0;
    term_in_doubt_ = false;
}

bool Election::is_isolated(const ElectionInput& input) {
    const bool alone = input.core.members.size() < 2;
    if (!detector_.trusts_itself() || alone || owner_.reaches_majority(input.now - settings_.isolation_timeout / 2))
        majority_at_ = input.now;
    return input.now - majority_at_ > settings_.isolation_timeout;
}

bool Election::is_unfit(const ElectionInput& input) const {
    return input.too_slow || input.disk_stalled_for > settings_.disk_stall_timeout;
}

void Election::seek_ownership(const ElectionInput& input) {
    const bool caught_up = was_catching_up_ && !catching_up(input.now);
    was_catching_up_ = catching_up(input.now);
    if (!detector_.trusts_itself() || is_unfit(input) || leaving()) return;
    const bool idle = owner_.state() == Owner::State::idle && input.now >= next_takeover_;
    // What was tried in silence did not know whom to let finish, and what was begun with an earlier core asks the wrong
    // members.
    const bool preparing = owner_.state() == Owner::State::preparing;
    const bool ill_informed = caught_up && present_owner(input.core);
    // Looked at only while it matters: the owner's register is copied, and an acting owner makes a step each turn.
    const bool outdated = preparing && input.core_value && input.core_value->newer_than(owner_.core_value());
    if (idle || (preparing && ill_informed) || outdated) take_over(input);
}

void Election::take_over(const ElectionInput& input) {
    next_takeover_ = input.now + settings_.takeover_interval;
    takeover_at_ = input.now;
    owner_.take_over(input.core, std::max(replica_.promised, highest_term_), replica_.registers,
                     present_owner(input.core), input.core_value ? *input.core_value : Register{});
}

std::optional<Identity> Election::present_owner(const Core& core) const {
    if (last_owner_.term.value == 0 || last_owner_.identity == replica_.identity) return std::nullopt;
    const auto own = core.place_of(replica_.identity), other = core.place_of(last_owner_.identity);
    if (!own || !other || *other < *own) return std::nullopt;
    return last_owner_.identity;
}

void Election::keep_or_give_up(const ElectionInput& input, bool isolated, ElectionStep& step) {
    if (owner_.state() == Owner::State::idle) return;
    const bool stalled = input.disk_stalled_for > settings_.disk_stall_timeout;
    const bool stays = detector_.trusts_itself() && !is_unfit(input) && !leaving();
    if (!owner_.acting()) {
        if (!stays) give_up(step, input.now);
        return;
    }
    // Without a majority or a disk nothing can be committed any more.
    if (isolated || stalled) return give_up(step, input.now);
    if (!stays) return hand_over(input, step);
    owner_.cancel_drain();
}

void Election::hand_over(const ElectionInput& input, ElectionStep& step) {
    if (!owner_.draining()) {
        owner_.begin_drain();
        drain_since_ = input.now;
        step.drains = owner_.epoch();
    }
    const Micros deadline = leaving() ? *leave_deadline_ : drain_since_ + settings_.drain_timeout;
    if (is_handed_over(input.core) || input.now >= deadline) give_up(step, input.now);
}

bool Election::is_handed_over(const Core& core) const {
    if (!owner_.drained()) return false;
    if (leaving()) return owner_.level_without(replica_.identity);
    if (detector_.trusts_itself() || detector_.trusted() >= core.members.size()) return true;
    return owner_.level(core.members[detector_.trusted()].identity);
}

void Election::give_up(ElectionStep& step, Micros now) {
    step.gave_up = owner_.epoch();
    step.drained_for = owner_.draining() ? now - drain_since_ : 0;
    term_in_doubt_ = false;
    owner_.give_up();
}

// An owner whose term was outbid has a successor that may have gone on without it. One that only tried to become owner
// tries again above that term.
void Election::note_superseded(Micros now) {
    if (owner_.acting()) last_owner_ = {owner_.epoch(), replica_.identity};
    if (owner_.acting() || owner_.state() == Owner::State::transferring) owned_term_ = owner_.epoch();
    if (!owner_.superseded_by) return;
    const bool was_owner = owned_term_ == owner_.epoch();
    note_term(*owner_.superseded_by);
    owner_.superseded_by.reset();
    term_in_doubt_ = false;
    if (was_owner) begin_catching_up(now);
}

void Election::note_write(const WriteAsk& ask, Micros now) {
    note_term(ask.epoch);
    if (ask.from == replica_.identity) return;
    if (ask.epoch >= last_owner_.term) last_owner_ = {ask.epoch, ask.from};
    if (owner_.state() != Owner::State::idle && owner_.epoch() < ask.epoch) owner_.give_up();
    if (ask.level)
        catching_up_until_ = 0;
    else if (catching_up_until_ != 0 || detector_.trusts_itself())
        catching_up_until_ = std::max(catching_up_until_, now + settings_.catch_up_timeout);
}

bool Election::may_serve() const {
    return owner_.acting() && !owner_.draining() && !term_in_doubt_;
}

bool Election::may_grant(Identity candidate, const Core& core) const {
    // What an owner has in flight is committed before its successor asks in earnest.
    if (owner_.draining()) return false;
    return core.place_of(candidate) == std::optional(detector_.trusted());
}

void Election::begin_leaving(Micros now) {
    leave_deadline_ = now + settings_.leave_timeout;
}

}  // namespace calicostall
