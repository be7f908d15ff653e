// Collects a snapshot from the leader's scheduler. Templates, since the scheduler's headers must not be included here:
// previews are compiled without anything that could change the record.
#pragma once
#include "preview/record_view.hpp"
#include "preview/snapshot.hpp"
#include "preview/snapshot_limits.hpp"

namespace calicostall {

// When and in which term a snapshot is taken; times in microseconds.
struct SnapshotMoment {
    std::uint64_t term = 0;
    Micros now = 0;  // of the monotonic clock, as all times of the scheduler
    Micros wall_clock = 0;
    Micros leadership_confirmed_at = 0;
};

// Lower bounds of the encoded size, one byte for each field that the encoding has at the least.
size_t min_encoded_bytes(const SnapshotJob& job);
size_t min_encoded_bytes(const SnapshotWorker& worker);

// Collects one snapshot, part by part. Times of the snapshot are relative to its moment.
template <class Record>
class SnapshotCollector {
public:
    SnapshotCollector(const RecordView<Record>& record, const SnapshotMoment& moment, const SnapshotLimits& limits)
        : record_(record), moment_(moment), max_bytes_(limits.max_bytes) {}

    // Nothing if the snapshot would be larger than the limit. To be called once.
    std::optional<Snapshot> collect() {
        collect_settings();
        record_.each_open_job([this](const auto& job, const auto& expected, const auto& failed) {
            if (!is_full()) add_job(job, expected, failed);
        });
        for (const auto& [worker_id, worker] : record_.workers()) {
            if (is_full()) return std::nullopt;
            add_worker(worker_id, worker);
        }
        if (is_full()) return std::nullopt;
        collect_demand();
        sort_snapshot(snapshot_);
        return std::move(snapshot_);
    }

private:
    bool is_full() const { return has_parts_ && min_bytes_ > max_bytes_; }

    void collect_settings() {
        snapshot_.term = moment_.term;
        snapshot_.wall_clock = moment_.wall_clock;
        snapshot_.since_leadership_confirmed = moment_.now - moment_.leadership_confirmed_at;
        snapshot_.config_text = record_.config().text;
        snapshot_.max_contact_age = record_.settings().max_contact_age;
        snapshot_.lease_expiry_after = record_.settings().lease_expiry_after(0);
        snapshot_.planner_settings = planner_fields(record_.planner());
        min_bytes_ = snapshot_.config_text.size();
    }

    template <class Job, class Expected, class Failed>
    void add_job(const Job& job, const Expected& expected, const Failed& failed) {
        SnapshotJob collected = definition_of(job.definition);
        for (std::uint32_t step = 0; step < job.definition.spec.steps.size(); ++step)
            collected.steps.push_back({job.definition.spec.steps[step], std::max<Micros>(0, expected(step))});
        collected.next_occurrence = job.status.next_occurrence;
        for (const auto& occurrence : job.status.occurrences)
            collected.occurrences.push_back(occurrence_of(occurrence));
        for (const auto& [task, nodes] : failed) {
            const auto& [occurrence, step, index] = task;
            collected.failed_tasks.push_back({occurrence, step, index, {nodes.begin(), nodes.end()}});
        }
        min_bytes_ += min_encoded_bytes(collected);
        snapshot_.jobs.push_back(std::move(collected));
        has_parts_ = true;
    }

    template <class Definition>
    static SnapshotJob definition_of(const Definition& definition) {
        SnapshotJob job;
        job.id = definition.id;
        job.host = definition.host;
        job.prefix = definition.prefix;
        job.service = definition.service;
        job.priority = definition.priority;
        job.max_attempts = definition.max_attempts;
        job.extension_thousandths = definition.extension_thousandths;
        job.target = definition.target;
        job.accepted_wall_clock = definition.accepted_wall_clock;
        job.repeats = definition.spec.repeats;
        job.first_at = definition.spec.first_at;
        job.interval = definition.spec.interval;
        return job;
    }

    template <class Occurrence>
    static SnapshotOccurrence occurrence_of(const Occurrence& occurrence) {
        SnapshotOccurrence collected{occurrence.number, {}};
        for (const auto& step : occurrence.steps) {
            std::vector<SnapshotTaskRange> ranges;
            for (const auto& task : step.tasks) {
                const SnapshotTaskRange range{1, task.is_done, !task.checkpoint.empty(), task.failure_count};
                if (!ranges.empty() && ranges.back().has_same_state(range))
                    ++ranges.back().count;
                else
                    ranges.push_back(range);
            }
            collected.steps.push_back(std::move(ranges));
        }
        return collected;
    }

