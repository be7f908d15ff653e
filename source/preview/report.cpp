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

Micros QueueSummary::median() const {
    if (waits.empty()) return 0;
    std::vector<Micros> sorted = waits;
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 2];
}

std::string QueueNames::of(const SnapshotJob& job) const {
    const Queue* queue = config.find_exact(job.host, job.prefix);
    return queue ? of(*queue) : fmt::format("{}{} (no route)", job.host, job.prefix);
}

std::int64_t QueueNames::priority_of(const SnapshotJob& job) const {
    const Queue* queue = config.find_exact(job.host, job.prefix);
    return queue ? queue->priority : job.priority;
}

std::vector<QueueSummary> summarize(const Snapshot& snapshot, const Config& config, const Outlook& outlook) {
    QueueNames names{config};
    std::map<std::pair<std::int64_t, std::string>, QueueSummary> by;
    auto at = [&](const std::string& name, std::int64_t priority) -> QueueSummary& {
        QueueSummary& summary = by[{priority, name}];
        summary.name = name, summary.priority = priority;
        return summary;
    };
    for (const Queue& queue : config.queues)
        at(QueueNames::of(queue), queue.priority);
    auto of = [&](const TaskKey& key) -> QueueSummary& {
        return at(names.of(snapshot.jobs[key.job]), names.priority_of(snapshot.jobs[key.job]));
    };
    for (const SnapshotJob& job : snapshot.jobs)
        at(names.of(job), names.priority_of(job)).jobs++;
    for (const RunOutlook& run : outlook.running)
        of(run.key).running++;
    for (const TaskOutlook& task : outlook.tasks) {
        QueueSummary& summary = of(task.key);
        if (task.copy) {
            summary.copies++;
            continue;
        }
        summary.waiting++;
        if (!task.why.empty()) summary.reasons[task.why]++;
        if (task.landing == Landing::nowhere)
            summary.nowhere++;
        else if (task.landing == Landing::waits)
            summary.beyond++;
        else
            (task.at == 0 ? summary.now : summary.later)++;
        if (task.landing == Landing::lands) summary.waits.push_back(task.at);
    }
    for (const PushedAside& pushed : outlook.pushed)
        of(pushed.key).pushed++, of(pushed.key).lost += pushed.lost;
    std::vector<QueueSummary> all;
    for (auto& [key, summary] : by)
        all.push_back(std::move(summary));
    return all;
}

std::vector<Moved> moved_by(const Preview& preview) {
    std::vector<Moved> all;
    if (!preview.changed) return all;
    QueueNames names{preview.changed_config};
    std::map<std::pair<std::int64_t, std::string>, Moved> by;
    auto at = [&](const std::string& queue, std::int64_t priority) -> Moved& {
        Moved& moved = by[{priority, queue}];
        moved.queue = queue, moved.priority = priority;
        return moved;
    };
    for (const Queue& queue : preview.changed_config.queues)
        at(QueueNames::of(queue), queue.priority);
    auto of = [&](const TaskKey& key) -> Moved& {
        return at(names.of(preview.snapshot.jobs[key.job]), names.priority_of(preview.snapshot.jobs[key.job]));
    };
    std::map<TaskKey, const TaskOutlook*> before;
    std::map<TaskKey, size_t> pushed;
    for (const TaskOutlook& task : preview.stands.tasks)
        if (!task.copy) before[task.key] = &task;
    for (const PushedAside& each : preview.stands.pushed)
        pushed[each.key]++;
    for (const TaskOutlook& task : preview.changed->tasks) {
        auto found = before.find(task.key);
        if (task.copy || found == before.end()) continue;
        const TaskOutlook& was = *found->second;
        Moved& moved = of(task.key);
        bool lands = task.landing == Landing::lands, landed = was.landing == Landing::lands;
        if (lands && !landed)
            moved.lands_now++;
        else if (!lands && landed)
            moved.lands_no_more++;
        if (!lands || !landed) continue;
        if (task.at < was.at) moved.sooner++;
        if (task.at > was.at) moved.later++;
        if (task.worker != was.worker) moved.elsewhere++;
    }
    for (const PushedAside& each : preview.changed->pushed) {
        auto found = pushed.find(each.key);
        if (found == pushed.end())
            of(each.key).pushed_more++;
        else if (--found->second == 0)
            pushed.erase(found);
    }
    for (const auto& [key, count] : pushed)
        of(key).pushed_less += count;
    for (auto& [key, moved] : by)
        all.push_back(std::move(moved));
    return all;
}

