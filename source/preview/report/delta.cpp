#include "preview/report/delta.hpp"

#include "preview/report/summary.hpp"

namespace calicostall {

namespace {

using Table = QueueTable<QueueDelta>;

void compare_task(QueueDelta& delta, const TaskForecast& before, const TaskForecast& after) {
    const bool was_placed = before.outcome == PlacementOutcome::placed;
    const bool is_placed = after.outcome == PlacementOutcome::placed;
    if (is_placed && !was_placed) delta.newly_placed++;
    if (!is_placed && was_placed) delta.no_longer_placed++;
    if (!is_placed || !was_placed) return;
    if (after.starts_after < before.starts_after) delta.sooner++;
    if (after.starts_after > before.starts_after) delta.later++;
    if (after.worker != before.worker) delta.on_another_worker++;
}

void compare_tasks(Table& table, const PlacementForecast& baseline, const PlacementForecast& with_change) {
    std::map<TaskKey, const TaskForecast*> before;
    for (const TaskForecast& task : baseline.tasks)
        if (!task.is_copy) before[task.key] = &task;
    for (const TaskForecast& task : with_change.tasks) {
        auto found = before.find(task.key);
        if (!task.is_copy && found != before.end()) compare_task(table.of(task.key), *found->second, task);
    }
}

void compare_preemptions(Table& table, const PlacementForecast& baseline, const PlacementForecast& with_change) {
    std::map<TaskKey, size_t> before;
    for (const Preemption& preemption : baseline.preemptions)
        before[preemption.key]++;
    for (const Preemption& preemption : with_change.preemptions) {
        auto found = before.find(preemption.key);
        if (found == before.end())
            table.of(preemption.key).more_preemptions++;
        else if (--found->second == 0)
            before.erase(found);
    }
    for (const auto& [key, count] : before)
        table.of(key).fewer_preemptions += count;
}

}  // namespace

std::vector<QueueDelta> compute_queue_deltas(const Snapshot& snapshot, const Config& changed_config,
                                             const PlacementForecast& baseline, const PlacementForecast& with_change) {
    Table table(snapshot, changed_config);
    compare_tasks(table, baseline, with_change);
    compare_preemptions(table, baseline, with_change);
    return table.release();
}

}  // namespace calicostall
