// A proposed change: a configuration, planner settings, workers that drain, shut down or join, or any of these
// together.
#pragma once
#include "preview/snapshot.hpp"

namespace calicostall {

enum class WorkerChangeKind { drain, shut_down, join };

// A worker that drains, shuts down or joins some time after the snapshot.
struct WorkerChange {
    WorkerChangeKind kind = WorkerChangeKind::drain;
    std::string worker_name;        // ID of a worker of the snapshot; of one that joins: its node
    Micros after = 0;               // how long after the snapshot, microseconds
    SnapshotWorker joining_worker;  // only of one that joins
};

// What a preview is asked to assume.
struct ProposedChange {
    std::optional<Config> config;
    std::map<std::string, double> planner_settings;  // by option name; times in seconds
    std::vector<WorkerChange> workers;
    bool empty() const { return !config && planner_settings.empty() && workers.empty(); }
};

// The snapshot's planner settings, with those of the change in place of theirs.
PlannerSettings planner_settings_of(const Snapshot& snapshot, const ProposedChange& change);

// Reads a proposed configuration. One that control would refuse on top of the snapshot's is refused here as well:
// everything wrong becomes a finding and the change is left as it was. `snapshot` may be nullptr.
// Example: read_configuration(text, "next.json", &snapshot, change, findings);
void read_configuration(std::string_view text, const std::string& name, const Snapshot* snapshot,
                        ProposedChange& change, Findings& findings);

// Reads a change file and checks it against the snapshot and the names of the planner's settings; everything wrong
// becomes a finding. Without a snapshot (nullptr) it is not checked whether the workers exist.
// Example: {"planner": {"ratio-priority": 3}, "workers": [{"drain": "side-4"}, {"leave": "side-5", "after_ms": 500},
//           {"join": {"node": "side-12", "service": "match", "cpu": 64000, "task_mem_mb": 128000, "labels":
//           ["kigamboni", "r3"]}}]}
void read_change(std::string_view text, const std::string& name, const Snapshot* snapshot,
                 const std::vector<std::string>& planner_names, ProposedChange& change, Findings& findings);

}  // namespace calicostall
