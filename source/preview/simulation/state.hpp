// The state of a simulation: jobs, workers and runs at one moment, and the forecast written so far. Plain data, shared
// by the parts of the simulation in the other files of this folder, which change it.
#pragma once
#include "control/plan/planner.hpp"
#include "preview/placement_forecast.hpp"
#include "preview/proposed_change.hpp"
#include "preview/simulation/events.hpp"

namespace calicostall {

// One task of one occurrence of a job.
struct ProjectedTask {
    bool is_done = false;
    std::uint32_t failures = 0;
    std::uint32_t live_runs = 0;         // runs that may still execute
    Micros checkpointed_work = 0;        // work that its checkpoint keeps, microseconds
    std::optional<size_t> forecast_row;  // in the forecast's tasks, once it was pending
};

struct ProjectedStep {
    std::vector<ProjectedTask> tasks;
    std::vector<std::uint32_t> pending;         // as given to the planner: task 0 of the item is pending[0]
    std::set<std::uint32_t> single_task_items;  // tasks with an item each: copies, and those that failed before
    size_t unfinished = 0;                      // tasks that are not done
};

struct ProjectedJob {
    const SnapshotJob* snapshot_job = nullptr;
    NameId service = 0;
    std::int64_t priority = 0;
    std::uint32_t max_attempts = 1;
    Micros latency_target = 0;
    std::map<std::uint64_t, std::vector<ProjectedStep>> occurrences;  // by number
    std::uint64_t next_occurrence = 0;

    // Whether all steps that a step depends on are done.
    bool are_dependencies_done(const std::vector<ProjectedStep>& steps, std::uint32_t step) const;
};

struct ProjectedRun {
    TaskKey key;
    size_t worker = 0;  // its index in the workers
    Micros started_at = 0;
    Micros ends_at = no_end;
    Micros checkpointed_work = 0;  // kept by the checkpoint that it resumes from
    std::uint64_t gang_id = 0;     // the same for all members of one run of a gang; 0: none
    bool is_stopping = false;
    bool is_backfill = false;
    bool was_running = false;        // at the time of the snapshot
    bool is_of_unknown_job = false;  // it only reserves resources
    bool is_copy = false;            // beside another run of the same task
    bool is_preempted = false;       // by other work or by the loss of its worker
    std::optional<size_t> task_row;  // in the forecast's tasks, if it is a forecast placement
    std::optional<size_t> run_row;   // in the forecast's runs, if it ran at the time of the snapshot
    Resources resources;
    NameId service = 0;
    std::int64_t priority = 0;

    // The event of its end.
    SimulationEvent end_event(std::uint64_t id) const {
        return {ends_at, is_stopping ? SimulationEventKind::run_terminates : SimulationEventKind::run_completes, id};
    }
};

struct ProjectedWorker {
    SnapshotWorker snapshot;
    std::uint32_t fleet_index = 0;  // in the planner's fleet
    bool is_present = false;
    bool is_draining = false;
    bool is_usable = false;    // was heard of recently and responds
    bool is_in_fleet = false;  // the planner considers it
    Micros avoided_until = 0;
};

// The snapshot and the change must outlive it.
struct SimulationState {
    SimulationState(const Snapshot& snapshot, const ProposedChange& change);
    SimulationState(const SimulationState&) = delete;
    SimulationState& operator=(const SimulationState&) = delete;

    ProjectedStep& step_of(const TaskKey& key) { return jobs[key.job_index].occurrences.at(key.occurrence)[key.step]; }
    ProjectedTask& task(const TaskKey& key) { return step_of(key).tasks[key.task_index]; }
    const Step& step_spec(const TaskKey& key) const { return jobs[key.job_index].snapshot_job->steps[key.step].spec; }
    // The IDs of the workers of some runs.
    std::vector<std::string> worker_ids_of(const std::set<std::uint64_t>& ids) const;
    // The runs that reserve resources of a worker, or did at the last contact with it.
    std::vector<std::uint64_t> runs_on(size_t worker) const;
    // A time relative to the snapshot, as the forecast states it; -1 for an unknown end.
    Micros since_snapshot(Micros at) const { return at == no_end ? -1 : at - snapshot_at; }
    // How long a run takes to stop once its stop is ordered.
    Micros stop_duration() const { return Micros(planner_settings.stop_share * double(planner_settings.stop_grace)); }

    const Snapshot& snapshot;
    const ProposedChange& change;
    PlannerSettings planner_settings;  // of the snapshot, with the proposed changes
    Config config;
    std::int64_t most_urgent_priority = 0;
    NameTable names;
    Fleet fleet;
    UrgentDemand demand;
    std::vector<ProjectedJob> jobs;
    std::map<std::string, std::uint32_t> job_index_by_id;
    std::vector<ProjectedWorker> workers;
    std::map<std::uint32_t, size_t> worker_by_fleet_index;  // index in `workers`
    std::map<std::uint64_t, ProjectedRun> runs;
    std::map<TaskKey, std::set<std::uint64_t>> live_runs;  // run IDs
    std::map<std::uint64_t, std::set<std::uint64_t>> runs_by_gang;
    std::set<TaskKey> tasks_with_copy;  // a second run of them is allowed
    std::map<TaskKey, std::set<std::string>> failed_nodes;
    SimulationEvents events;
    std::uint64_t next_run_id = 1;
    std::uint64_t next_gang_id = 1;
    Micros snapshot_at = 0;  // the time of the snapshot
    Micros now = 0;
    PlacementForecast forecast;
};

}  // namespace calicostall
