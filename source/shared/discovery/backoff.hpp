// Delays between attempts that grow while nothing comes of them, each a little different from those of other daemons.
#pragma once
#include "common.hpp"

namespace calicostall {

// All times are microseconds.
// Example: Backoff backoff(milliseconds(100), milliseconds(800), seed); if (backoff.try_attempt(steady_now())) send();
class Backoff {
public:
    Backoff(Micros min_delay, Micros max_delay, std::uint64_t seed)
        : min_delay_(min_delay), max_delay_(max_delay), random_(seed) {}

    // True when an attempt may be made now, which then counts as made: the next one is due after a delay twice as long,
    // chosen at random between 3/4 and 5/4 of it.
    bool try_attempt(Micros now) {
        if (now < next_attempt_at_) return false;
        delay_ = delay_ == 0 ? min_delay_ : std::min(delay_ * 2, max_delay_);
        next_attempt_at_ = now + std::uniform_int_distribution<Micros>(delay_ * 3 / 4, delay_ * 5 / 4)(random_);
        return true;
    }
    // An attempt has succeeded: the next delay is the shortest again, but the one that runs stays.
    void reset() { delay_ = 0; }

private:
    Micros min_delay_, max_delay_;
    Micros delay_ = 0;  // the last one; 0: none yet
    Micros next_attempt_at_ = 0;
    std::mt19937_64 random_;
};

}  // namespace calicostall
