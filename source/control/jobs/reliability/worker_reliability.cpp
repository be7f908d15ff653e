#include "control/jobs/reliability/worker_reliability.hpp"

#include <cmath>

namespace calicostall {

namespace {

constexpr Micros decay_time = seconds(20);  // after it without news, 1/e of what was recorded is left
constexpr double max_lease_expiries = 6;    // bounds the pause at 500 ms * 2^6
constexpr double single_expiry = 1.5;       // fewer expiries than this (decayed) pause nothing
constexpr Micros pause_unit = milliseconds(500);
constexpr double max_fleet_failure_share = 0.5;  // beyond it the fleet's failures excuse no worker
constexpr double tolerance = 0.2;                // failures beyond the fleet's that cost nothing
constexpr double score_slope = 2.5;
constexpr std::uint64_t min_samples = 3;  // fewer samples leave at least the score below
constexpr double min_score_of_few = 0.5;

}  // namespace

void WorkerReliability::record(bool is_failure, double weight, Micros now) {
    decay(now);
    failure_share_ += weight * ((is_failure ? 1.0 : 0.0) - failure_share_);
    ++sample_count_;
}

void WorkerReliability::record_lease_expiry(Micros now) {
    decay(now);
    lease_expiries_ = std::min(lease_expiries_ + 1.0, max_lease_expiries);
    const Micros pause = lease_expiries_ < single_expiry ? 0 : Micros(double(pause_unit) * std::exp2(lease_expiries_));
    paused_until_ = now + pause;
}

double WorkerReliability::score(double fleet_failure_share, Micros now) const {
    const double tolerated_share = std::min(fleet_failure_share, max_fleet_failure_share) + tolerance;
    if (failure_share_ <= tolerated_share) return 1;  // it only decays from here
    const double retained = std::exp(-double(std::max<Micros>(0, now - decayed_at_)) / double(decay_time));
    const double excess = failure_share_ * retained - tolerated_share;
    const double by_outcomes = std::clamp(1 - score_slope * std::max(0.0, excess), 0.0, 1.0);
    return sample_count_ < min_samples ? std::max(by_outcomes, min_score_of_few) : by_outcomes;
}

void WorkerReliability::decay(Micros now) {
    if (decayed_at_ != 0 && now > decayed_at_) {
        const double retained = std::exp(-double(now - decayed_at_) / double(decay_time));
        failure_share_ *= retained;
        lease_expiries_ *= retained;
    }
    decayed_at_ = std::max(decayed_at_, now);
}

}  // namespace calicostall
