#pragma once
#include "common.hpp"

namespace calicostall {

// The clock that only runs forward; all time-outs and holds are measured on it.
// Example: Micros begun = steady_now(); ... Micros took = steady_now() - begun;
inline Micros steady_now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

// The time of day, which may jump; only due times look at it.
// Example: Micros due = first_at; if (wall_now() >= due) begin();
inline Micros wall_now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace calicostall
