#include "preview/report/summary.hpp"

namespace calicostall {

namespace {

void count_task(QueueSummary& summary, const TaskForecast& task) {
    if (task.is_copy) {
        summary.copies++;
        return;
    }
    summary.waiting++;
    if (!task.reason.empty()) summary.reason_counts[task.reason]++;
    switch (task.outcome) {
        case PlacementOutcome::infeasible:
            summary.infeasible++;
            return;
        case PlacementOutcome::pending:
            summary.beyond_horizon++;
            return;
        case PlacementOutcome::placed:
            (task.starts_after == 0 ? summary.placed_now : summary.placed_later)++;
            summary.start_delays.push_back(task.starts_after);
            return;
    }
}

}  // namespace

std::string QueueNames::of(const SnapshotJob& job) const {
    const Queue* queue = config.find_exact(job.host, job.prefix);
    return queue ? of(*queue) : fmt::format("{}{} (no route)", job.host, job.prefix);
}

std::int64_t QueueNames::priority_of(const SnapshotJob& job) const {
    const Queue* queue = config.find_exact(job.host, job.prefix);
    return queue ? queue->priority : job.priority;
}

Micros QueueSummary::median_start_delay() const {
    if (start_delays.empty()) return 0;
    std::vector<Micros> sorted = start_delays;
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 2];
}

std::vector<QueueSummary> summarize(const Snapshot& snapshot, const Config& config, const PlacementForecast& forecast) {
    QueueTable<QueueSummary> table(snapshot, config);
    for (const SnapshotJob& job : snapshot.jobs)
        table.of(job).jobs++;
    for (const RunForecast& run : forecast.running)
        table.of(run.key).running++;
    for (const TaskForecast& task : forecast.tasks)
        count_task(table.of(task.key), task);
    for (const Preemption& preemption : forecast.preemptions) {
        QueueSummary& summary = table.of(preemption.key);
        summary.preempted++;
        summary.lost_core_seconds += preemption.lost_core_seconds;
    }
    return table.release();
}

}  // namespace calicostall
