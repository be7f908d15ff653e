#pragma once
#include "common.hpp"

namespace calicostall {

// The time of day as the core sees it: one daemon's clock may jump, the middle one of three does not.
// Example: judge.note("10.2.0.40:7720", their_wall, now); Micros wall = judge.wall(wall_now(), now);
class ClockJudge {
public:
    void note(const std::string& peer, Micros wall, Micros now) { offsets_[peer] = {wall - now, now}; }
    Micros wall(Micros own_wall, Micros now);

private:
    std::map<std::string, std::pair<Micros, Micros>> offsets_;
    std::optional<Micros> judged_;
};

}  // namespace calicostall
