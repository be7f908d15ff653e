// A preview as a table for a person.
#include "preview/report.hpp"

namespace calicostall {

namespace {

// So many workers are named in a line, the rest is counted.
constexpr size_t workers_named = 12;

double in_seconds(Micros time) {
    return double(time) / 1e6;
}

// Example: "side-1 x4, side-2 x6"
std::string places_text(const std::map<std::string, size_t>& counts) {
    std::string text;
    size_t shown = 0;
    for (const auto& [name, count] : counts) {
        if (++shown > workers_named) return text + fmt::format(", {} more", counts.size() - workers_named);
        text += fmt::format("{}{}{}", text.empty() ? "" : ", ", name, count > 1 ? fmt::format(" x{}", count) : "");
    }
    return text;
}

// Tasks of one step for which the same holds make one line.
struct LineKey {
    bool copy = false;
    Landing landing = Landing::waits;
    bool later = false;
    std::string why;
    auto operator<=>(const LineKey&) const = default;
};

struct Line {
    size_t tasks = 0;
    Micros least = std::numeric_limits<Micros>::max();
    Micros most = 0;
    std::map<std::string, size_t> workers;
};

std::string verb_of(const LineKey& key, size_t tasks) {
    if (key.copy) return tasks == 1 ? "copy lands" : "copies land";
    return tasks == 1 ? "lands" : "land";
}

std::string line_text(const LineKey& key, const Line& line, Micros horizon) {
    const std::string verb = verb_of(key, line.tasks);
    if (key.landing == Landing::nowhere) return fmt::format("  {} {} NOWHERE: {}\n", line.tasks, verb, key.why);
    if (key.landing == Landing::waits)
        return fmt::format("  {} still waiting after {:.0f} s: {}\n", line.tasks, in_seconds(horizon), key.why);
    if (!key.later) return fmt::format("  {} {} now on {}\n", line.tasks, verb, places_text(line.workers));
    return fmt::format("  {} {} in {:.2f} to {:.2f} s ({}) on {}\n", line.tasks, verb, in_seconds(line.least),
                       in_seconds(line.most), key.why.empty() ? "waits" : key.why, places_text(line.workers));
}

// Writes one outlook of a preview.
class OutlookText {
public:
    OutlookText(const Snapshot& snapshot, const Config& config, const Outlook& outlook)
        : snapshot_(snapshot), config_(config), outlook_(outlook), names_{config} {
        for (const SnapshotWorker& worker : snapshot.workers)
            nodes_[worker.life] = worker.node.empty() ? worker.life : worker.node;
    }

    std::string write() const {
        std::string text = queues() + steps() + pushed() + twice();
        if (outlook_.cut) text += "the look ahead ended early: too many plans\n";
        return text;
    }

private:
    using TaskPlace = std::vector<TaskOutlook>::const_iterator;

    std::string queues() const {
        std::string text = fmt::format("{:<32} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>7} {:>7} {:>7}\n",
                                       "queue", "priority", "jobs", "running", "waiting", "land now", "later",
                                       "median s", "worst s", "beyond", "pushed", "nowhere");
        for (const QueueSummary& each : summarize(snapshot_, config_, outlook_))
            text += fmt::format("{:<32} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9.2f} {:>9.2f} {:>7} {:>7} {:>7}\n",
                                each.name, each.priority, each.jobs, each.running, each.waiting, each.now, each.later,
                                in_seconds(each.median()), in_seconds(each.worst()), each.beyond, each.pushed,
                                each.nowhere);
        return text;
    }

    // The tasks are in the order of urgency and of their jobs.
    std::string steps() const {
        std::string text;
        for (TaskPlace at = outlook_.tasks.begin(); at != outlook_.tasks.end();) {
            const TaskKey& first = at->key;
            TaskPlace end = std::find_if(at, outlook_.tasks.end(), [&](const TaskOutlook& task) {
                return task.key.job != first.job || task.key.time != first.time || task.key.step != first.step;
            });
            text += step(at, end);
            at = end;
        }
        return text;
    }

