#include "preview/report.hpp"

namespace calicostall {

Preview make_preview(Snapshot snapshot, const ProposedChange& change, const SimulationSettings& settings,
                     const PlannerFunction& planner) {
    Preview preview;
    preview.snapshot = std::move(snapshot);
    Findings ignored;
    if (!preview.snapshot.config_text.empty()) preview.config = parse_config(preview.snapshot.config_text, ignored);
    preview.changed_config = change.config ? *change.config : preview.config;
    preview.baseline = PlacementSimulator(preview.snapshot, ProposedChange{}, settings, planner).run();
    if (!change.empty()) preview.with_change = PlacementSimulator(preview.snapshot, change, settings, planner).run();
    return preview;
}

size_t count_unheard_workers(const Snapshot& snapshot) {
    return size_t(std::count_if(snapshot.workers.begin(), snapshot.workers.end(),
                                [](const SnapshotWorker& worker) { return worker.is_placeholder; }));
}

std::vector<QueueDelta> queue_deltas(const Preview& preview) {
    if (!preview.with_change) return {};
    return compute_queue_deltas(preview.snapshot, preview.changed_config, preview.baseline, *preview.with_change);
}

std::string task_name(const Snapshot& snapshot, const TaskKey& key) {
    return fmt::format("{}.{}.{}.{}", snapshot.jobs[key.job_index].id, key.occurrence, key.step, key.task_index);
}

}  // namespace calicostall
