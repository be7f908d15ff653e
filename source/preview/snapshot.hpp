// A snapshot: what the leader knows at one moment, as far as a preview needs it, without job specs and checkpoints.
// Plain data; all times are microseconds. snapshot_codec.hpp encodes it: the order of the fields is its format.
#pragma once
#include "common.hpp"
#include "control/jobs/spec.hpp"
#include "preview/planner_fields.hpp"
#include "shared/diagnostics/finding.hpp"
#include "shared/settings/config.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

// Neighbouring tasks of one step that are in the same state.
struct SnapshotTaskRange {
    std::uint32_t count = 0;
    bool is_done = false;
    bool has_checkpoint = false;  // in the replicated record
    std::uint32_t failures = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(count), visit(is_done), visit(has_checkpoint), visit(failures);
    }
    // Whether the two ranges differ in nothing but their count.
    bool has_same_state(const SnapshotTaskRange& other) const;
};

// One occurrence of a job: for each of its steps the ranges of tasks, in the order of their indices.
struct SnapshotOccurrence {
    std::uint64_t number = 0;
    std::vector<std::vector<SnapshotTaskRange>> steps;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(steps);
    }
};

// A task that failed before, and the nodes on which it did.
struct SnapshotFailedTask {
    std::uint64_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task_index = 0;
    std::vector<std::string> nodes;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(occurrence), visit(step), visit(task_index), visit(nodes);
    }
};

struct SnapshotStep {
    Step spec;
    Micros expected_duration = 0;  // of one task, as learnt, on a worker of usual speed near its data
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(spec), visit(expected_duration);
    }
};

struct SnapshotJob {
    std::string id;    // 16 hexadecimal digits
    std::string host;  // with the prefix: the queue
    std::string prefix;
    std::string service;        // whose workers run it
    std::int64_t priority = 0;  // 0 is the most urgent
    std::uint32_t max_attempts = 1;
    std::uint64_t extension_thousandths = 1500;  // the target is extended by the critical path times this
    Micros target = 0;
    Micros accepted_wall_clock = 0;
    std::uint64_t repeats = 0;  // how many occurrences it has; 0: one that began when it was accepted
    std::uint64_t next_occurrence = 0;
    Micros first_at = 0;  // wall-clock time of the first occurrence
    Micros interval = 0;  // between occurrences
    std::vector<SnapshotStep> steps;
    std::vector<SnapshotOccurrence> occurrences;  // those that have begun
    std::vector<SnapshotFailedTask> failed_tasks;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(id), visit(host), visit(prefix), visit(service), visit(priority), visit(max_attempts),
            visit(extension_thousandths), visit(target), visit(accepted_wall_clock), visit(repeats),
            visit(next_occurrence), visit(first_at), visit(interval), visit(steps), visit(occurrences),
            visit(failed_tasks);
    }
};

enum class SnapshotRunState { intent_recorded, ordered, running, stopping };

// One run that reserves resources of a worker.
struct SnapshotRun {
    std::string job_id;
    std::uint64_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task_index = 0;
    std::uint32_t run_number = 0;  // counts the runs of the task
    std::int64_t cpu = 0;          // milli-cores
    std::int64_t memory = 0;       // MB
    std::int64_t gpu = 0;
    std::int64_t priority = 0;
    SnapshotRunState state = SnapshotRunState::intent_recorded;
    Micros since_order = -1;  // since its start was ordered; -1: not ordered yet
    std::int64_t progress_percent = 0;
    Micros progress_after = 0;  // how long after its order the progress was reported
    bool has_checkpoint = false;
    bool may_have_copy = false;  // the straggler detector allows a second run of the task
    bool is_backfill = false;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(job_id), visit(occurrence), visit(step), visit(task_index), visit(run_number), visit(cpu), visit(memory),
            visit(gpu), visit(priority), visit(state), visit(since_order), visit(progress_percent),
            visit(progress_after), visit(has_checkpoint), visit(may_have_copy), visit(is_backfill);
    }
};

struct SnapshotWorker {
    std::string worker_id;  // of one incarnation
    std::string node;
    std::string service;
    std::string zone;
    std::uint32_t fleet_index = 0;  // in the planner's fleet, which takes the first of several equal workers
    std::vector<std::string> labels;
    std::int64_t cpu = 0;     // milli-cores
    std::int64_t memory = 0;  // MB
    std::int64_t gpu = 0;
    bool is_placeholder = false;  // known from the record only: the leader has not heard of it yet
    bool is_reconciled = false;   // has reported its runs to this leader
    bool is_unresponsive = false;
    bool is_draining = false;
    bool is_paused = false;  // gets no starts since its runs failed too often
    Micros since_last_contact = 0;
    Micros shuts_down_in = -1;                     // until its announced shutdown; -1: none announced
    Micros avoided_for = 0;                        // until it gets starts again
    Micros lease_expires_in = 0;                   // until the lease of its runs has surely expired
    std::uint64_t slowdown_thousandths = 1000;     // how much longer its runs take than on a usual worker
    std::uint64_t reliability_thousandths = 1000;  // 1000: its runs do not fail
    std::vector<SnapshotRun> runs;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(worker_id), visit(node), visit(service), visit(zone), visit(fleet_index), visit(labels), visit(cpu),
            visit(memory), visit(gpu), visit(is_placeholder), visit(is_reconciled), visit(is_unresponsive),
            visit(is_draining), visit(is_paused), visit(since_last_contact), visit(shuts_down_in), visit(avoided_for),
            visit(lease_expires_in), visit(slowdown_thousandths), visit(reliability_thousandths), visit(runs);
    }
};

// What the queues of one priority used recently of a service; it decays with time.
struct SnapshotDemand {
    std::string service;
    std::int64_t priority = 0;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(service), visit(priority), visit(cpu), visit(memory);
    }
};

struct Snapshot {
    std::uint64_t term = 0;
    Micros wall_clock = 0;                  // of the leader, since 1970
    Micros since_leadership_confirmed = 0;  // since a quorum last confirmed this leader
    std::string config_text;                // the operators' configuration in force
    Micros max_contact_age = 0;             // a worker that was heard of longer ago gets no start; 0: no such bound
    Micros lease_expiry_after = 0;  // how long after the last contact with a worker the lease of its runs has expired
    std::vector<PlannerField> planner_settings;  // of the daemons
    std::vector<SnapshotWorker> workers;
    std::vector<SnapshotJob> jobs;
    std::vector<SnapshotDemand> recent_demand;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(term), visit(wall_clock), visit(since_leadership_confirmed), visit(config_text), visit(max_contact_age),
            visit(lease_expiry_after), visit(planner_settings), visit(workers), visit(jobs), visit(recent_demand);
    }
};

// Puts jobs, workers and demand into one order, whatever order the leader's tables have: the same state gives the same
// bytes.
void sort_snapshot(Snapshot& snapshot);

}  // namespace calicostall
