// The state of a forward simulation: jobs, workers and runs at one moment, and the outlook written so far. Plain data;
// what changes it stands in the other files of this folder.
#pragma once
#include "control/plan/planner.hpp"
#include "preview/change.hpp"
#include "preview/forward/events.hpp"
#include "preview/outlook.hpp"

namespace calicostall {

// One task of one time of a job.
struct ForwardTask {
    bool done = false;
    std::uint32_t failures = 0;
    std::uint32_t live = 0;     // runs that may be going on
    Micros kept = 0;            // work that a checkpoint keeps
    std::optional<size_t> row;  // in the outlook's tasks, once it has been listed
};

struct ForwardStep {
    std::vector<ForwardTask> tasks;
    std::vector<std::uint32_t> waiting;  // as it was given to the planner: task 0 of the item is waiting[0]
    std::set<std::uint32_t> singles;     // tasks that are an item each: copies, and what failed before
    size_t open = 0;                     // tasks that are not done
};

struct ForwardJob {
    const SnapshotJob* job = nullptr;
    Name service = 0;
    std::int64_t level = 0;
    std::uint32_t attempts_most = 1;
    Micros aim = 0;
    std::map<std::uint64_t, std::vector<ForwardStep>> times;  // by their numbers
    std::uint64_t next_time = 0;

    // Whether all that a step depends on is done.
    bool turn_has_come(const std::vector<ForwardStep>& steps, std::uint32_t step) const;
};

struct ForwardRun {
    TaskKey key;
    size_t worker = 0;  // its place among the workers
    Micros started = 0;
    Micros ends = no_end;
    Micros kept = 0;         // work that a checkpoint had kept before it began
    std::uint64_t gang = 0;  // the same for all members of one run of a gang; 0: none
    bool stopping = false;
    bool backfill = false;
    bool was_running = false;        // at the time of the snapshot
    bool room_only = false;          // of a job that isn't known: it takes room and nothing else
    bool copy = false;               // beside another run of the same task
    bool pushed = false;             // it gave way to other work
    std::optional<size_t> task_row;  // in the outlook's tasks, if it is where a task of theirs lands
    std::optional<size_t> run_row;   // in the outlook's runs, if it ran at the time of the snapshot
    Resources room;
    Name service = 0;
    std::int64_t level = 0;

    // The event of its end.
    ForwardEvent end_event(std::uint64_t id) const {
        return {ends, stopping ? ForwardEventKind::run_over : ForwardEventKind::run_ends, id};
    }
};

struct ForwardWorker {
    SnapshotWorker said;
    std::uint32_t place = 0;  // in the fleet
    bool there = false;
    bool draining = false;
    bool usable = false;    // heard of lately, and known
    bool in_fleet = false;  // offers room
    Micros avoided_until = 0;
};

// What the parts of a simulation share. The snapshot and the change must outlive it.
struct ForwardState {
    ForwardState(const Snapshot& snapshot, const ProposedChange& change);
    ForwardState(const ForwardState&) = delete;
    ForwardState& operator=(const ForwardState&) = delete;

    ForwardStep& step_of(const TaskKey& key) { return jobs[key.job].times.at(key.time)[key.step]; }
    ForwardTask& task(const TaskKey& key) { return step_of(key).tasks[key.index]; }
    const Step& wanted(const TaskKey& key) const { return jobs[key.job].job->steps[key.step].wanted; }
    // The lives of the workers of some runs.
    std::vector<std::string> lives_of(const std::set<std::uint64_t>& ids) const;
    // The runs that take room on a worker, or did when it was last heard of.
    std::vector<std::uint64_t> runs_on(size_t worker) const;
    // A time since the snapshot, as the outlook has it: -1 for an end that nobody can tell.
    Micros since_snapshot(Micros at) const { return at == no_end ? -1 : at - start; }
    // How long a run takes to stop when it is told to.
    Micros stop_takes() const { return Micros(planner.stop_share * double(planner.stop_grace)); }

    const Snapshot& snapshot;
    const ProposedChange& change;
    PlannerSettings planner;  // the snapshot's, with the proposed changes
    Config config;
    std::int64_t urgent_level = 0;
    Names names;
    Fleet fleet;
    UrgentDemand demand;
    std::vector<ForwardJob> jobs;
    std::map<std::string, std::uint32_t> job_by_id;
    std::vector<ForwardWorker> workers;
    std::map<std::uint32_t, size_t> worker_at;  // by the place in the fleet
    std::map<std::uint64_t, ForwardRun> runs;
    std::map<TaskKey, std::set<std::uint64_t>> live;  // runs that may be going on
    std::map<std::uint64_t, std::set<std::uint64_t>> gangs;
    std::set<TaskKey> doubled;  // tasks that may have a copy
    std::map<TaskKey, std::set<std::string>> failed_on;
    ForwardEvents events;
    std::uint64_t next_run = 1;
    std::uint64_t next_gang = 1;
    Micros start = 0;  // the time of the snapshot
    Micros now = 0;
    Outlook outlook;
};

}  // namespace calicostall
