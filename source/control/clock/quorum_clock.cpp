#include "control/clock/quorum_clock.hpp"

namespace calicostall {

namespace {

// After a suspension of the process no more than this counts for slewing.
constexpr Micros max_slew_span = seconds(1);

}  // namespace

void QuorumClock::begin_term(Term term) {
    if (term <= term_) return;
    term_ = term;
    has_majority_readings_ = false;
    readings_.clear();
    skewed_members_.clear();
    disagreed_since_.reset();
    if (state_ == State::provisional) state_ = State::unknown;
}

void QuorumClock::record_reading(Term term, ReplicaId member, const ClockReading& reading) {
    if (term != term_ || reading.wall_clock == 0) return;
    const Micros low = reading.wall_clock - reading.received_at;
    const Micros high = reading.wall_clock - reading.requested_at;
    readings_[member] = {low, high, reading.received_at};
}

void QuorumClock::adopt(const AgreedTime& time, Micros now) {
    state_ = State::agreed;
    agreed_term_ = time.term;
    offset_ = time.wall_clock - now;
    updated_at_ = now;
    is_from_readings_only_ = false;
    disagreed_since_.reset();
}

void QuorumClock::follow_leader(const AgreedTime& reported, Micros now) {
    if (reported.wall_clock == 0 || reported.term < agreed_term_) return;
    adopt(reported, now);
}

void QuorumClock::recall_earlier_time(const AgreedTime& remembered, Micros now) {
    if (remembered.wall_clock == 0) return;
    const bool is_newer = remembered.term > agreed_term_;
    const bool is_better_than_none = is_from_readings_only_ && remembered.term < agreed_term_;
    if (state_ == State::agreed && !is_newer && !is_better_than_none) return;
    const Micros before = offset_;
    const bool had_time = state_ != State::unknown;
    adopt(remembered, now);
    if (had_time && std::abs(offset_ - before) > settings_.agreement_tolerance) recall_offset_ = offset_ - before;
}

std::vector<ClockEvent> QuorumClock::update(const Membership& membership, ReplicaId self, Micros local_wall_clock,
                                            Micros now) {
    std::vector<ClockEvent> events;
    if (recall_offset_) events.push_back({ClockEvent::Kind::recalled, self, *std::exchange(recall_offset_, {})});
    readings_[self] = {local_wall_clock - now, local_wall_clock - now, now};
    const std::optional<Bounds> possible = bounds(membership, now);
    if (possible) {
        has_majority_readings_ = true;
        if (state_ == State::agreed)
            slew(*possible, self, now, events);
        else
            agree_on_time(*possible, now);
        agreed_term_ = term_;
        report_clock_skew(membership, events);
    }
    updated_at_ = now;
    return events;
}

std::optional<QuorumClock::Bounds> QuorumClock::bounds(const Membership& membership, Micros now) const {
    std::vector<Micros> lows;
    std::vector<Micros> highs;
    for (const Member& member : membership.members) {
        auto reading = readings_.find(member.replica_id);
        if (reading == readings_.end() || now - reading->second.received_at > settings_.reading_lifetime) continue;
        lows.push_back(reading->second.low);
        highs.push_back(reading->second.high);
    }
    if (membership.members.empty() || lows.size() < membership.majority()) return std::nullopt;
    std::sort(lows.begin(), lows.end());
    std::sort(highs.begin(), highs.end());
    const size_t max_wrong = (membership.members.size() - 1) / 2;
    const size_t not_ahead = lows.size() - max_wrong - 1;
    const size_t not_behind = max_wrong;
    return Bounds{lows[std::min(not_ahead, not_behind)], highs[std::max(not_ahead, not_behind)]};
}

void QuorumClock::agree_on_time(const Bounds& bounds, Micros now) {
    if (state_ == State::unknown) agreed_since_ = now;
    offset_ = bounds.low;
    is_from_readings_only_ = true;
    state_ = bounds.high - bounds.low <= settings_.agreement_tolerance ? State::agreed : State::provisional;
}

void QuorumClock::slew(const Bounds& bounds, ReplicaId self, Micros now, std::vector<ClockEvent>& events) {
    const Micros correction = std::clamp(offset_, bounds.low, bounds.high) - offset_;
    const bool is_within_tolerance = std::abs(correction) <= settings_.agreement_tolerance;
    if (is_within_tolerance) disagreed_since_.reset();
    if (!is_within_tolerance && !disagreed_since_) disagreed_since_ = now;
    if (disagreed_since_ && now - *disagreed_since_ >= settings_.step_after) {
        offset_ += correction;
        disagreed_since_.reset();
        events.push_back({ClockEvent::Kind::stepped, self, correction});
        return;
    }
    const Micros max_step = std::clamp<Micros>(now - updated_at_, 0, max_slew_span) / settings_.slew_divisor;
    offset_ += std::clamp(correction, -max_step, max_step);
}

// A clock is skewed from `agreement_tolerance` on, and has recovered within half of that.
void QuorumClock::report_clock_skew(const Membership& membership, std::vector<ClockEvent>& events) {
    if (state_ != State::agreed) return;
    for (const Member& member : membership.members) {
        auto reading = readings_.find(member.replica_id);
        if (reading == readings_.end()) continue;
        const Micros skew = std::clamp(offset_, reading->second.low, reading->second.high) - offset_;
        if (std::abs(skew) > settings_.agreement_tolerance && skewed_members_.insert(member.replica_id).second)
            events.push_back({ClockEvent::Kind::skewed, member.replica_id, skew});
        if (std::abs(skew) <= settings_.agreement_tolerance / 2 && skewed_members_.erase(member.replica_id) > 0)
            events.push_back({ClockEvent::Kind::recovered, member.replica_id, skew});
    }
}

AgreedTime QuorumClock::time_to_share(Micros now) const {
    const bool is_replaceable = is_from_readings_only_ && now - agreed_since_ < settings_.recall_timeout;
    if (state_ != State::agreed || is_replaceable) return {};
    return {agreed_term_, wall_clock(now)};
}

}  // namespace calicostall
