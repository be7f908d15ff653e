#include "agent/worker_lease.hpp"

namespace calicostall {

namespace {

// A lease that ends sooner is not worth a call: it would be over when the worker reads it.
constexpr Micros min_remaining = milliseconds(20);

}  // namespace

void WorkerLease::reset() {
    revoke();
    clock_sample_.reset();
}

std::optional<std::int64_t> WorkerLease::expiry_ms(Micros now) const {
    if (!clock_sample_ || expires_at_ <= now + min_remaining) return std::nullopt;
    const auto& [worker_clock, agent_clock] = *clock_sample_;
    const Micros granted = worker_clock + (expires_at_ - agent_clock);
    const Micros latest = worker_clock + (now - agent_clock) + max_duration_;
    return std::min(granted, latest) / 1000;
}

}  // namespace calicostall
