#include "preview/snapshot_limits.hpp"

namespace calicostall {

bool SnapshotRateLimiter::try_acquire(Micros now) {
    if (last_granted_at_ && now - *last_granted_at_ < min_interval_) return false;
    last_granted_at_ = now;
    return true;
}

}  // namespace calicostall
