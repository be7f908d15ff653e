// The length of a backoff that doubles with each failure.
#pragma once
#include "common.hpp"

namespace calicostall {

// `base` doubled `doublings` times, but no longer than `limit`. Times in microseconds.
// Example: exponential_backoff(milliseconds(200), 2, seconds(2)) == milliseconds(800)
constexpr Micros exponential_backoff(Micros base, size_t doublings, Micros limit) {
    for (size_t count = 0; count < doublings && base < limit; ++count)
        base *= 2;
    return std::min(base, limit);
}

}  // namespace calicostall
