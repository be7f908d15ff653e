// The election: DESIGN's three tasks as a pure state machine; the caller passes the time in.
#pragma once
#include "common.hpp"

namespace calicostall {

struct DetectorSettings {
    Micros heartbeat = milliseconds(200);
    Micros timeout = seconds(1);
    Micros increment = milliseconds(100);
    Micros timeout_most = seconds(3);
    // After so long without a false suspicion a grown timeout shrinks by one increment.
    Micros calm = seconds(20);
};

// p_1..p_n are places 0..n-1 of the order; `self` is this daemon's place.
// Example: Detector detector(settings, 2, 3, now); for (size_t place : detector.tick(now)) send_alive(place);
class Detector {
public:
    Detector(DetectorSettings settings, size_t self, size_t count, Micros now) : settings_(settings) {
        reorder(self, count, 0, now);
    }

    size_t self() const { return self_; }
    size_t count() const { return count_; }
    size_t trusted() const { return trusted_; }
    bool trusts_itself() const { return trusted_ == self_; }
    Micros timeout_of(size_t place) const { return place < timeouts_.size() ? timeouts_[place] : settings_.timeout; }
    bool silent() const { return silent_; }

    // While silent (not caught up, or suspecting itself) a daemon does not beat, though it may trust itself.
    void set_silent(bool silent) { silent_ = silent; }

    // The order changed: a replaced daemon's place goes, a new one is appended.
    // `trusted` is the new place of the daemon trusted so far (count when it is gone).
    void reorder(size_t self, size_t count, size_t trusted, Micros now) {
        self_ = self;
        count_ = count;
        trusted_ = std::min(trusted, self);
        timeouts_.assign(self, settings_.timeout);
        received_ = false;
        waiting_since_ = now;
        calm_since_ = now;
        next_beat_ = now;
    }

    // Tasks 1 and 2. Returns the places that are to be sent I-AM-ALIVE now.
    std::vector<size_t> tick(Micros now) {
        while (trusted_ < self_ && now - waiting_since_ >= timeouts_[trusted_]) {
            waiting_since_ += timeouts_[trusted_];
            if (now - waiting_since_ > timeouts_[trusted_]) waiting_since_ = now;
            if (received_)
                received_ = false;
            else
                trust(trusted_ + 1, now);
        }
        shrink(now);
        std::vector<size_t> places;
        if (trusted_ != self_ || silent_ || now < next_beat_) return places;
        next_beat_ = now + settings_.heartbeat;
        for (size_t place = self_ + 1; place < count_; ++place)
            places.push_back(place);
        return places;
    }

    // Task 3. Returns whether the heartbeat was taken (false: discarded).
    bool alive(size_t from, Micros now) {
        if (from >= self_ || from > trusted_) return false;
        if (from < trusted_) {
            timeouts_[from] = std::min(timeouts_[from] + settings_.increment, settings_.timeout_most);
            calm_since_ = now;
            trust(from, now);
        }
        received_ = true;
        return true;
    }

    // A planned stop: the trust in a leaving daemon is over at once.
    void leaving(size_t from, Micros now) {
        if (from == trusted_ && trusted_ < self_) trust(trusted_ + 1, now);
    }

    // When the next tick has something to do.
    Micros next(Micros now) const {
        if (trusted_ < self_) return waiting_since_ + timeouts_[trusted_];
        return silent_ ? now + settings_.heartbeat : next_beat_;
    }

private:
    void trust(size_t place, Micros now) {
        trusted_ = place;
        received_ = false;
        waiting_since_ = now;
        if (trusted_ == self_) next_beat_ = now;
    }
    void shrink(Micros now) {
        if (now - calm_since_ < settings_.calm) return;
        calm_since_ = now;
        for (Micros& timeout : timeouts_)
            timeout = std::max(settings_.timeout, timeout - settings_.increment);
    }

    DetectorSettings settings_;
    size_t self_ = 0, count_ = 0, trusted_ = 0;
    bool received_ = false;
    bool silent_ = false;
    std::vector<Micros> timeouts_;
    Micros waiting_since_ = 0, calm_since_ = 0, next_beat_ = 0;
};

}  // namespace calicostall
