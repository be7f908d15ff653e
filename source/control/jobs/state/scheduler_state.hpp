// All jobs and workers as the leader sees them, with what is counted from them. Every count changes with an event; none
// is made by a walk. SchedulerState owns all of it; the run manager, the planner and the clients' calls read it and
// change it by the operations below. Pure: it is told the time.
//
// Sources by concern: scheduler_state.cpp (configuration, opening and closing of jobs), scheduling_priority.cpp (what a
// job earns, and when), step_progress.cpp (pending tasks and ready steps), worker_capacity.cpp (workers and their
// runs).
#pragma once
#include "control/jobs/durations/durations.hpp"
#include "control/jobs/history/history_recorder.hpp"
#include "control/jobs/reliability/fleet_reliability.hpp"
#include "control/jobs/settings.hpp"
#include "control/jobs/state/backlog.hpp"
#include "control/jobs/state/service_usage.hpp"
#include "control/plan/job_value.hpp"
#include "shared/diagnostics/run_event.hpp"
#include "shared/settings/config.hpp"

namespace calicostall {

// One step of one occurrence of a job.
struct StepKey {
    std::string job;
    std::uint64_t occurrence = 0;
    std::uint32_t step = 0;
    auto operator<=>(const StepKey&) const = default;
};

class SchedulerState {
public:
    explicit SchedulerState(SchedulerSettings settings);

    SchedulerSettings settings;
    Term term;
    Config config;  // in force
    std::unordered_map<std::string, JobRecord> jobs;
    std::map<std::string, WorkerRecord> workers;        // by worker id
    std::map<std::string, std::string> worker_by_node;  // agent's node -> id of its worker
    std::map<std::string, ServiceUsage> usage_by_service;
    Backlog backlog;
    std::set<StepKey> ready_steps;                            // with pending tasks whose dependencies are done
    std::set<StepKey> dirty_steps;                            // what the planner is to look at again
    std::set<std::string> dirty_workers;                      // the same, by worker id
    std::set<std::string> agents_to_notify;                   // nodes whose agents may be due a response
    std::multimap<Micros, std::string> priority_changes_due;  // when a job's value class changes next (wall clock)
    std::multimap<Micros, std::string> job_expiries;          // when an ended job may be forgotten (monotonic)
    std::multimap<Micros, std::pair<std::string, RunId>> straggler_checks_due;  // by worker id (monotonic)
    std::vector<std::string> jobs_to_persist;
    Micros now = 0;  // monotonic, of the event that is being handled
    Durations durations;
    MeanWork mean_work;  // of the jobs of each queue
    LargeJobBoosts large_job_boosts;
    HistoryRecorder history;
    FleetReliability fleet_reliability;
    std::function<void(RunEvent)> notify;  // gets what is accepted, starts and ends; empty: nobody listens
    bool needs_plan = false;
    std::uint64_t last_serial_number = 0;
    size_t placed_run_count = 0;  // runs that take capacity anywhere
    size_t open_job_count = 0;
    std::uint64_t operation_count = 0;  // what the work of an event is measured by

    // Forgets everything but the settings, the durations and the listener: the end of a leadership.
    void clear();

    // --- what a job's queue says ---

    // The job's queue in the configuration in force; nothing where it was removed since.
    const Queue* queue_of(const Job& job) const;
    std::uint32_t max_attempts(const Job& job) const;
    const std::string& service_of(const Job& job) const;
    // The lowest priority number of all queues, that is the most urgent.
    std::int64_t min_priority() const;
    // From now on `next` is in force: it moves queues to other services and priorities.
    void apply_config(const Config& next, Micros wall_clock);

    // --- open jobs ---

    // The job counts from now on; to be called once a majority has it.
    void open_job(JobRecord& record, Micros wall_clock);
    // An ended job stays known for its retention time from now on. By the monotonic clock: the time of day may jump,
    // and would take with it what clients may still ask for. A new leader, which can't know when a job ended, gives it
    // all its time again.
    void schedule_expiry(const std::string& id);
    // An ended job takes part in nothing any more.
    void close_job(JobRecord& record);
    // Forgets the ended jobs whose retention time is over.
    // @return their ids; the record is to forget them too
    std::vector<std::string> remove_expired_jobs();
    // An occurrence of the job has begun.
    void on_occurrence_added(JobRecord& record, Micros wall_clock);
    // A task has changed: it was placed, or a run of it ended. Costs nothing that grows with the job but for gangs.
    void on_task_changed(JobRecord& record, std::uint64_t occurrence_number, std::uint32_t step, std::uint32_t index,
                         Micros wall_clock);
    // Whether a task that is placed once is to get a copy elsewhere: its only run is far behind.
    bool needs_duplicate(const JobRecord& record, const Occurrence& occurrence, std::uint32_t step,
                         std::uint32_t index) const;

