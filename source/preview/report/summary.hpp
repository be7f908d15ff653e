// A forecast summarized by queue, as counts.
#pragma once
#include "preview/placement_forecast.hpp"
#include "preview/snapshot.hpp"
#include "shared/settings/config.hpp"

namespace calicostall {

// Names a job's queue by its route; a queue without a route goes by host and prefix.
// Example: QueueNames{config}.of(job) == "rider match"
struct QueueNames {
    const Config& config;
    std::string of(const SnapshotJob& job) const;
    static std::string of(const Queue& queue) {
        return queue.name.empty() ? queue.host + queue.path_prefix : queue.name;
    }
    std::int64_t priority_of(const SnapshotJob& job) const;
};

// The forecast of one queue's tasks.
struct QueueSummary {
    std::string name;
    std::int64_t priority = 0;
    size_t jobs = 0;
    size_t running = 0;
    size_t waiting = 0;  // tasks; the sum of the next four
    size_t placed_now = 0;
    size_t placed_later = 0;
    size_t beyond_horizon = 0;  // not placed within the horizon
    size_t infeasible = 0;
    size_t preempted = 0;  // runs
    size_t copies = 0;
    double lost_core_seconds = 0;                 // of preempted runs
    std::vector<Micros> start_delays;             // of placed tasks, microseconds
    std::map<std::string, size_t> reason_counts;  // why tasks wait
    Micros max_start_delay() const {
        return start_delays.empty() ? 0 : *std::max_element(start_delays.begin(), start_delays.end());
    }
    Micros median_start_delay() const;
};

// One for each queue, the most urgent first, those with nothing waiting included.
std::vector<QueueSummary> summarize(const Snapshot& snapshot, const Config& config, const PlacementForecast& forecast);

// One value for each queue, the most urgent first: those of the configuration, and those of jobs without a route.
// `Value` has a name and a priority; the table owns the values until release().
// Example: QueueTable<QueueSummary> table(snapshot, config); table.of(task.key).waiting++; return table.release();
template <class Value>
class QueueTable {
public:
    QueueTable(const Snapshot& snapshot, const Config& config) : snapshot_(snapshot), names_{config} {
        for (const Queue& queue : config.queues)
            at(QueueNames::of(queue), queue.priority);
    }
    Value& of(const SnapshotJob& job) { return at(names_.of(job), names_.priority_of(job)); }
    Value& of(const TaskKey& key) { return of(snapshot_.jobs[key.job_index]); }
    std::vector<Value> release() {
        std::vector<Value> all;
        for (auto& [rank, value] : values_)
            all.push_back(std::move(value));
        return all;
    }

private:
    struct Rank {
        std::int64_t priority = 0;
        std::string name;
        auto operator<=>(const Rank&) const = default;
    };
    Value& at(const std::string& name, std::int64_t priority) {
        Value& value = values_[{priority, name}];
        value.name = name;
        value.priority = priority;
        return value;
    }

    const Snapshot& snapshot_;
    QueueNames names_;
    std::map<Rank, Value> values_;
};

}  // namespace calicostall
