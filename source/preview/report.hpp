// A preview, and its two forms: a table for a person and JSON for programs. The same preview gives the same text.
#pragma once
#include <boost/json.hpp>

#include "preview/placement_simulator.hpp"
#include "preview/report/delta.hpp"
#include "preview/report/summary.hpp"

namespace calicostall {

// The forecast without the proposed change and, if there is one, the forecast with it.
struct Preview {
    Snapshot snapshot;
    Config config;          // the snapshot's, in force
    Config changed_config;  // with the change
    PlacementForecast baseline;
    std::optional<PlacementForecast> with_change;
    size_t alarm_count() const { return baseline.alarm_count() + (with_change ? with_change->alarm_count() : 0); }
};

// Simulates the snapshot without and with the change.
// Example: Preview preview = make_preview(snapshot, change, {});
Preview make_preview(Snapshot snapshot, const ProposedChange& change, const SimulationSettings& settings,
                     const PlannerFunction& planner = make_plan);

// Workers that the leader knows from the record only, since it has just begun: a preview places no tasks on them.
size_t count_unheard_workers(const Snapshot& snapshot);

// What the change does to each queue; empty without a change.
std::vector<QueueDelta> queue_deltas(const Preview& preview);

// "JOB.OCCURRENCE.STEP.INDEX". Example: "5c0e7a21d94b36f8.0.1.17"
std::string task_name(const Snapshot& snapshot, const TaskKey& key);

// The version of the JSON format; a change of a field's name or meaning needs a new one.
constexpr std::int64_t preview_format = 1;

// Example: std::string text = boost::json::serialize(preview_json(preview));
boost::json::object preview_json(const Preview& preview);

// Example: fmt::print("{}", preview_text(preview));
std::string preview_text(const Preview& preview);

}  // namespace calicostall
