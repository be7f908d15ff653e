/// The clients' calls on jobs that are known already: a job is shown, cancelled or counted.
#pragma once
#include "control/jobs/calls/call_responses.hpp"
#include "control/jobs/calls/early_cancellations.hpp"
#include "control/jobs/runs/run_manager.hpp"
#include "shared/diagnostics/log.hpp"

namespace calicostall {

/// The key of a job's register.
/// Example: job_key("00000000000000a1") == "job/00000000000000a1"
std::string job_key(const std::string& id);

/// Whether the job was submitted to this queue.
bool is_of_queue(const Job& job, const Queue& queue);

/// Serves the clients' calls on known jobs at the leader. Owns the cancellations of jobs that are not known yet; the
/// jobs belong to the state.
/// Example: job_calls.show(queue, id, std::move(callback));
template <Ledger L>
class JobCalls {
public:
    /// Proposes the changes of a job at once.
    using Persist = std::function<void(JobRecord&)>;

    JobCalls(SchedulerState& state, RunManager& run_manager, L& ledger, Persist persist)
        : state_(state), run_manager_(run_manager), ledger_(ledger), persist_(std::move(persist)) {}

    void end_leadership() { early_cancellations_.clear(); }

    /// 200 with the job's phase; 410 where the queue has no such job.
    void show(const Queue& queue, const std::string& id, CallCallback callback) {
        JobRecord* record = find(queue, id);
        if (!record) return respond_when_confirmed(ledger_, job_key(id), Response::plain(410), std::move(callback));
        persist_(*record);
        respond_when_confirmed(ledger_, job_key(id),
                               Response::json(200, fmt::format("{{\"phase\":\"{}\"}}", record->job.phase())),
                               std::move(callback));
    }

    /// 200 once a majority has the cancellation, also for a job that has ended; 410 where the queue has no such job.
    /// @param wall_clock  the time of day in microseconds, recorded as the job's end
    void cancel(const Queue& queue, const std::string& id, Micros wall_clock, CallCallback callback) {
        JobRecord* record = find(queue, id);
        if (!record) {
            if (!state_.jobs.contains(id)) early_cancellations_.record({queue.host, queue.path_prefix, id}, state_.now);
            return respond_when_confirmed(ledger_, job_key(id), Response::plain(410), std::move(callback));
        }
        if (!record->job.has_ended()) {
            record->job.cancel(wall_clock);
            run_manager_.on_job_changed(*record);
            persist_(*record);
            counters().add("jobs_cancelled");
        }
        ledger_.confirm(job_key(id), [callback = std::move(callback)](bool is_confirmed) {
            complete_change(callback, is_confirmed);
        });
    }

    /// Whether a job that is submitted now was cancelled shortly before at the same queue; it counts as cancelled then.
    /// @param now  monotonic time in microseconds
    bool consume_early_cancellation(const Queue& queue, const std::string& id, Micros now) {
        return early_cancellations_.consume({queue.host, queue.path_prefix, id}, now);
    }

    /// How many jobs of the queue are open.
    void count_pending(const Queue& queue, CallCallback callback) {
        auto found = state_.backlog.find(queue.host + "|" + queue.path_prefix);
        const std::int64_t open_jobs = found == state_.backlog.end() ? 0 : found->second.open_jobs;
        respond_when_confirmed(ledger_, "config", Response::json(200, fmt::format("{{\"pending\":{}}}", open_jobs)),
                               std::move(callback));
    }

private:
    /// The job, if it is known and was submitted to this queue; else null.
    JobRecord* find(const Queue& queue, const std::string& id) {
        auto found = state_.jobs.find(id);
        if (found == state_.jobs.end() || !is_of_queue(found->second.job, queue)) return nullptr;
        return &found->second;
    }

    SchedulerState& state_;
    RunManager& run_manager_;
    L& ledger_;
    Persist persist_;
    EarlyCancellations early_cancellations_;
};

}  // namespace calicostall
