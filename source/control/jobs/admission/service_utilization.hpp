/// How much of a service is really used while work waits for it. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

/// A running mean of the share of a service's capacity in use, counted only while work waits: less than all of it, as
/// tasks don't fill their workers exactly.
class ServiceUtilization {
public:
    /// Takes in one observation.
    /// @param used_share  0 to 1, of the scarcer resource
    /// @param has_waiting  whether tasks are ready to start
    void record(double used_share, bool has_waiting);
    double utilization() const { return utilization_; }

private:
    double utilization_ = 0.8;  // what is assumed before the first observation
};

}  // namespace calicostall
