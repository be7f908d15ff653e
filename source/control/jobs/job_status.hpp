// What changes while a job runs: its occurrences, tasks and placements, and the form in which the record stores them.
#pragma once
#include "common.hpp"

namespace calicostall {

// One run of a task that may be on a worker: its intent is in the record before the start order leaves.
struct Placement {
    std::uint32_t run = 0;           // run number of the task
    std::uint32_t worker_index = 0;  // index into JobStatus::incarnations
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(run), visit(worker_index);
    }
};

struct Task {
    bool is_done = false;
    std::uint32_t last_run = 0, failure_count = 0;
    std::string checkpoint;  // the last one that a run reported; empty: none
    std::vector<Placement> placements;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(is_done), visit(last_run), visit(failure_count), visit(checkpoint), visit(placements);
    }
    // Whether the task is neither done nor placed anywhere.
    bool is_pending() const { return !is_done && placements.empty(); }
};

struct StepState {
    std::vector<Task> tasks;
    std::uint32_t last_failed_run = 0;  // of a gang: the last run that counted as failed
    bool is_done() const {
        return std::all_of(tasks.begin(), tasks.end(), [](const Task& task) { return task.is_done; });
    }
};

// One occurrence of a job; a job that does not recur has only occurrence 0.
struct Occurrence {
    std::uint64_t number = 0;
    std::vector<StepState> steps;
    bool is_done() const {
        return std::all_of(steps.begin(), steps.end(), [](const StepState& step) { return step.is_done(); });
    }
};

// How a job ended; `none` while it is open.
enum class JobOutcome { none, done, failed, cancelled };

// One incarnation of a worker, and the node that it runs on.
struct WorkerIncarnation {
    std::string worker_id, node;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(worker_id), visit(node);
    }
};

struct JobStatus {
    JobOutcome outcome = JobOutcome::none;
    Micros ended_wall_clock = 0;
    bool has_started = false;
    std::uint64_t next_occurrence = 0;
    std::vector<WorkerIncarnation> incarnations;  // all that ever had a run of the job; placements refer to them
    std::vector<Occurrence> occurrences;
};

// The stored form of an occurrence: its tasks are chunks of their own.
struct OccurrenceHead {
    std::uint64_t number = 0;
    std::vector<std::uint32_t> last_failed_runs;  // of each step
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(last_failed_runs);
    }
};

// The stored form of JobStatus: the head. Beside it there is a numbered chunk for each task that was ever changed and
// one for each worker incarnation (see Job).
struct JobHead {
    JobOutcome outcome = JobOutcome::none;
    Micros ended_wall_clock = 0;
    bool has_started = false;
    std::uint64_t next_occurrence = 0;
    std::vector<OccurrenceHead> occurrences;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(outcome), visit(ended_wall_clock), visit(has_started), visit(next_occurrence), visit(occurrences);
    }
};

}  // namespace calicostall
