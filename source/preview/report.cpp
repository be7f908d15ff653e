#include "preview/report.hpp"

namespace calicostall {

Preview make_preview(Snapshot snapshot, const ProposedChange& change, const ForwardSettings& settings,
                     const PlannerFunction& planner) {
    Preview preview;
    preview.snapshot = std::move(snapshot);
    Findings ignored;
    if (!preview.snapshot.config.empty()) preview.config = parse_config(preview.snapshot.config, ignored);
    preview.changed_config = change.config ? *change.config : preview.config;
    preview.stands = Forward(preview.snapshot, ProposedChange{}, settings, planner).look();
    if (!change.empty()) preview.changed = Forward(preview.snapshot, change, settings, planner).look();
    return preview;
}

size_t unheard(const Snapshot& snapshot) {
    return size_t(std::count_if(snapshot.workers.begin(), snapshot.workers.end(),
                                [](const SnapshotWorker& worker) { return worker.placeholder; }));
}

std::vector<Moved> moved_by(const Preview& preview) {
    if (!preview.changed) return {};
    return moved_between(preview.snapshot, preview.changed_config, preview.stands, *preview.changed);
}

std::string task_text(const Snapshot& snapshot, const TaskKey& key) {
    return fmt::format("{}.{}.{}.{}", snapshot.jobs[key.job].id, key.time, key.step, key.index);
}

}  // namespace calicostall
