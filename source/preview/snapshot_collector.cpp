#include "preview/snapshot_collector.hpp"

namespace calicostall {

namespace {

// Fields of each structure, counted with those of the structures that it always holds.
constexpr size_t job_fields = 50;
constexpr size_t step_fields = 20;
constexpr size_t range_fields = 5;
constexpr size_t failed_task_fields = 6;
constexpr size_t worker_fields = 30;
constexpr size_t run_fields = 40;

}  // namespace

size_t min_encoded_bytes(const SnapshotJob& job) {
    size_t bytes = job_fields + step_fields * job.steps.size() + failed_task_fields * job.failed_tasks.size();
    for (const SnapshotOccurrence& occurrence : job.occurrences)
        for (const std::vector<SnapshotTaskRange>& ranges : occurrence.steps)
            bytes += 1 + range_fields * ranges.size();
    return bytes;
}

size_t min_encoded_bytes(const SnapshotWorker& worker) {
    return worker_fields + run_fields * worker.runs.size();
}

}  // namespace calicostall