    std::string step(TaskPlace first, TaskPlace end) const {
        const TaskKey& key = first->key;
        const SnapshotJob& job = snapshot_.jobs[key.job];
        std::string text =
            fmt::format("\n{} {} time {} step {}: {} tasks\n", names_.of(job), job.id, key.time, key.step, end - first);
        std::map<LineKey, Line> lines;
        for (; first != end; ++first)
            add(lines, *first);
        for (const auto& [kind, line] : lines)
            text += line_text(kind, line, outlook_.horizon);
        return text;
    }

    void add(std::map<LineKey, Line>& lines, const TaskOutlook& task) const {
        Line& line = lines[{task.copy, task.landing, task.at > 0, task.why}];
        ++line.tasks;
        if (task.landing != Landing::lands) return;
        line.least = std::min(line.least, task.at);
        line.most = std::max(line.most, task.at);
        ++line.workers[node(task.worker)];
    }

    std::string pushed() const {
        std::string text = outlook_.pushed.empty() ? "" : "\npushed aside\n";
        for (const PushedAside& each : outlook_.pushed)
            text += fmt::format("  {} {} on {} in {:.2f} s by {}, loses {:.2f} core-seconds\n",
                                names_.of(snapshot_.jobs[each.key.job]), task_text(snapshot_, each.key),
                                node(each.worker), in_seconds(each.at), each.by, each.lost);
        return text;
    }

    std::string twice() const {
        const size_t alarms = outlook_.alarms();
        std::string text = fmt::format("\nlanding twice: {} copies of duplicate_ok tasks, {} others\n",
                                       outlook_.twice.size() - alarms, alarms);
        for (const Twice& each : outlook_.twice)
            if (!each.allowed)
                text += fmt::format("  ALARM: {} could run on {} at once\n", task_text(snapshot_, each.key),
                                    fmt::join(each.workers, " and "));
        return text;
    }

    std::string node(const std::string& life) const {
        auto found = nodes_.find(life);
        return found == nodes_.end() ? life : found->second;
    }

    const Snapshot& snapshot_;
    const Config& config_;
    const Outlook& outlook_;
    QueueNames names_;
    std::map<std::string, std::string> nodes_;  // by life
};

std::string heading(const Preview& preview) {
    const Snapshot& snapshot = preview.snapshot;
    std::string text = fmt::format(
        "snapshot of epoch {} at {:.3f} (wall clock of the owner), a majority followed it {:.3f} s before; {:.0f} s "
        "ahead\n\n",
        snapshot.epoch, in_seconds(snapshot.wall), in_seconds(snapshot.confirmed_ago),
        in_seconds(preview.stands.horizon));
    if (size_t count = unheard(snapshot))
        text += fmt::format(
            "{} of {} workers have not been heard of since this owner began: nothing is placed on them; take another "
            "snapshot in a few seconds\n\n",
            count, snapshot.workers.size());
    return text;
}

std::string moved_text(const Preview& preview) {
    std::string text = fmt::format(
        "\nWHAT THE CHANGE MOVES (tasks)\n\n{:<32} {:>8} {:>8} {:>8} {:>9} {:>10} {:>14} {:>12} {:>12}\n", "queue",
        "priority", "sooner", "later", "elsewhere", "lands now", "lands no more", "pushed more", "pushed less");
    for (const Moved& each : moved_by(preview))
        text += fmt::format("{:<32} {:>8} {:>8} {:>8} {:>9} {:>10} {:>14} {:>12} {:>12}\n", each.name, each.priority,
                            each.sooner, each.later, each.elsewhere, each.lands_now, each.lands_no_more,
                            each.pushed_more, each.pushed_less);
    return text;
}

}  // namespace

std::string preview_text(const Preview& preview) {
    const Snapshot& snapshot = preview.snapshot;
    std::string text = heading(preview);
    text += "AS THINGS STAND\n\n" + OutlookText(snapshot, preview.config, preview.stands).write();
    if (!preview.changed) return text;
    text += "\nWITH THE CHANGE\n\n" + OutlookText(snapshot, preview.changed_config, *preview.changed).write();
    return text + moved_text(preview);
}

}  // namespace calicostall
