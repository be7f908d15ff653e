#include "preview/snapshot.hpp"

namespace calicostall {

bool SnapshotTaskRange::has_same_state(const SnapshotTaskRange& other) const {
    return is_done == other.is_done && has_checkpoint == other.has_checkpoint && failures == other.failures;
}

void sort_snapshot(Snapshot& snapshot) {
    std::sort(snapshot.recent_demand.begin(), snapshot.recent_demand.end(),
              [](const SnapshotDemand& left, const SnapshotDemand& right) {
                  return std::tie(left.service, left.priority) < std::tie(right.service, right.priority);
              });
    std::sort(snapshot.jobs.begin(), snapshot.jobs.end(), [](const SnapshotJob& left, const SnapshotJob& right) {
        return std::tie(left.priority, left.accepted_wall_clock, left.id) <
               std::tie(right.priority, right.accepted_wall_clock, right.id);
    });
    std::sort(snapshot.workers.begin(), snapshot.workers.end(),
              [](const SnapshotWorker& left, const SnapshotWorker& right) {
                  return std::tie(left.fleet_index, left.worker_id) < std::tie(right.fleet_index, right.worker_id);
              });
}

}  // namespace calicostall
