#include "agent/response_timeout.hpp"

namespace calicostall {

namespace {

// Beyond it the maximum applies anyway, and a shift must not overflow.
constexpr int max_backoff_exponent = 10;

}  // namespace

Micros ResponseTimeout::value() const {
    if (!has_sample_) return settings_.max;
    Micros estimate = std::max(settings_.min, smoothed_round_trip_ + 4 * round_trip_deviation_);
    return std::min(settings_.max, estimate << backoff_exponent_);
}

void ResponseTimeout::record_response(Micros round_trip) {
    backoff_exponent_ = 0;
    if (!has_sample_) {
        has_sample_ = true;
        smoothed_round_trip_ = round_trip;
        round_trip_deviation_ = round_trip / 2;
        return;
    }
    round_trip_deviation_ += (std::abs(round_trip - smoothed_round_trip_) - round_trip_deviation_) / 4;
    smoothed_round_trip_ += (round_trip - smoothed_round_trip_) / 8;
}

void ResponseTimeout::record_timeout(Micros sent_at, Micros now) {
    if (sent_at < last_backoff_at_) return;
    last_backoff_at_ = now;
    backoff_exponent_ = std::min(backoff_exponent_ + 1, max_backoff_exponent);
}

}  // namespace calicostall
