#include "shared/time/judge.hpp"

namespace calicostall {

Micros ClockJudge::wall(Micros own_wall, Micros now) {
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

}  // namespace calicostall
