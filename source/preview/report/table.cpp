// A preview as a table for a person.
#include "preview/report.hpp"

namespace calicostall {

namespace {

// So many workers are named in a line, the others are counted: a line stays readable.
constexpr size_t max_workers_named = 12;

double to_seconds(Micros time) {
    return double(time) / 1e6;
}

// Example: "side-1 x4, side-2 x6"
std::string worker_counts_text(const std::map<std::string, size_t>& counts) {
    std::string text;
    size_t shown = 0;
    for (const auto& [name, count] : counts) {
        if (++shown > max_workers_named) return text + fmt::format(", {} more", counts.size() - max_workers_named);
        text += fmt::format("{}{}{}", text.empty() ? "" : ", ", name, count > 1 ? fmt::format(" x{}", count) : "");
    }
    return text;
}

// Tasks of one step with the same forecast share a line.
struct LineKey {
    bool is_copy = false;
    PlacementOutcome outcome = PlacementOutcome::pending;
    bool is_later = false;
    std::string reason;
    auto operator<=>(const LineKey&) const = default;
};

struct Line {
    size_t tasks = 0;
    Micros earliest_start = std::numeric_limits<Micros>::max();
    Micros latest_start = 0;
    std::map<std::string, size_t> workers;
};

std::string verb_of(const LineKey& key, size_t tasks) {
    if (key.is_copy) return tasks == 1 ? "copy lands" : "copies land";
    return tasks == 1 ? "lands" : "land";
}

std::string line_text(const LineKey& key, const Line& line, Micros horizon) {
    const std::string verb = verb_of(key, line.tasks);
    if (key.outcome == PlacementOutcome::infeasible)
        return fmt::format("  {} {} NOWHERE: {}\n", line.tasks, verb, key.reason);
    if (key.outcome == PlacementOutcome::pending)
        return fmt::format("  {} still waiting after {:.0f} s: {}\n", line.tasks, to_seconds(horizon), key.reason);
    if (!key.is_later) return fmt::format("  {} {} now on {}\n", line.tasks, verb, worker_counts_text(line.workers));
    return fmt::format("  {} {} in {:.2f} to {:.2f} s ({}) on {}\n", line.tasks, verb, to_seconds(line.earliest_start),
                       to_seconds(line.latest_start), key.reason.empty() ? "waits" : key.reason,
                       worker_counts_text(line.workers));
}

// Writes one forecast of a preview.
class ForecastTableWriter {
public:
    ForecastTableWriter(const Snapshot& snapshot, const Config& config, const PlacementForecast& forecast)
        : snapshot_(snapshot), config_(config), forecast_(forecast), names_{config} {
        for (const SnapshotWorker& worker : snapshot.workers)
            nodes_[worker.worker_id] = worker.node.empty() ? worker.worker_id : worker.node;
    }

    std::string write() const {
        std::string text = queue_table() + step_sections() + preemption_section() + duplicate_section();
        if (forecast_.is_truncated) text += "the look ahead ended early: too many plans\n";
        return text;
    }

private:
    using TaskIterator = std::vector<TaskForecast>::const_iterator;

    std::string queue_table() const {
        std::string text = fmt::format("{:<32} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>7} {:>7} {:>7}\n",
                                       "queue", "priority", "jobs", "running", "waiting", "land now", "later",
                                       "median s", "worst s", "beyond", "pushed", "nowhere");
        for (const QueueSummary& each : summarize(snapshot_, config_, forecast_))
            text +=
                fmt::format("{:<32} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9.2f} {:>9.2f} {:>7} {:>7} {:>7}\n",
                            each.name, each.priority, each.jobs, each.running, each.waiting, each.placed_now,
                            each.placed_later, to_seconds(each.median_start_delay()),
                            to_seconds(each.max_start_delay()), each.beyond_horizon, each.preempted, each.infeasible);
        return text;
    }

    // The tasks of one step stand together: they are sorted by priority and job.
    std::string step_sections() const {
        std::string text;
        for (TaskIterator at = forecast_.tasks.begin(); at != forecast_.tasks.end();) {
            const TaskKey& first = at->key;
            TaskIterator end = std::find_if(at, forecast_.tasks.end(), [&](const TaskForecast& task) {
                return task.key.job_index != first.job_index || task.key.occurrence != first.occurrence ||
                       task.key.step != first.step;
            });
            text += step_section(at, end);
            at = end;
        }
        return text;
    }

