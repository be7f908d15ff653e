// The lease under which the worker may keep its runs: the leader grants it, and the agent translates its expiry to the
// worker's clock. Pure: sends nothing and reads no clock.
#pragma once
#include "common.hpp"

namespace calicostall {

// Not thread-safe: the agent's mutex protects it. All instants are microseconds; `now` is on the agent's clock.
// Example: WorkerLease lease(seconds(60));
//          lease.record_worker_clock(worker_clock, now);
//          lease.extend_until(now + seconds(3));
//          lease.expiry_ms(now) -> 3 s after `worker_clock`, in milliseconds
class WorkerLease {
public:
    // `max_duration`: no expiry that is given to the worker lies further ahead, whatever the leader grants.
    explicit WorkerLease(Micros max_duration) : max_duration_(max_duration) {}

    // Notes what the worker's clock showed at `now`.
    void record_worker_clock(Micros worker_clock, Micros now) { clock_sample_ = {worker_clock, now}; }
    // The leader lets the lease last until then; an earlier expiry changes nothing.
    void extend_until(Micros expires_at) { expires_at_ = std::max(expires_at_, expires_at); }
    // Nothing is granted any more: another leader, or another generation of orders.
    void revoke() { expires_at_ = 0; }
    // Another incarnation of the worker: its clock is not known either.
    void reset();

    // When the lease ends on the agent's clock; 0 when none is granted.
    Micros expires_at() const { return expires_at_; }
    // When the lease ends on the worker's clock, in milliseconds (`until_ms` of the worker's calls); nothing when no
    // useful lease is left or the worker's clock is not known.
    std::optional<std::int64_t> expiry_ms(Micros now) const;

private:
    // What both clocks showed at one moment.
    struct ClockSample {
        Micros worker_clock = 0;
        Micros agent_clock = 0;
    };

    Micros max_duration_;
    std::optional<ClockSample> clock_sample_;
    Micros expires_at_ = 0;
};

}  // namespace calicostall
