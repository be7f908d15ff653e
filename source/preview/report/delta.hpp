// What a proposed change does to the forecast, queue by queue.
#pragma once
#include "preview/placement_forecast.hpp"
#include "preview/snapshot.hpp"
#include "shared/settings/config.hpp"

namespace calicostall {

// Numbers of tasks of one queue whose forecast differs with the change.
struct QueueDelta {
    std::string name;
    std::int64_t priority = 0;
    size_t sooner = 0;
    size_t later = 0;
    size_t on_another_worker = 0;
    size_t newly_placed = 0;      // only with the change
    size_t no_longer_placed = 0;  // only without the change
    size_t more_preemptions = 0;
    size_t fewer_preemptions = 0;
};

// One for each queue of the configuration with the change, the most urgent first.
// Example: for (const QueueDelta& delta : compute_queue_deltas(snapshot, changed_config, baseline, with_change)) ...
std::vector<QueueDelta> compute_queue_deltas(const Snapshot& snapshot, const Config& changed_config,
                                             const PlacementForecast& baseline, const PlacementForecast& with_change);

}  // namespace calicostall
