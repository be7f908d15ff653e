// A preview as a table for a person and as JSON for programs; the same preview gives the same text.
#pragma once
#include <boost/json.hpp>

#include "preview/forward.hpp"

namespace calicostall {

// What stands, and with a change what would come of it.
struct Preview {
    Snapshot snapshot;
    Config config, changed_config;  // in force, and with the change
    Outlook stands;
    std::optional<Outlook> changed;
    size_t alarms() const { return stands.alarms() + (changed ? changed->alarms() : 0); }
};

// Example: Preview preview = make_preview(snapshot, change, {});
Preview make_preview(Snapshot snapshot, const ProposedChange& change, const ForwardSettings& settings,
                     const PlannerFunction& planner = make_plan);

// Workers that the owner knows from the record only: it has just begun, and a preview cannot place anything on them.
size_t unheard(const Snapshot& snapshot);

// What becomes of the tasks of one queue.
struct QueueSummary {
    std::string name;
    std::int64_t priority = 0;
    size_t jobs = 0, running = 0, waiting = 0, now = 0, later = 0, beyond = 0, nowhere = 0, pushed = 0, copies = 0;
    double lost = 0;  // core-seconds
    std::vector<Micros> waits;
    std::map<std::string, size_t> reasons;
    Micros worst() const { return waits.empty() ? 0 : *std::max_element(waits.begin(), waits.end()); }
    Micros median() const;
};

// Names a job's queue by its route; a queue without a route goes by host and prefix.
struct QueueNames {
    const Config& config;
    std::string of(const SnapshotJob& job) const;
    static std::string of(const Queue& queue) { return queue.name.empty() ? queue.host + queue.prefix : queue.name; }
    std::int64_t priority_of(const SnapshotJob& job) const;
};

// One for each queue, the most urgent first, those with nothing waiting included.
std::vector<QueueSummary> summarize(const Snapshot& snapshot, const Config& config, const Outlook& outlook);

// What a change moves, for each queue.
struct Moved {
    std::string queue;
    std::int64_t priority = 0;
    size_t sooner = 0, later = 0, elsewhere = 0, lands_now = 0, lands_no_more = 0, pushed_more = 0, pushed_less = 0;
    bool any() const { return sooner + later + elsewhere + lands_now + lands_no_more + pushed_more + pushed_less > 0; }
};
// The queues that a change moves; empty without a change.
std::vector<Moved> moved_by(const Preview& preview);

// Example: "5c0e7a21d94b36f8.0.1.17"
std::string task_text(const Snapshot& snapshot, const TaskKey& key);

// The version of the JSON format.
constexpr std::int64_t preview_format = 1;

// Example: std::string text = boost::json::serialize(preview_json(preview));
boost::json::object preview_json(const Preview& preview);

namespace preview_table {

double in_seconds(Micros time);

// Example: "side-1 x4, side-2 x6"
std::string places(const std::map<std::string, size_t>& counts);

std::string outlook_text(const Snapshot& snapshot, const Config& config, const Outlook& outlook);

}  // namespace preview_table

// Example: fmt::print("{}", preview_text(preview));
std::string preview_text(const Preview& preview);

}  // namespace calicostall
