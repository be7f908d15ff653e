#include "control/clock/core_clock.hpp"

namespace calicostall {

namespace {

// After a pause of the daemon no more than this counts for slewing.
constexpr Micros slew_span_max = seconds(1);

}  // namespace

void CoreClock::begin_term(Epoch term) {
    if (term <= term_) return;
    term_ = term;
    heard_ = false;
    readings_.clear();
    out_.clear();
    disagreed_since_.reset();
    if (state_ == State::provisional) state_ = State::unknown;
}

void CoreClock::note_member(Epoch term, Identity member, const ClockReading& reading) {
    if (term != term_ || reading.wall == 0) return;
    readings_[member] = {reading.wall - reading.heard_at, reading.wall - reading.asked_at, reading.heard_at};
}

void CoreClock::take(const JudgedTime& time, Micros now) {
    state_ = State::agreed;
    judged_term_ = time.term;
    offset_ = time.wall - now;
    updated_at_ = now;
    from_start_ = false;
    disagreed_since_.reset();
}

void CoreClock::follow(const JudgedTime& told, Micros now) {
    if (told.wall == 0 || told.term < judged_term_) return;
    take(told, now);
}

void CoreClock::recall(const JudgedTime& remembered, Micros now) {
    if (remembered.wall == 0) return;
    const bool newer = remembered.term > judged_term_;
    const bool better_than_none = from_start_ && remembered.term < judged_term_;
    if (state_ == State::agreed && !newer && !better_than_none) return;
    const Micros before = offset_;
    const bool had_time = state_ != State::unknown;
    take(remembered, now);
    if (had_time && std::abs(offset_ - before) > settings_.agreement) recalled_by_ = offset_ - before;
}

std::vector<ClockNotice> CoreClock::update(const Core& core, Identity self, Micros own_wall, Micros now) {
    std::vector<ClockNotice> notices;
    if (recalled_by_) notices.push_back({ClockNotice::Kind::recalled, self, *std::exchange(recalled_by_, {})});
    readings_[self] = {own_wall - now, own_wall - now, now};
    const std::optional<Bounds> may_be = bounds(core, now);
    if (may_be) {
        heard_ = true;
        if (state_ == State::agreed)
            slew(*may_be, self, now, notices);
        else
            judge_anew(*may_be);
        judged_term_ = term_;
        tell_clocks_out(core, notices);
    }
    updated_at_ = now;
    return notices;
}

std::optional<CoreClock::Bounds> CoreClock::bounds(const Core& core, Micros now) const {
    std::vector<Micros> lows, highs;
    for (const Member& member : core.members) {
        auto reading = readings_.find(member.identity);
        if (reading == readings_.end() || now - reading->second.heard_at > settings_.fresh_for) continue;
        lows.push_back(reading->second.low);
        highs.push_back(reading->second.high);
    }
    if (core.members.empty() || lows.size() < core.majority()) return std::nullopt;
    std::sort(lows.begin(), lows.end());
    std::sort(highs.begin(), highs.end());
    const size_t wrong_most = (core.members.size() - 1) / 2;
    const size_t not_ahead = lows.size() - wrong_most - 1, not_behind = wrong_most;
    return Bounds{lows[std::min(not_ahead, not_behind)], highs[std::max(not_ahead, not_behind)]};
}

void CoreClock::judge_anew(const Bounds& bounds) {
    offset_ = bounds.low;
    from_start_ = true;
    state_ = bounds.high - bounds.low <= settings_.agreement ? State::agreed : State::provisional;
}

void CoreClock::slew(const Bounds& bounds, Identity self, Micros now, std::vector<ClockNotice>& notices) {
    const Micros away = std::clamp(offset_, bounds.low, bounds.high) - offset_;
    if (std::abs(away) <= settings_.agreement) disagreed_since_.reset();
    if (std::abs(away) > settings_.agreement && !disagreed_since_) disagreed_since_ = now;
    if (disagreed_since_ && now - *disagreed_since_ >= settings_.leap_after) {
        offset_ += away;
        disagreed_since_.reset();
        notices.push_back({ClockNotice::Kind::leapt, self, away});
        return;
    }
    const Micros step_most = std::clamp<Micros>(now - updated_at_, 0, slew_span_max) / settings_.slew_part;
    offset_ += std::clamp(away, -step_most, step_most);
}

// A clock is out from `agreement` on, and back within half of that.
void CoreClock::tell_clocks_out(const Core& core, std::vector<ClockNotice>& notices) {
    if (state_ != State::agreed) return;
    for (const Member& member : core.members) {
        auto reading = readings_.find(member.identity);
        if (reading == readings_.end()) continue;
        const Micros off = std::clamp(offset_, reading->second.low, reading->second.high) - offset_;
        if (std::abs(off) > settings_.agreement && out_.insert(member.identity).second)
            notices.push_back({ClockNotice::Kind::out, member.identity, off});
        if (std::abs(off) <= settings_.agreement / 2 && out_.erase(member.identity) > 0)
            notices.push_back({ClockNotice::Kind::back, member.identity, off});
    }
}

JudgedTime CoreClock::handed_on(Micros now) const {
    if (state_ != State::agreed) return {};
    return {judged_term_, wall(now)};
}

}  // namespace calicostall
