// How soon requested iterations of the event loop follow the ones before. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

// All times are microseconds.
struct IterationPacerSettings {
    // A working leader takes in what comes within this time and responds to it by one iteration: an iteration costs the
    // same for one report as for ten, and so do the proposals, messages and syncs that follow from it.
    Micros min_interval_leading = milliseconds(1);
    // A daemon whose iterations take long pauses as long between them, but no longer than this.
    Micros max_pause = milliseconds(8);
};

// Example: IterationPacer pacer({}); pacer.on_iterations_ended(started_at, now);
//          if (now >= pacer.next_allowed_at(is_leading)) run_iterations();
class IterationPacer {
public:
    explicit IterationPacer(IterationPacerSettings settings) : settings_(settings) {}

    // The iterations of one wake-up began at `started_at` and have ended now.
    void on_iterations_ended(Micros started_at, Micros now) {
        ended_at_ = now;
        duration_ = now - started_at;
    }
    // When requested iterations may begin: after a quiet time at once.
    Micros next_allowed_at(bool is_leading) const {
        const Micros pause = std::min(duration_, settings_.max_pause);
        return ended_at_ + (is_leading ? std::max(pause, settings_.min_interval_leading) : pause);
    }

private:
    IterationPacerSettings settings_;
    Micros ended_at_ = 0, duration_ = 0;
};

}  // namespace calicostall
