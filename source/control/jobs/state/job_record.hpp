// A job as the leader keeps it: what the record holds of it, and what is counted from that.
#pragma once
#include "common.hpp"
#include "control/jobs/job.hpp"
#include "control/jobs/state/worker_record.hpp"
#include "control/plan/waiting_items.hpp"

namespace calicostall {

// One step of one occurrence: its tasks counted, so that no event has to walk them.
struct StepProgress {
    std::set<std::uint32_t> pending;       // not done and placed nowhere
    std::set<std::uint32_t> to_duplicate;  // placed once, and to get a copy elsewhere
    std::vector<std::uint8_t> task_flags;  // how each task was counted, see SchedulerState
    std::uint32_t unfinished = 0, placed = 0;
    Micros pending_since = 0;  // of a long-running step: since when any of its tasks is pending (monotonic); 0: none is
    bool dependencies_done = false;
    bool is_listed = false;                               // stands among the ready steps
    std::int64_t counted_pending = 0, counted_ready = 0;  // tasks that the backlog holds of it
    double task_cpu_work = 0, task_memory_work = 0;       // of one task: thousandths of a core, MB, each times seconds
};

struct JobRecord {
    using TaskKey = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;  // occurrence, step, index

    Job job;
    Micros last_migrated_at = 0;                   // when a run of it was last moved to another worker
    bool is_committed = false;                     // a majority has it; only then anything starts
    bool is_dirty = false;                         // it has changes that were not proposed yet
    std::vector<std::function<void()>> on_commit;  // run once the present change is committed
    std::map<std::uint32_t, std::pair<Micros, std::uint32_t>> measured_durations;  // step -> sum and count

    bool is_open = false;          // counted among the open jobs
    bool has_aging_boost = false;  // a large job that goes before jobs of the same value density
    // Since when a step is ready while nothing of the job runs; 0: not so, or not seen yet.
    Micros idle_since = 0;
    ValueClass value_class = ValueClass::full;
    std::int64_t priority = 0;
    SchedulingPriority scheduling_priority;                       // times by the wall clock
    std::map<std::uint64_t, std::vector<StepProgress>> progress;  // by number of the occurrence
    std::map<RunId, WorkerRecord*> runs;                          // what takes capacity for it, and where
    std::map<TaskKey, std::set<std::string>> failed_nodes;        // nodes where a task failed

    // "HOST|PREFIX"
    std::string queue_name() const { return job.definition.host + "|" + job.definition.prefix; }
};

}  // namespace calicostall