    // --- the queues' history ---

    // The tasks of a new job, or of a new occurrence, have arrived.
    void record_arrival(const JobRecord& record);
    // Tasks that were ready were pending for this time; spans that are over by the wall clock are written.
    void record_pending(Micros elapsed, Micros wall_clock);

    // --- priorities ---

    // What the job can earn has changed, or may have.
    void update_scheduling_priority(JobRecord& record, Micros wall_clock);
    // The same for all jobs whose value class changes by itself up to now.
    void update_due_priorities(Micros wall_clock);
    // The job's priority at its first open occurrence; times by the wall clock.
    // Example: SchedulingPriority priority = state.scheduling_priority_of(record);
    SchedulingPriority scheduling_priority_of(const JobRecord& record);
    // What the job earns for each second of its service's capacity that the rest of it takes, as a binary logarithm.
    double value_density(const JobRecord& record) const;

    // --- workers and their capacity ---

    // A worker's info has arrived: what it offers counts for its service.
    void on_worker_info_changed(WorkerRecord& worker, const WorkerInfo& info);
    // The worker and its runs no longer count for its service.
    void uncount_worker(WorkerRecord& worker);
    RunRecord& add_run(WorkerRecord& worker, JobRecord& record, const RunId& run_id, RunState state, Micros now);
    void remove_run(WorkerRecord& worker, const RunId& run_id);
    // Whether the planner may start runs there.
    bool is_usable(const WorkerRecord& worker, Micros now) const;
    // The same, whatever its node did recently.
    bool accepts_starts(const WorkerRecord& worker, Micros now) const;

    // The planner is to look at the worker again.
    void mark_dirty(const WorkerRecord& worker);
    // There is something new for the worker's agent: an order, an end that is in the record, or a status query.
    void notify_agent(const WorkerRecord& worker);
    // The job has changed: it is proposed with the next round.
    void schedule_persist(JobRecord& record);

private:
    struct PriorityEvaluation {
        ValueClass value_class;
        SchedulingPriority scheduling_priority;
        Micros changes_at;  // when the value class changes by itself, by the wall clock; 0: never
    };
    // The longest chain of dependent steps of a whole job, and of what remains of its first open occurrence.
    struct CriticalPath {
        Micros total = 0, remaining = 0;
        bool is_long_running = false;  // any of its steps is
    };
    // How a task was counted (StepProgress::task_flags).
    enum TaskFlags : std::uint8_t { pending_flag = 1, unfinished_flag = 2, placed_flag = 4, duplicate_flag = 8 };

    void mark_ready_steps_dirty(const JobRecord& record);
    double total_accelerators() const;

    PriorityEvaluation evaluate_priority(const JobRecord& record, Micros wall_clock);
    CriticalPath critical_path_of(const JobRecord& record);
    ServiceCapacity capacity_of(const Job& job) const;
    JobWork work_of(const JobRecord& record, const ServiceCapacity& capacity) const;

    void add_progress(JobRecord& record, const Occurrence& occurrence);
    void count_task(const JobRecord& record, const Occurrence& occurrence, std::uint32_t step, std::uint32_t index,
                    StepProgress& progress);
    std::uint8_t flags_of(const JobRecord& record, const Occurrence& occurrence, std::uint32_t step,
                          std::uint32_t index) const;
    void update_ready_steps(JobRecord& record, const Occurrence& occurrence, std::uint32_t step);
    void update_pending_since(StepProgress& progress, bool is_long_running) const;
    void remove_from_ready_steps(JobRecord& record, std::uint64_t occurrence_number, std::uint32_t step);
    void remove_steps(JobRecord& record, std::uint64_t occurrence_number, std::vector<StepProgress>& steps);
    void update_backlog(JobRecord& record, StepProgress& progress, std::int64_t pending);
    void on_idle_changed(JobRecord& record);
};

}  // namespace calicostall
