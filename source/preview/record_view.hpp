// The one way from the record to a preview: it reads, and nothing else.
#pragma once
#include "preview/snapshot.hpp"

namespace calicostall {

// A window onto the owner's scheduler that has reads only: no call, order, proposal or end can be reached through it.
// Example: snapshot_of(RecordView(scheduler), moment, limits)
template <class Record>
class RecordView {
public:
    explicit RecordView(const Record& record) : record_(record) {}
    const auto& config() const { return record_.config(); }
    const auto& workers() const { return record_.workers(); }
    const auto& settings() const { return record_.settings(); }
    double trust(const std::string& node, Micros now) const { return record_.conducts().trust(node, now); }
    bool paused(const std::string& node, Micros now) const { return record_.conducts().paused(node, now); }
    const PlannerSettings& planner() const { return record_.settings().planner; }
    // What urgent queues used lately: see(service, level, cpu, memory).
    template <class See>
    void each_demand(See see) const {
        record_.each_demand(std::move(see));
    }
    // Calls visit(job, expected, failed) for each open job; expected(step) is how long a task of it takes as learnt.
    template <class Visit>
    void each_open_job(Visit visit) const {
        record_.each_open_job(std::move(visit));
    }

private:
    const Record& record_;
};

// When and under which epoch a snapshot is taken; times in microseconds.
struct SnapshotMoment {
    std::uint64_t epoch = 0;
    Micros now = 0, wall = 0, confirmed_at = 0;
};

// What bounds the cost of snapshots to the owner.
struct SnapshotLimits {
    size_t bytes = 4 << 20;
    Micros apart = seconds(1);  // at most one snapshot in this time
};

// At most one snapshot in a while; a moment that was refused doesn't count.
// Example: if (!pause.grant(now)) answer 429
class SnapshotPause {
public:
    explicit SnapshotPause(Micros apart) : apart_(apart) {}
    bool grant(Micros now);

private:
    Micros apart_;
    std::optional<Micros> last_;
};

// Nothing when the snapshot would be larger than `limits.bytes`; the making stops as soon as that is sure.
// Example: auto snapshot = snapshot_of(RecordView(scheduler), {epoch, now, wall, confirmed_at}, {}); if (!snapshot)
// answer 413
template <class Record>
std::optional<Snapshot> snapshot_of(const RecordView<Record>& record, const SnapshotMoment& moment,
                                    const SnapshotLimits& limits) {
    Snapshot snapshot;
    snapshot.epoch = moment.epoch;
    snapshot.wall = moment.wall;
    snapshot.confirmed_ago = moment.now - moment.confirmed_at;
    snapshot.config = record.config().text;
    snapshot.fresh = record.settings().fresh;
    snapshot.lapse = record.settings().lapse_after(0);
    snapshot.planner = planner_fields(record.planner());
    // Never more than the bytes that are packed: one for each field that the frame has.
    size_t least = snapshot.config.size();
    bool full = false;
    record.each_open_job([&](const auto& job, const auto& expected, const auto& failed) {
        if (full) return;
        SnapshotJob each;
        each.id = job.fixed.id, each.host = job.fixed.host, each.prefix = job.fixed.prefix,
        each.service = job.fixed.service;
        each.priority = job.fixed.priority, each.attempts_most = job.fixed.attempts_most,
        each.extension_thousandths = job.fixed.extension_thousandths;
        each.target = job.fixed.target, each.accepted_wall = job.fixed.accepted_wall;
        each.repeats = job.fixed.spec.repeats, each.first_at = job.fixed.spec.first_at,
        each.interval = job.fixed.spec.interval;
        each.next_time = job.moving.next_time;
        for (std::uint32_t step = 0; step < job.fixed.spec.steps.size(); ++step)
            each.steps.push_back({job.fixed.spec.steps[step], std::max<Micros>(0, expected(step))});
        least += 50 + 20 * each.steps.size();
        for (const auto& time : job.moving.times) {
            SnapshotTime times{time.number, {}};
            for (const auto& step : time.steps) {
                std::vector<SnapshotTasks> ranges;
                for (const auto& task : step.tasks) {
                    SnapshotTasks state{1, task.done, !task.saved.empty(), task.failures};
                    if (!ranges.empty() && ranges.back().same_state(state))
                        ++ranges.back().count;
                    else
                        ranges.push_back(state);
                }
                least += 1 + 5 * ranges.size();
                times.steps.push_back(std::move(ranges));
            }
            each.times.push_back(std::move(times));
        }
        for (const auto& [task, nodes] : failed) {
            const auto& [time, step, index] = task;
            each.failed.push_back({time, step, index, {nodes.begin(), nodes.end()}});
        }
        least += 6 * each.failed.size();
        snapshot.jobs.push_back(std::move(each));
        full = least > limits.bytes;
    });
    for (const auto& [life, worker] : record.workers()) {
        if (full) return std::nullopt;
        SnapshotWorker each;
        each.life = life, each.node = worker.node, each.service = worker.account.service,
        each.zone = worker.account.zone, each.labels = worker.account.labels;
        each.cpu = worker.account.cpu, each.memory = worker.account.memory, each.gpu = worker.account.gpu;
        each.placeholder = worker.placeholder, each.reconciled = worker.reconciled, each.silent = worker.silent,
        each.draining = worker.account.draining;
        each.heard_ago = moment.now - worker.heard_at;
        each.leaves_in = worker.leaves_at < 0 ? -1 : std::max<Micros>(0, worker.leaves_at - moment.now);
        each.lapses_in = std::max<Micros>(0, worker.lapses_at - moment.now);
        each.avoided_for = std::max<Micros>(0, worker.avoided_until - moment.now);
        each.place = worker.place;
        each.paused = record.paused(worker.node, moment.now);
        each.trust_thousandths = std::uint64_t(std::clamp(record.trust(worker.node, moment.now), 0.0, 1.0) * 1000);
        each.pace_thousandths = std::uint64_t(std::clamp(worker.pace.value() * 1000, 1.0, 1e6));
        for (const auto& [name, run] : worker.runs) {
            SnapshotRun one;
            one.job = name.job, one.time = name.time, one.step = name.step, one.index = name.index, one.run = name.run;
            one.cpu = run.cpu, one.memory = run.memory, one.gpu = run.gpu, one.priority = run.priority;
            one.state = SnapshotRunState(int(run.state));
            one.elapsed = run.ordered_at > 0 ? std::max<Micros>(0, moment.now - run.ordered_at) : -1;
            one.percent = std::clamp<std::int64_t>(run.percent, 0, 100);
            one.shown = std::max<Micros>(0, run.shown_at - run.ordered_at);
            one.backfill = run.backfill;
            one.saved = !run.saved.empty(), one.doubled = run.doubled;
            each.runs.push_back(std::move(one));
        }
        least += 30 + 40 * each.runs.size();
        snapshot.workers.push_back(std::move(each));
        full = least > limits.bytes;
    }
    record.each_demand([&](const std::string& service, std::int64_t level, double cpu, double memory) {
        snapshot.demand.push_back({service, level, std::int64_t(cpu), std::int64_t(memory)});
    });
    std::sort(snapshot.demand.begin(), snapshot.demand.end(),
              [](const SnapshotDemand& left, const SnapshotDemand& right) {
                  return std::tie(left.service, left.level) < std::tie(right.service, right.level);
              });
    // One order whatever the owner's tables are kept in.
    std::sort(snapshot.jobs.begin(), snapshot.jobs.end(), [](const SnapshotJob& left, const SnapshotJob& right) {
        return std::tie(left.priority, left.accepted_wall, left.id) <
               std::tie(right.priority, right.accepted_wall, right.id);
    });
    std::sort(snapshot.workers.begin(), snapshot.workers.end(),
              [](const SnapshotWorker& left, const SnapshotWorker& right) {
                  return std::tie(left.place, left.life) < std::tie(right.place, right.life);
              });
    return full ? std::nullopt : std::optional(std::move(snapshot));
}

}  // namespace calicostall
