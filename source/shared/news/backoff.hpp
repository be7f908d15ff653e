// Pauses that grow while nothing is heard, each a little different from those of other daemons.
#pragma once
#include "common.hpp"

namespace calicostall {

// Example: Backoff backoff(milliseconds(100), milliseconds(800), seed); if (backoff.due(steady_now())) ask();
class Backoff {
public:
    Backoff(Micros least, Micros most, std::uint64_t seed) : least_(least), most_(most), random_(seed) {}

    // True when a try may be made now, which then counts as made: the next one is due after a pause twice as long,
    // cut to between 3/4 and 5/4 of it by chance.
    bool due(Micros now) {
        if (now < next_at_) return false;
        pause_ = pause_ == 0 ? least_ : std::min(pause_ * 2, most_);
        next_at_ = now + std::uniform_int_distribution<Micros>(pause_ * 3 / 4, pause_ * 5 / 4)(random_);
        return true;
    }
    // What was looked for is found: the next pause is the shortest again, but the one that runs stays.
    void reset() { pause_ = 0; }

private:
    Micros least_, most_, pause_ = 0, next_at_ = 0;
    std::mt19937_64 random_;
};

}  // namespace calicostall
