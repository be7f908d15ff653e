#include "side/retry.hpp"

namespace calicostall {

namespace {

constexpr int doublings_most = 10;

}  // namespace

Micros AnswerTimeout::value() const {
    if (!measured_) return settings_.most;
    Micros usual = std::max(settings_.least, smoothed_ + 4 * deviation_);
    return std::min(settings_.most, usual << doublings_);
}

void AnswerTimeout::answered(Micros round_trip) {
    doublings_ = 0;
    if (!measured_) {
        measured_ = true;
        smoothed_ = round_trip;
        deviation_ = round_trip / 2;
        return;
    }
    deviation_ += (std::abs(round_trip - smoothed_) - deviation_) / 4;
    smoothed_ += (round_trip - smoothed_) / 8;
}

void AnswerTimeout::unanswered(Micros sent_at, Micros now) {
    if (sent_at < doubled_at_) return;
    doubled_at_ = now;
    doublings_ = std::min(doublings_ + 1, doublings_most);
}

}  // namespace calicostall
