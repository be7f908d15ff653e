/// What the planner is given: plain values, kept up to date by whoever asks for plans.
#pragma once
#include "common.hpp"
#include "control/plan/name_table.hpp"
#include "control/plan/plan.hpp"
#include "control/plan/resources.hpp"

namespace calicostall {

/// What the static priority of a piece of work is made of. All times are microseconds of one clock.
struct SchedulingPriority {
    std::int64_t level = 0;        // the operator's priority: 0 goes first
    Micros submitted_at = 0;       // when it was handed in, or fell due
    Micros deadline = 0;           // until when it earns its full value
    Micros critical_path = 0;      // the longest chain of work still before it, its own duration included
    bool is_long_running = false;  // runs until cancelled: it has no target
    double value_density = 0;  // log2 of what it earns for each second of the service's capacity that it still takes
    auto operator<=>(const SchedulingPriority&) const = default;
};

/// One step of one occurrence of a job that waits: tasks that are alike, or one gang, or one duplicate of a task.
struct Item {
    std::uint64_t id = 0;  // the caller's own number, comes back in the plan
    SchedulingPriority scheduling_priority;
    NameId service = 0;
    Resources resources;              // of one task
    std::uint32_t task_count = 1;     // tasks that wait; a gang: all of its members
    Micros expected_duration = 0;     // on a sound worker near its data
    Micros earliest_start = 0;        // not before this time
    NameId required_label = 0;        // only workers with this label
    NameId affinity = 0;              // elsewhere it takes remote_factor times as long
    std::uint32_t anti_affinity = 0;  // at most so many of the step on one worker; 0: no bound
    std::vector<std::pair<std::uint32_t, std::uint32_t>>
        tasks_per_worker;                              // of the step, already placed: (worker's index, count)
    std::vector<std::uint32_t> excluded_workers;       // they get none of it: a duplicate keeps away from its original
    std::vector<std::uint32_t> deprioritized_workers;  // chosen last for it: it failed there
    Micros idle_since = 0;  // since when nothing of its job has run, or a long-running task has waited; 0: not so
    bool is_gang = false;
    bool prefers_same_rack = false;  // of a gang: on several racks it takes remote_factor times as long
    bool has_checkpoints = false;    // a run that is preempted loses little
    bool is_preemptable = true;
    enum class BlockReason : std::uint8_t { none, dependency, due_time, budget };
    BlockReason block_reason = BlockReason::none;  // it may not start yet: the plan says only why
};

/// One run that takes resources of a worker; orders in doubt and stops under way are runs too.
struct PlanRun {
    std::uint64_t id = 0;                    // the caller's own number, comes back in the plan
    SchedulingPriority scheduling_priority;  // `critical_path` as it was at its start
    Resources resources;
    Micros started_at = 0;
    Micros expected_end = 0;    // an overdue one: the caller's best guess, or the past
    std::uint64_t gang_id = 0;  // the same for all members of one run of a gang; 0: none
    bool has_checkpoints = false;
    bool is_preemptable = true;  // running, needed, and not long-running
    bool is_stopping = false;    // its resources are expected back at `expected_end`
    bool backfill = false;       // as the start said
};

struct PlanWorker {
    NameId service = 0;
    std::vector<NameId> labels;
    NameId rack = 0;
    Resources capacity, free;    // `free` is kept by the fleet
    double slowdown = 1;         // 3: its runs take three times as long as their siblings elsewhere
    double reliability = 1;      // 0 to 1: workers that drop out, refuse or fail earn it back step by step
    bool is_schedulable = true;  // takes starts: reconciled, in contact, not draining
    std::uint32_t max_runs = 0;  // so many runs at once at most, while it shows whether it works again; 0: no bound
    std::vector<PlanRun> runs;
    bool is_paused = false;  // its incarnations ended again and again: only starved items start there
    bool has_label(NameId label) const {
        return label == 0 || std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

}  // namespace calicostall