    template <class Worker>
    void add_worker(const std::string& worker_id, const Worker& worker) {
        SnapshotWorker collected = info_of(worker_id, worker);
        collected.since_last_contact = moment_.now - worker.last_contact_at;
        collected.shuts_down_in = worker.shutdown_at < 0 ? -1 : time_until(worker.shutdown_at);
        collected.lease_expires_in = time_until(worker.lease_expires_at);
        collected.avoided_for = time_until(worker.starts_suspended_until);
        collected.is_paused = record_.is_paused(worker.node, moment_.now);
        collected.reliability_thousandths =
            std::uint64_t(std::clamp(record_.reliability(worker.node, moment_.now), 0.0, 1.0) * 1000);
        collected.slowdown_thousandths = std::uint64_t(std::clamp(worker.slowdown.value() * 1000, 1.0, 1e6));
        for (const auto& [run_id, run] : worker.runs)
            collected.runs.push_back(run_of(run_id, run));
        min_bytes_ += min_encoded_bytes(collected);
        snapshot_.workers.push_back(std::move(collected));
        has_parts_ = true;
    }

    template <class Worker>
    static SnapshotWorker info_of(const std::string& worker_id, const Worker& worker) {
        SnapshotWorker collected;
        collected.worker_id = worker_id;
        collected.node = worker.node;
        collected.service = worker.info.service;
        collected.zone = worker.info.zone;
        collected.fleet_index = worker.fleet_index;
        collected.labels = worker.info.labels;
        collected.cpu = worker.info.cpu;
        collected.memory = worker.info.memory;
        collected.gpu = worker.info.gpu;
        collected.is_placeholder = worker.is_placeholder;
        collected.is_reconciled = worker.is_reconciled;
        collected.is_unresponsive = worker.is_unresponsive;
        collected.is_draining = worker.info.is_draining;
        return collected;
    }

    template <class RunKey, class Run>
    SnapshotRun run_of(const RunKey& id, const Run& run) const {
        SnapshotRun collected;
        collected.job_id = id.job;
        collected.occurrence = id.occurrence;
        collected.step = id.step;
        collected.task_index = id.index;
        collected.run_number = id.run;
        collected.cpu = run.cpu;
        collected.memory = run.memory;
        collected.gpu = run.gpu;
        collected.priority = run.priority;
        collected.state = SnapshotRunState(int(run.state));
        collected.since_order = run.ordered_at > 0 ? std::max<Micros>(0, moment_.now - run.ordered_at) : -1;
        collected.progress_percent = std::clamp<std::int64_t>(run.percent, 0, 100);
        collected.progress_after = std::max<Micros>(0, run.reported_at - run.ordered_at);
        collected.is_backfill = run.is_backfill;
        collected.has_checkpoint = !run.checkpoint.empty();
        collected.may_have_copy = run.is_duplicated;
        return collected;
    }

    void collect_demand() {
        record_.each_demand([this](const std::string& service, std::int64_t priority, double cpu, double memory) {
            snapshot_.recent_demand.push_back({service, priority, std::int64_t(cpu), std::int64_t(memory)});
        });
    }

    // 0 for a time that has passed.
    Micros time_until(Micros at) const { return std::max<Micros>(0, at - moment_.now); }

    const RecordView<Record>& record_;
    const SnapshotMoment& moment_;
    size_t max_bytes_;
    size_t min_bytes_ = 0;    // a lower bound of the encoded size so far
    bool has_parts_ = false;  // a job or a worker was added: the configuration alone never fills a snapshot
    Snapshot snapshot_;
};

// Collects a snapshot of the record; nothing if it would be larger than the limit, which is noticed early.
// Example: auto snapshot = collect_snapshot(RecordView(scheduler), moment, {}); if (!snapshot) respond with 413
template <class Record>
std::optional<Snapshot> collect_snapshot(const RecordView<Record>& record, const SnapshotMoment& moment,
                                         const SnapshotLimits& limits) {
    return SnapshotCollector<Record>(record, moment, limits).collect();
}

}  // namespace calicostall
