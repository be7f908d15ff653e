// What bounds the cost of snapshots to the leader.
#pragma once
#include "common.hpp"

namespace calicostall {

struct SnapshotLimits {
    size_t max_bytes = 4 << 20;        // of one encoded snapshot
    Micros min_interval = seconds(1);  // between two snapshots
};

// Grants at most one snapshot in an interval; a refused request doesn't count.
// Example: if (!limiter.try_acquire(now)) respond with 429
class SnapshotRateLimiter {
public:
    explicit SnapshotRateLimiter(Micros min_interval) : min_interval_(min_interval) {}

    // `now`: microseconds of the monotonic clock.
    bool try_acquire(Micros now);

private:
    Micros min_interval_;
    std::optional<Micros> last_granted_at_;
};

}  // namespace calicostall