std::string task_text(const Snapshot& snapshot, const TaskKey& key) {
    return fmt::format("{}.{}.{}.{}", snapshot.jobs[key.job].id, key.time, key.step, key.index);
}

boost::json::object preview_json(const Preview& preview) {
    using boost::json::array;
    using boost::json::object;
    const Snapshot& snapshot = preview.snapshot;
    std::map<std::string, std::string> nodes;
    for (const SnapshotWorker& worker : snapshot.workers)
        nodes[worker.life] = worker.node;
    auto part = [&](const Outlook& outlook, const Config& config) {
        QueueNames names{config};
        auto queue_of = [&](const TaskKey& key) { return names.of(snapshot.jobs[key.job]); };
        array queues, tasks, running, pushed, twice;
        for (const QueueSummary& each : summarize(snapshot, config, outlook)) {
            object reasons;
            for (const auto& [reason, count] : each.reasons)
                reasons[reason] = count;
            queues.push_back(object{{"queue", each.name},
                                    {"priority", each.priority},
                                    {"jobs", each.jobs},
                                    {"running", each.running},
                                    {"waiting", each.waiting},
                                    {"land_now", each.now},
                                    {"land_later", each.later},
                                    {"beyond", each.beyond},
                                    {"nowhere", each.nowhere},
                                    {"pushed_aside", each.pushed},
                                    {"lost_core_seconds", each.lost},
                                    {"copies", each.copies},
                                    {"median_us", each.median()},
                                    {"worst_us", each.worst()},
                                    {"why", reasons}});
        }
        for (const TaskOutlook& each : outlook.tasks) {
            object task{{"task", task_text(snapshot, each.key)},
                        {"queue", queue_of(each.key)},
                        {"landing", landing_text(each.landing)}};
            if (each.landing == Landing::lands)
                task["worker"] = each.worker, task["node"] = nodes[each.worker], task["at_us"] = each.at;
            if (each.ends >= 0) task["ends_us"] = each.ends;
            if (!each.why.empty()) task["why"] = each.why;
            if (each.copy) task["copy"] = true;
            tasks.push_back(std::move(task));
        }
        for (const RunOutlook& each : outlook.running) {
            object run{{"task", task_text(snapshot, each.key)}, {"queue", queue_of(each.key)}, {"worker", each.worker}};
            if (each.ends >= 0) run["ends_us"] = each.ends;
            if (each.stopping) run["stopping"] = true;
            if (each.in_doubt) run["in_doubt"] = true;
            running.push_back(std::move(run));
        }
        for (const PushedAside& each : outlook.pushed)
            pushed.push_back(object{{"task", task_text(snapshot, each.key)},
                                    {"queue", queue_of(each.key)},
                                    {"worker", each.worker},
                                    {"at_us", each.at},
                                    {"was_running", each.was_running},
                                    {"by", each.by},
                                    {"lost_core_seconds", each.lost}});
        for (const Twice& each : outlook.twice) {
            array workers;
            for (const std::string& worker : each.workers)
                workers.push_back(boost::json::string(worker));
            twice.push_back(object{{"task", task_text(snapshot, each.key)},
                                   {"queue", queue_of(each.key)},
                                   {"workers", std::move(workers)},
                                   {"at_us", each.at},
                                   {"allowed", each.allowed}});
        }
        return object{{"horizon_us", outlook.horizon}, {"cut", outlook.cut},
                      {"plans", outlook.plans},        {"alarms", outlook.alarms()},
                      {"queues", std::move(queues)},   {"tasks", std::move(tasks)},
                      {"running", std::move(running)}, {"pushed_aside", std::move(pushed)},
                      {"twice", std::move(twice)}};
    };
    object whole{{"preview", preview_format},   {"epoch", snapshot.epoch},
                 {"wall_us", snapshot.wall},    {"confirmed_ago_us", snapshot.confirmed_ago},
                 {"alarms", preview.alarms()},  {"workers", snapshot.workers.size()},
                 {"unheard", unheard(snapshot)}};
    array jobs;
    for (const SnapshotJob& job : snapshot.jobs)
        jobs.push_back(boost::json::string(job.id));
    whole["jobs"] = std::move(jobs);
    whole["stands"] = part(preview.stands, preview.config);
    if (!preview.changed) return whole;
    whole["changed"] = part(*preview.changed, preview.changed_config);
    array moved;
    for (const Moved& each : moved_by(preview))
        moved.push_back(object{{"queue", each.queue},
                               {"priority", each.priority},
                               {"sooner", each.sooner},
                               {"later", each.later},
                               {"elsewhere", each.elsewhere},
                               {"lands_now", each.lands_now},
                               {"lands_no_more", each.lands_no_more},
                               {"pushed_more", each.pushed_more},
                               {"pushed_less", each.pushed_less}});
    whole["moved"] = std::move(moved);
    return whole;
}

