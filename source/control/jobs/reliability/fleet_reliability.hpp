// The reliability of all nodes' workers, and the whole fleet's for comparison.
#pragma once
#include "control/jobs/reliability/worker_reliability.hpp"

namespace calicostall {

// Owns what was recorded of each node. Times are microseconds of the monotonic clock.
class FleetReliability {
public:
    // One outcome or rejection at a node; see WorkerReliability.
    void record(const std::string& node, bool is_failure, double weight, Micros now);
    void record_lease_expiry(const std::string& node, Micros now);
    // The node's own record; the reference is valid until `clear`.
    const WorkerReliability& of_node(const std::string& node) { return by_node_[node]; }
    // The score of a worker against the fleet's present failures; 1 for a node of which nothing was recorded.
    double score(const WorkerReliability& worker, Micros now) const;
    double score(const std::string& node, Micros now) const;
    bool is_paused(const std::string& node, Micros now) const;
    void clear();

private:
    std::map<std::string, WorkerReliability> by_node_;
    WorkerReliability fleet_;
};

}  // namespace calicostall
