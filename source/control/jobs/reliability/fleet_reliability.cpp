#include "control/jobs/reliability/fleet_reliability.hpp"

namespace calicostall {

void FleetReliability::record(const std::string& node, bool is_failure, double weight, Micros now) {
    by_node_[node].record(is_failure, weight, now);
    fleet_.record(is_failure, weight / 10, now);
}

void FleetReliability::record_lease_expiry(const std::string& node, Micros now) {
    by_node_[node].record_lease_expiry(now);
}

double FleetReliability::score(const WorkerReliability& worker, Micros now) const {
    return worker.score(fleet_.failure_share(), now);
}

double FleetReliability::score(const std::string& node, Micros now) const {
    const auto found = by_node_.find(node);
    return found == by_node_.end() ? 1.0 : score(found->second, now);
}

bool FleetReliability::is_paused(const std::string& node, Micros now) const {
    const auto found = by_node_.find(node);
    return found != by_node_.end() && found->second.is_paused(now);
}

void FleetReliability::clear() {
    by_node_.clear();
    fleet_ = {};
}

}  // namespace calicostall
