// A preview as JSON.
#include "preview/report.hpp"

namespace calicostall {

namespace {

using boost::json::array;
using boost::json::object;

// Writes one outlook of a preview.
class OutlookWriter {
public:
    OutlookWriter(const Snapshot& snapshot, const Config& config)
        : snapshot_(snapshot), config_(config), names_{config} {
        for (const SnapshotWorker& worker : snapshot.workers)
            nodes_[worker.life] = worker.node;
    }

    object write(const Outlook& outlook) const {
        array queues;
        for (const QueueSummary& each : summarize(snapshot_, config_, outlook))
            queues.push_back(write(each));
        return object{{"horizon_us", outlook.horizon},
                      {"cut", outlook.cut},
                      {"plans", outlook.plans},
                      {"alarms", outlook.alarms()},
                      {"queues", std::move(queues)},
                      {"tasks", write_all(outlook.tasks)},
                      {"running", write_all(outlook.running)},
                      {"pushed_aside", write_all(outlook.pushed)},
                      {"twice", write_all(outlook.twice)}};
    }

private:
    template <class Row>
    array write_all(const std::vector<Row>& rows) const {
        array all;
        for (const Row& row : rows)
            all.push_back(write(row));
        return all;
    }

    // What the rows of a task begin with.
    object begin(const TaskKey& key) const {
        return object{{"task", task_text(snapshot_, key)}, {"queue", names_.of(snapshot_.jobs[key.job])}};
    }

    object write(const QueueSummary& each) const {
        object reasons;
        for (const auto& [reason, count] : each.reasons)
            reasons[reason] = count;
        return object{{"queue", each.name},          {"priority", each.priority},      {"jobs", each.jobs},
                      {"running", each.running},     {"waiting", each.waiting},        {"land_now", each.now},
                      {"land_later", each.later},    {"beyond", each.beyond},          {"nowhere", each.nowhere},
                      {"pushed_aside", each.pushed}, {"lost_core_seconds", each.lost}, {"copies", each.copies},
                      {"median_us", each.median()},  {"worst_us", each.worst()},       {"why", reasons}};
    }

    object write(const TaskOutlook& each) const {
        object task = begin(each.key);
        task["landing"] = landing_text(each.landing);
        if (each.landing == Landing::lands) {
            auto node = nodes_.find(each.worker);
            task["worker"] = each.worker;
            task["node"] = node == nodes_.end() ? std::string() : node->second;
            task["at_us"] = each.at;
        }
        if (each.ends >= 0) task["ends_us"] = each.ends;
        if (!each.why.empty()) task["why"] = each.why;
        if (each.copy) task["copy"] = true;
        return task;
    }

    object write(const RunOutlook& each) const {
        object run = begin(each.key);
        run["worker"] = each.worker;
        if (each.ends >= 0) run["ends_us"] = each.ends;
        if (each.stopping) run["stopping"] = true;
        if (each.in_doubt) run["in_doubt"] = true;
        return run;
    }

    object write(const PushedAside& each) const {
        object pushed = begin(each.key);
        pushed["worker"] = each.worker;
        pushed["at_us"] = each.at;
        pushed["was_running"] = each.was_running;
        pushed["by"] = each.by;
        pushed["lost_core_seconds"] = each.lost;
        return pushed;
    }

    object write(const Twice& each) const {
        array workers;
        for (const std::string& worker : each.workers)
            workers.push_back(boost::json::string(worker));
        object twice = begin(each.key);
        twice["workers"] = std::move(workers);
        twice["at_us"] = each.at;
        twice["allowed"] = each.allowed;
        return twice;
    }

    const Snapshot& snapshot_;
    const Config& config_;
    QueueNames names_;
    std::map<std::string, std::string> nodes_;  // by life
};

object moved_json(const Moved& each) {
    return object{{"queue", each.name},
                  {"priority", each.priority},
                  {"sooner", each.sooner},
                  {"later", each.later},
                  {"elsewhere", each.elsewhere},
                  {"lands_now", each.lands_now},
                  {"lands_no_more", each.lands_no_more},
                  {"pushed_more", each.pushed_more},
                  {"pushed_less", each.pushed_less}};
}

object snapshot_json(const Preview& preview) {
    const Snapshot& snapshot = preview.snapshot;
    array jobs;
    for (const SnapshotJob& job : snapshot.jobs)
        jobs.push_back(boost::json::string(job.id));
    return object{{"preview", preview_format},    {"epoch", snapshot.epoch},
                  {"wall_us", snapshot.wall},     {"confirmed_ago_us", snapshot.confirmed_ago},
                  {"alarms", preview.alarms()},   {"workers", snapshot.workers.size()},
                  {"unheard", unheard(snapshot)}, {"jobs", std::move(jobs)}};
}

}  // namespace

object preview_json(const Preview& preview) {
    object whole = snapshot_json(preview);
    whole["stands"] = OutlookWriter(preview.snapshot, preview.config).write(preview.stands);
    if (!preview.changed) return whole;
    whole["changed"] = OutlookWriter(preview.snapshot, preview.changed_config).write(*preview.changed);
    array moved;
    for (const Moved& each : moved_by(preview))
        moved.push_back(moved_json(each));
    whole["moved"] = std::move(moved);
    return whole;
}

}  // namespace calicostall
