// How soon a turn that was asked for follows the one before. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

struct TurnPaceSettings {
    // An owner at work takes in what comes within this time and answers it by one turn: a turn costs the same for one
    // report as for ten, and so do the proposals, messages and syncs that follow from it.
    Micros gather = milliseconds(1);
    // A daemon whose turns take long pauses as long between them, but no longer than this.
    Micros pause_most = milliseconds(8);
};

// Example: TurnPace pace({}); pace.ended(begun, now); if (now >= pace.earliest(acting)) turn();
class TurnPace {
public:
    explicit TurnPace(TurnPaceSettings settings) : settings_(settings) {}
    void ended(Micros begun_at, Micros now) {
        ended_at_ = now;
        duration_ = now - begun_at;
    }
    // When a turn that was asked for may begin: after a quiet time at once.
    Micros earliest(bool acting) const {
        const Micros pause = std::min(duration_, settings_.pause_most);
        return ended_at_ + (acting ? std::max(pause, settings_.gather) : pause);
    }

private:
    TurnPaceSettings settings_;
    Micros ended_at_ = 0, duration_ = 0;
};

}  // namespace calicostall
