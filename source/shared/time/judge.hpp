#pragma once
#include "common.hpp"

namespace calicostall {

// The time of day as the core sees it: one daemon's clock may jump, the middle one of three does not.
// Example: judge.note("10.2.0.40:7720", their_wall, now); Micros wall = judge.wall(wall_now(), now);
class ClockJudge {
public:
    void note(const std::string& peer, Micros wall, Micros now) { offsets_[peer] = {wall - now, now}; }
    Micros wall(Micros own_wall, Micros now) {
        std::vector<Micros> offsets{own_wall - now};
        for (const auto& [peer, sample] : offsets_)
            if (now - sample.second < seconds(5)) offsets.push_back(sample.first);
        std::sort(offsets.begin(), offsets.end());
        if (!judged_) judged_ = own_wall - now;
        if (offsets.size() >= 3) {
            judged_ = offsets[offsets.size() / 2];
        } else if (offsets.size() == 2 && offsets[1] - offsets[0] < milliseconds(500)) {
            judged_ = offsets[0];
        }
        return *judged_ + now;
    }

private:
    std::map<std::string, std::pair<Micros, Micros>> offsets_;
    std::optional<Micros> judged_;
};

}  // namespace calicostall