namespace preview_table {

double in_seconds(Micros time) {
    return double(time) / 1e6;
}

std::string places(const std::map<std::string, size_t>& counts) {
    std::string text;
    size_t shown = 0;
    for (const auto& [name, count] : counts) {
        if (++shown > 12) return text + fmt::format(", {} more", counts.size() - 12);
        text += fmt::format("{}{}{}", text.empty() ? "" : ", ", name, count > 1 ? fmt::format(" x{}", count) : "");
    }
    return text;
}

std::string outlook_text(const Snapshot& snapshot, const Config& config, const Outlook& outlook) {
    QueueNames names{config};
    std::map<std::string, std::string> nodes;
    for (const SnapshotWorker& worker : snapshot.workers)
        nodes[worker.life] = worker.node.empty() ? worker.life : worker.node;
    auto node = [&](const std::string& life) { return nodes.contains(life) ? nodes.at(life) : life; };
    std::string text = fmt::format("{:<32} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>7} {:>7} {:>7}\n",
                                   "queue", "priority", "jobs", "running", "waiting", "land now", "later", "median s",
                                   "worst s", "beyond", "pushed", "nowhere");
    for (const QueueSummary& each : summarize(snapshot, config, outlook))
        text +=
            fmt::format("{:<32} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9.2f} {:>9.2f} {:>7} {:>7} {:>7}\n", each.name,
                        each.priority, each.jobs, each.running, each.waiting, each.now, each.later,
                        in_seconds(each.median()), in_seconds(each.worst()), each.beyond, each.pushed, each.nowhere);
    // The tasks are in the order of urgency and of their jobs; those of one step and one kind make one line.
    for (size_t at = 0; at < outlook.tasks.size();) {
        const TaskOutlook& first = outlook.tasks[at];
        auto same_step = [&](const TaskOutlook& other) {
            return other.key.job == first.key.job && other.key.time == first.key.time &&
                   other.key.step == first.key.step;
        };
        size_t end = at;
        while (end < outlook.tasks.size() && same_step(outlook.tasks[end]))
            ++end;
        const SnapshotJob& job = snapshot.jobs[first.key.job];
        text += fmt::format("\n{} {} time {} step {}: {} tasks\n", names.of(job), job.id, first.key.time,
                            first.key.step, end - at);
        struct Group {
            size_t tasks = 0;
            Micros least = std::numeric_limits<Micros>::max(), most = 0;
            std::map<std::string, size_t> workers;
        };
        std::map<std::tuple<bool, Landing, bool, std::string>, Group> groups;
        for (; at < end; ++at) {
            const TaskOutlook& task = outlook.tasks[at];
            Group& group = groups[{task.copy, task.landing, task.at > 0, task.why}];
            ++group.tasks;
            if (task.landing != Landing::lands) continue;
            group.least = std::min(group.least, task.at), group.most = std::max(group.most, task.at);
            ++group.workers[node(task.worker)];
        }
        for (const auto& [key, group] : groups) {
            const auto& [copy, landing, later, why] = key;
            std::string what = copy               ? (group.tasks == 1 ? "copy lands" : "copies land")
                               : group.tasks == 1 ? "lands"
                                                  : "land";
            if (landing == Landing::nowhere)
                text += fmt::format("  {} {} NOWHERE: {}\n", group.tasks, what, why);
            else if (landing == Landing::waits)
                text += fmt::format("  {} still waiting after {:.0f} s: {}\n", group.tasks, in_seconds(outlook.horizon),
                                    why);
            else if (!later)
                text += fmt::format("  {} {} now on {}\n", group.tasks, what, places(group.workers));
            else
                text += fmt::format("  {} {} in {:.2f} to {:.2f} s ({}) on {}\n", group.tasks, what,
                                    in_seconds(group.least), in_seconds(group.most), why.empty() ? "waits" : why,
                                    places(group.workers));
        }
    }
    if (!outlook.pushed.empty()) text += "\npushed aside\n";
    for (const PushedAside& each : outlook.pushed)
        text += fmt::format("  {} {} on {} in {:.2f} s by {}, loses {:.2f} core-seconds\n",
                            names.of(snapshot.jobs[each.key.job]), task_text(snapshot, each.key), node(each.worker),
                            in_seconds(each.at), each.by, each.lost);
    size_t allowed = outlook.twice.size() - outlook.alarms();
    text += fmt::format("\nlanding twice: {} copies of duplicate_ok tasks, {} others\n", allowed, outlook.alarms());
    for (const Twice& each : outlook.twice)
        if (!each.allowed)
            text += fmt::format("  ALARM: {} could run on {} at once\n", task_text(snapshot, each.key),
                                fmt::join(each.workers, " and "));
    if (outlook.cut) text += "the look ahead ended early: too many plans\n";
    return text;
}

}  // namespace preview_table

