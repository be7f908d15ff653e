// Runs and leases of the workers, from the intent in the record to the committed end. RunManager is what the scheduler
// and the clients' calls use; its parts each have one concern:
//   AgentSessions      which poll of an agent is its newest
//   OrderQueue         start and stop orders on their way
//   RunCompletion      the end of a run and what follows from it
//   WorkerRegistry     incarnations of workers, and which are over
//   LeaseMonitor       lease expiry
//   StatusReports      what workers say about their runs
//   StragglerDetector  slow and stalling runs and workers
#pragma once
#include "control/jobs/runs/agent_sessions.hpp"
#include "control/jobs/runs/status_reports.hpp"

namespace calicostall {

// `now` is the monotonic clock, `wall_clock` the time of day, both in microseconds.
class RunManager {
public:
    explicit RunManager(SchedulerState& state);
    RunManager(const RunManager&) = delete;
    RunManager& operator=(const RunManager&) = delete;

    // --- agents ---

    // An agent's poll; the response is made by `agent_response` when there is something to say.
    void on_agent_poll(const AgentPollRequest& request, Micros now, Micros wall_clock);
    // The present response to the agent at this node; it renews the lease of its worker.
    // @param confirmed_at  when a majority surely still followed this leader
    AgentPollResponse agent_response(const std::string& node, Micros confirmed_at, Micros now);

    // --- the record, when a leadership begins ---

    // The runs of a job in the record may be on their workers, which may have a full lease. Those that are no longer
    // needed are stopped once their worker has reported.
    void restore_runs(JobRecord& record, Micros now);
    // The end of a leadership.
    void clear();

    // --- starts and stops ---

    // Records the intent of a run; its start is ordered once the record has it.
    RunRecord& record_intent(JobRecord& record, const Occurrence& occurrence, std::uint32_t step, std::uint32_t index,
                             std::uint32_t run, WorkerRecord& worker, Micros now, Micros wall_clock);
    // Stops a run for work that goes before it.
    void preempt(WorkerRecord& worker, RunRecord& run);
    // The job has changed: it is proposed, and closed where it has ended.
    void on_job_changed(JobRecord& record) { completion_.on_job_changed(record); }

    // --- time; to be called regularly ---

    void expire_leases(Micros now, Micros wall_clock) { leases_.run_due_checks(now, wall_clock); }
    void check_stragglers(Micros now);

private:
    WorkerRecord& restore_worker(const WorkerIncarnation& incarnation, Micros now);
    void restore_run(WorkerRecord& worker, JobRecord& record, const Occurrence& occurrence, const RunId& run_id,
                     Micros now);
    WorkerRecord& contacted_worker(const AgentPollRequest& request, Micros now);
    void update_worker(WorkerRecord& worker, const AgentPollRequest& request, Micros now);
    static bool is_status_overdue(const WorkerRecord& worker, Micros now);
    void recover_slowdown(WorkerRecord& worker, Micros now);
    void act_on_straggler(WorkerRecord& worker, RunRecord& run, StragglerAction action);

    SchedulerState& state_;
    StragglerDetector straggler_detector_;
    OrderQueue orders_;
    RunCompletion completion_;
    WorkerRegistry registry_;
    LeaseMonitor leases_;
    StatusReports status_reports_;
    AgentSessions sessions_;
};

}  // namespace calicostall
