#include "preview/report/summary.hpp"

namespace calicostall {

namespace {

void count_task(QueueSummary& summary, const TaskOutlook& task) {
    if (task.copy) {
        summary.copies++;
        return;
    }
    summary.waiting++;
    if (!task.why.empty()) summary.reasons[task.why]++;
    switch (task.landing) {
        case Landing::nowhere:
            summary.nowhere++;
            return;
        case Landing::waits:
            summary.beyond++;
            return;
        case Landing::lands:
            (task.at == 0 ? summary.now : summary.later)++;
            summary.waits.push_back(task.at);
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

Micros QueueSummary::median() const {
    if (waits.empty()) return 0;
    std::vector<Micros> sorted = waits;
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 2];
}

std::vector<QueueSummary> summarize(const Snapshot& snapshot, const Config& config, const Outlook& outlook) {
    QueueTable<QueueSummary> table(snapshot, config);
    for (const SnapshotJob& job : snapshot.jobs)
        table.of(job).jobs++;
    for (const RunOutlook& run : outlook.running)
        table.of(run.key).running++;
    for (const TaskOutlook& task : outlook.tasks)
        count_task(table.of(task.key), task);
    for (const PushedAside& pushed : outlook.pushed) {
        QueueSummary& summary = table.of(pushed.key);
        summary.pushed++;
        summary.lost += pushed.lost;
    }
    return table.take();
}

}  // namespace calicostall