std::string preview_text(const Preview& preview) {
    const Snapshot& snapshot = preview.snapshot;
    std::string text = fmt::format(
        "snapshot of epoch {} at {:.3f} (wall clock of the owner), a majority followed it {:.3f} s before; {:.0f} s "
        "ahead\n\n",
        snapshot.epoch, preview_table::in_seconds(snapshot.wall), preview_table::in_seconds(snapshot.confirmed_ago),
        preview_table::in_seconds(preview.stands.horizon));
    if (size_t count = unheard(snapshot))
        text += fmt::format(
            "{} of {} workers have not been heard of since this owner began: nothing is placed on them; take another "
            "snapshot in a few seconds\n\n",
            count, snapshot.workers.size());
    text += "AS THINGS STAND\n\n" + preview_table::outlook_text(snapshot, preview.config, preview.stands);
    if (!preview.changed) return text;
    text += "\nWITH THE CHANGE\n\n" + preview_table::outlook_text(snapshot, preview.changed_config, *preview.changed);
    text += fmt::format(
        "\nWHAT THE CHANGE MOVES (tasks)\n\n{:<32} {:>8} {:>8} {:>8} {:>9} {:>10} {:>14} {:>12} {:>12}\n", "queue",
        "priority", "sooner", "later", "elsewhere", "lands now", "lands no more", "pushed more", "pushed less");
    for (const Moved& each : moved_by(preview))
        text += fmt::format("{:<32} {:>8} {:>8} {:>8} {:>9} {:>10} {:>14} {:>12} {:>12}\n", each.queue, each.priority,
                            each.sooner, each.later, each.elsewhere, each.lands_now, each.lands_no_more,
                            each.pushed_more, each.pushed_less);
    return text;
}

}  // namespace calicostall
