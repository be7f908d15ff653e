#include "control/jobs/admission/leader_lag.hpp"

namespace calicostall {

void LeaderLag::on_tick(Micros expected_at, Micros now) {
    if (expected_at <= 0) return;
    const Micros decayed = tick_delay_ * 7 / 8;
    tick_delay_ = std::max(decayed, now - expected_at);
}

void LeaderLag::on_committed(Micros proposed_at) {
    auto found = open_proposals_.find(proposed_at);
    if (found != open_proposals_.end()) open_proposals_.erase(found);
}

void LeaderLag::on_plan(bool is_complete, Micros now) {
    if (is_complete)
        behind_since_ = 0;
    else if (behind_since_ == 0)
        behind_since_ = now;
}

Micros LeaderLag::value(Micros now) const {
    Micros lag = tick_delay_;
    // A proposal is open for the time of a round trip to the members in any case: half of its age counts.
    if (!open_proposals_.empty()) lag = std::max(lag, (now - *open_proposals_.begin()) / 2);
    if (behind_since_ != 0) lag = std::max(lag, now - behind_since_);
    return lag;
}

void LeaderLag::clear() {
    tick_delay_ = 0;
    behind_since_ = 0;
    open_proposals_.clear();
}

}  // namespace calicostall
