// How reliable the worker of one node is, by what it did: outcomes of runs, stalls, rejected starts and ended
// incarnations. Pure: the caller tells the time (microseconds of the monotonic clock).
#pragma once
#include "common.hpp"

namespace calicostall {

// The share of bad outcomes among the newer ones, and the lease expiries of late. Without new outcomes both decay, so
// that the score recovers step by step.
// Example: WorkerReliability worker; worker.record(true, 0.15, now); double score = worker.score(fleet_share, now);
class WorkerReliability {
public:
    // One outcome or rejection.
    // @param weight  how much it tells: the share of the new value in the running mean
    void record(bool is_failure, double weight, Micros now);
    // An incarnation or lease that ended without being asked to: each further one within the decay time doubles the
    // pause.
    void record_lease_expiry(Micros now);
    // @param fleet_failure_share  the same share over the whole fleet
    // @return 1: as good as the fleet. 0: everything it ran recently failed while others' runs did not.
    double score(double fleet_failure_share, Micros now) const;
    // Whether the worker gets no starts for now, after repeated lease expiries.
    bool is_paused(Micros now) const { return now < paused_until_; }
    double failure_share() const { return failure_share_; }

private:
    void decay(Micros now);

    double failure_share_ = 0, lease_expiries_ = 0;
    std::uint64_t sample_count_ = 0;
    Micros decayed_at_ = 0, paused_until_ = 0;
};

}  // namespace calicostall