    std::string step_section(TaskIterator first, TaskIterator end) const {
        const TaskKey& key = first->key;
        const SnapshotJob& job = snapshot_.jobs[key.job_index];
        std::string text = fmt::format("\n{} {} time {} step {}: {} tasks\n", names_.of(job), job.id, key.occurrence,
                                       key.step, end - first);
        std::map<LineKey, Line> lines;
        for (; first != end; ++first)
            add(lines, *first);
        for (const auto& [kind, line] : lines)
            text += line_text(kind, line, forecast_.horizon);
        return text;
    }

    void add(std::map<LineKey, Line>& lines, const TaskForecast& task) const {
        Line& line = lines[{task.is_copy, task.outcome, task.starts_after > 0, task.reason}];
        ++line.tasks;
        if (task.outcome != PlacementOutcome::placed) return;
        line.earliest_start = std::min(line.earliest_start, task.starts_after);
        line.latest_start = std::max(line.latest_start, task.starts_after);
        ++line.workers[node_of(task.worker)];
    }

    std::string preemption_section() const {
        std::string text = forecast_.preemptions.empty() ? "" : "\npushed aside\n";
        for (const Preemption& each : forecast_.preemptions)
            text +=
                fmt::format("  {} {} on {} in {:.2f} s by {}, loses {:.2f} core-seconds\n",
                            names_.of(snapshot_.jobs[each.key.job_index]), task_name(snapshot_, each.key),
                            node_of(each.worker), to_seconds(each.after), each.preempted_by, each.lost_core_seconds);
        return text;
    }

    std::string duplicate_section() const {
        const size_t alarms = forecast_.alarm_count();
        std::string text = fmt::format("\nlanding twice: {} copies of duplicate_ok tasks, {} others\n",
                                       forecast_.duplicate_runs.size() - alarms, alarms);
        for (const DuplicateRun& each : forecast_.duplicate_runs)
            if (!each.is_allowed)
                text += fmt::format("  ALARM: {} could run on {} at once\n", task_name(snapshot_, each.key),
                                    fmt::join(each.workers, " and "));
        return text;
    }

    std::string node_of(const std::string& worker_id) const {
        auto found = nodes_.find(worker_id);
        return found == nodes_.end() ? worker_id : found->second;
    }

    const Snapshot& snapshot_;
    const Config& config_;
    const PlacementForecast& forecast_;
    QueueNames names_;
    std::map<std::string, std::string> nodes_;  // by worker ID
};

std::string heading(const Preview& preview) {
    const Snapshot& snapshot = preview.snapshot;
    std::string text = fmt::format(
        "snapshot of epoch {} at {:.3f} (wall clock of the owner), a majority followed it {:.3f} s before; {:.0f} s "
        "ahead\n\n",
        snapshot.term, to_seconds(snapshot.wall_clock), to_seconds(snapshot.since_leadership_confirmed),
        to_seconds(preview.baseline.horizon));
    if (size_t count = count_unheard_workers(snapshot))
        text += fmt::format(
            "{} of {} workers have not been heard of since this owner began: nothing is placed on them; take another "
            "snapshot in a few seconds\n\n",
            count, snapshot.workers.size());
    return text;
}

std::string delta_text(const Preview& preview) {
    std::string text = fmt::format(
        "\nWHAT THE CHANGE MOVES (tasks)\n\n{:<32} {:>8} {:>8} {:>8} {:>9} {:>10} {:>14} {:>12} {:>12}\n", "queue",
        "priority", "sooner", "later", "elsewhere", "lands now", "lands no more", "pushed more", "pushed less");
    for (const QueueDelta& each : queue_deltas(preview))
        text += fmt::format("{:<32} {:>8} {:>8} {:>8} {:>9} {:>10} {:>14} {:>12} {:>12}\n", each.name, each.priority,
                            each.sooner, each.later, each.on_another_worker, each.newly_placed, each.no_longer_placed,
                            each.more_preemptions, each.fewer_preemptions);
    return text;
}

}  // namespace

std::string preview_text(const Preview& preview) {
    const Snapshot& snapshot = preview.snapshot;
    std::string text = heading(preview);
    text += "AS THINGS STAND\n\n" + ForecastTableWriter(snapshot, preview.config, preview.baseline).write();
    if (!preview.with_change) return text;
    text +=
        "\nWITH THE CHANGE\n\n" + ForecastTableWriter(snapshot, preview.changed_config, *preview.with_change).write();
    return text + delta_text(preview);
}

}  // namespace calicostall
