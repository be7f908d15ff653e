#include "control/detector/detector.hpp"

namespace calicostall {

Detector::Detector(DetectorSettings settings, size_t self_rank, size_t member_count, Micros now) : settings_(settings) {
    reorder(self_rank, member_count, 0, now);
}

void Detector::reorder(size_t self_rank, size_t member_count, size_t trusted_rank, Micros now) {
    self_rank_ = self_rank;
    member_count_ = member_count;
    trusted_rank_ = std::min(trusted_rank, self_rank);
    timeouts_.assign(self_rank, settings_.timeout);
    heartbeat_received_ = false;
    waiting_since_ = now;
    stable_since_ = now;
    next_heartbeat_at_ = now;
}

std::vector<size_t> Detector::tick(Micros now) {
    suspect_trusted(now);
    decay_timeouts(now);
    std::vector<size_t> ranks;
    if (!trusts_itself() || silent_ || now < next_heartbeat_at_) return ranks;
    next_heartbeat_at_ = now + settings_.heartbeat_interval;
    for (size_t rank = self_rank_ + 1; rank < member_count_; ++rank)
        ranks.push_back(rank);
    return ranks;
}

// Passes over each member of which no heartbeat came within its time-out.
void Detector::suspect_trusted(Micros now) {
    while (trusted_rank_ < self_rank_ && now - waiting_since_ >= timeouts_[trusted_rank_]) {
        waiting_since_ += timeouts_[trusted_rank_];
        if (now - waiting_since_ > timeouts_[trusted_rank_]) waiting_since_ = now;
        if (heartbeat_received_)
            heartbeat_received_ = false;
        else
            trust(trusted_rank_ + 1, now);
    }
}

bool Detector::on_heartbeat(size_t sender_rank, Micros now) {
    if (sender_rank >= self_rank_ || sender_rank > trusted_rank_) return false;
    if (sender_rank < trusted_rank_) {
        Micros& timeout = timeouts_[sender_rank];
        timeout = std::min(timeout + settings_.timeout_increment, settings_.max_timeout);
        stable_since_ = now;
        trust(sender_rank, now);
    }
    heartbeat_received_ = true;
    return true;
}

void Detector::on_shutdown(size_t sender_rank, Micros now) {
    if (sender_rank == trusted_rank_ && trusted_rank_ < self_rank_) trust(trusted_rank_ + 1, now);
}

Micros Detector::next_tick_at(Micros now) const {
    if (trusted_rank_ < self_rank_) return waiting_since_ + timeouts_[trusted_rank_];
    return silent_ ? now + settings_.heartbeat_interval : next_heartbeat_at_;
}

void Detector::trust(size_t rank, Micros now) {
    trusted_rank_ = rank;
    heartbeat_received_ = false;
    waiting_since_ = now;
    if (trusts_itself()) next_heartbeat_at_ = now;
}

void Detector::decay_timeouts(Micros now) {
    if (now - stable_since_ < settings_.timeout_decay_interval) return;
    stable_since_ = now;
    for (Micros& timeout : timeouts_)
        timeout = std::max(settings_.timeout, timeout - settings_.timeout_increment);
}

}  // namespace calicostall
