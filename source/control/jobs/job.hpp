// One job: its definition, its status, and the changes of its status as pure functions. The job owns which parts of it
// the record does not have yet; the scheduler owns when they are proposed.
#pragma once
#include "common.hpp"
#include "control/jobs/job_definition.hpp"
#include "control/jobs/job_status.hpp"
#include "control/jobs/run_id.hpp"
#include "control/store/register.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

// A job in memory. `definition` and `status` are read freely; `status` is changed by the operations below alone, since
// they keep account of what has to be written.
class Job {
public:
    JobDefinition definition;
    JobStatus status;

    // A new job; one that does not recur begins with its only occurrence.
    // Example: Job job = Job::accept(definition);
    static Job accept(JobDefinition definition);

    // --- the record ---

    std::string encoded_definition() const;
    // What changed since the last call, for the record. Once nothing of an ended job is placed, only its head is left.
    // Example: ledger.propose(key, std::nullopt, job.encode_changes(), callback);
    Mutation encode_changes();
    // Reads a job from its register.
    // @return nothing where the register holds no valid job
    // Example: std::optional<Job> job = Job::from_register(value); if (!job) counters().add("jobs_unreadable");
    static std::optional<Job> from_register(const Register& value);

    // --- state ---

    bool has_ended() const { return status.outcome != JobOutcome::none; }
    // Whether any run of the job may be on a worker.
    bool has_placements() const { return placement_count_ != 0; }
    // The phase that clients are shown: "queued", "running", "done", "failed" or "cancelled".
    const char* phase() const;
    std::uint64_t occurrence_count() const { return std::max<std::uint64_t>(1, definition.spec.repeats); }
    bool is_recurring() const { return definition.spec.repeats > 0; }
    // When the next occurrence that has not begun falls due, by the wall clock (microseconds); nothing when there is
    // none.
    std::optional<Micros> next_due_at() const;
    Occurrence* find_occurrence(std::uint64_t number);
    Task* find_task(const RunId& run_id);
    Placement* find_placement(const RunId& run_id, const std::string& worker_id);
    // Whether every step that this one depends on is done.
    bool has_dependencies_done(const Occurrence& occurrence, size_t step) const;
    // The number of the task's next run; the members of a gang share theirs.
    std::uint32_t next_run_number(const Occurrence& occurrence, size_t step, size_t index) const;
    // Whether a run in the record is still needed: not of an ended job, a done task, or a gang that is broken up.
    bool is_run_needed(const Occurrence& occurrence, size_t step, size_t index, std::uint32_t run) const;

    // --- changes ---

    // Begins the next occurrence.
    Occurrence& add_occurrence();
    // Records that a run of the task is meant for this worker.
    void add_placement(Occurrence& occurrence, size_t step, size_t index, std::uint32_t run,
                       const WorkerIncarnation& incarnation);
    // The one function for the end of a run: it may finish its task, its occurrence and the job.
    // @param checkpoint    the run's last checkpoint; empty: none
    // @param max_attempts  failures of a task by which the job has failed
    // @param wall_clock    time of day for the end of the job, microseconds
    // @return false when the run is not one of this job's
    bool end_run(const RunId& run_id, const std::string& worker_id, RunOutcome outcome, const std::string& checkpoint,
                 std::uint32_t max_attempts, Micros wall_clock);
    void cancel(Micros wall_clock);

private:
    // Chunk numbers: an incarnation by its index with the highest bit set, a task by occurrence (24 bits), step (15)
    // and index (24).
    static constexpr std::uint64_t worker_chunk_bit = std::uint64_t(1) << 63;
    static std::uint64_t chunk_number(std::uint64_t occurrence, size_t step, size_t index);

    Task* task_of_chunk(std::uint64_t number);
    void mark_chunk_dirty(std::uint64_t occurrence, size_t step, size_t index);
    JobHead make_head() const;
    bool decode_occurrences(const std::vector<OccurrenceHead>& heads);
    bool decode_chunk(std::uint64_t number, const std::string& bytes);
    bool has_valid_placements() const;

    std::uint32_t worker_index(const WorkerIncarnation& incarnation);
    Occurrence make_occurrence(std::uint64_t number) const;
    void remove_placement(Task& task, const RunId& run_id, const std::string& worker_id);
    void mark_run_dirty(const RunId& run_id, const StepState& state);
    void store_checkpoint(StepState& state, const RunId& run_id, const std::string& checkpoint);
    void finish_task(StepState& state, const RunId& run_id);
    void count_failure(StepState& state, const RunId& run_id);
    bool is_all_done() const;
    void drop_occurrence_if_over(const Occurrence& occurrence);
    void drop_occurrence(std::uint64_t number);
    void finish(JobOutcome outcome, Micros wall_clock);

    std::set<std::uint64_t> dirty_chunks_;  // tasks whose chunk in the record is not up to date
    size_t encoded_incarnations_ = 0;       // how many incarnations the record has
    size_t placement_count_ = 0;
};

}  // namespace calicostall
