// A preview as JSON.
#include "preview/report.hpp"

namespace calicostall {

namespace {

using boost::json::array;
using boost::json::object;

// Writes one forecast of a preview.
class ForecastJsonWriter {
public:
    ForecastJsonWriter(const Snapshot& snapshot, const Config& config)
        : snapshot_(snapshot), config_(config), names_{config} {
        for (const SnapshotWorker& worker : snapshot.workers)
            nodes_[worker.worker_id] = worker.node;
    }

    object write(const PlacementForecast& forecast) const {
        array queues;
        for (const QueueSummary& each : summarize(snapshot_, config_, forecast))
            queues.push_back(write(each));
        return object{{"horizon_us", forecast.horizon},
                      {"cut", forecast.is_truncated},
                      {"plans", forecast.plan_count},
                      {"alarms", forecast.alarm_count()},
                      {"queues", std::move(queues)},
                      {"tasks", write_all(forecast.tasks)},
                      {"running", write_all(forecast.running)},
                      {"pushed_aside", write_all(forecast.preemptions)},
                      {"twice", write_all(forecast.duplicate_runs)}};
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
    object task_fields(const TaskKey& key) const {
        return object{{"task", task_name(snapshot_, key)}, {"queue", names_.of(snapshot_.jobs[key.job_index])}};
    }

    object write(const QueueSummary& each) const {
        object reasons;
        for (const auto& [reason, count] : each.reason_counts)
            reasons[reason] = count;
        return object{{"queue", each.name},
                      {"priority", each.priority},
                      {"jobs", each.jobs},
                      {"running", each.running},
                      {"waiting", each.waiting},
                      {"land_now", each.placed_now},
                      {"land_later", each.placed_later},
                      {"beyond", each.beyond_horizon},
                      {"nowhere", each.infeasible},
                      {"pushed_aside", each.preempted},
                      {"lost_core_seconds", each.lost_core_seconds},
                      {"copies", each.copies},
                      {"median_us", each.median_start_delay()},
                      {"worst_us", each.max_start_delay()},
                      {"why", reasons}};
    }

    object write(const TaskForecast& each) const {
        object task = task_fields(each.key);
        task["landing"] = placement_outcome_text(each.outcome);
        if (each.outcome == PlacementOutcome::placed) {
            auto node = nodes_.find(each.worker);
            task["worker"] = each.worker;
            task["node"] = node == nodes_.end() ? std::string() : node->second;
            task["at_us"] = each.starts_after;
        }
        if (each.ends_after >= 0) task["ends_us"] = each.ends_after;
        if (!each.reason.empty()) task["why"] = each.reason;
        if (each.is_copy) task["copy"] = true;
        return task;
    }

    object write(const RunForecast& each) const {
        object run = task_fields(each.key);
        run["worker"] = each.worker;
        if (each.ends_after >= 0) run["ends_us"] = each.ends_after;
        if (each.is_stopping) run["stopping"] = true;
        if (each.is_in_doubt) run["in_doubt"] = true;
        return run;
    }

    object write(const Preemption& each) const {
        object preemption = task_fields(each.key);
        preemption["worker"] = each.worker;
        preemption["at_us"] = each.after;
        preemption["was_running"] = each.was_running;
        preemption["by"] = each.preempted_by;
        preemption["lost_core_seconds"] = each.lost_core_seconds;
        return preemption;
    }

    object write(const DuplicateRun& each) const {
        array workers;
        for (const std::string& worker : each.workers)
            workers.push_back(boost::json::string(worker));
        object duplicate = task_fields(each.key);
        duplicate["workers"] = std::move(workers);
        duplicate["at_us"] = each.after;
        duplicate["allowed"] = each.is_allowed;
        return duplicate;
    }

    const Snapshot& snapshot_;
    const Config& config_;
    QueueNames names_;
    std::map<std::string, std::string> nodes_;  // by worker ID
};

object delta_json(const QueueDelta& each) {
    return object{{"queue", each.name},
                  {"priority", each.priority},
                  {"sooner", each.sooner},
                  {"later", each.later},
                  {"elsewhere", each.on_another_worker},
                  {"lands_now", each.newly_placed},
                  {"lands_no_more", each.no_longer_placed},
                  {"pushed_more", each.more_preemptions},
                  {"pushed_less", each.fewer_preemptions}};
}

object snapshot_json(const Preview& preview) {
    const Snapshot& snapshot = preview.snapshot;
    array jobs;
    for (const SnapshotJob& job : snapshot.jobs)
        jobs.push_back(boost::json::string(job.id));
    return object{{"preview", preview_format},
                  {"epoch", snapshot.term},
                  {"wall_us", snapshot.wall_clock},
                  {"confirmed_ago_us", snapshot.since_leadership_confirmed},
                  {"alarms", preview.alarm_count()},
                  {"workers", snapshot.workers.size()},
                  {"unheard", count_unheard_workers(snapshot)},
                  {"jobs", std::move(jobs)}};
}

}  // namespace

object preview_json(const Preview& preview) {
    object document = snapshot_json(preview);
    document["stands"] = ForecastJsonWriter(preview.snapshot, preview.config).write(preview.baseline);
    if (!preview.with_change) return document;
    document["changed"] = ForecastJsonWriter(preview.snapshot, preview.changed_config).write(*preview.with_change);
    array deltas;
    for (const QueueDelta& each : queue_deltas(preview))
        deltas.push_back(delta_json(each));
    document["moved"] = std::move(deltas);
    return document;
}

}  // namespace calicostall
