// The scheduler's settings, and what it needs of the record.
#pragma once
#include "common.hpp"
#include "control/plan/settings.hpp"
#include "control/store/register.hpp"

namespace calicostall {

// All times are durations in microseconds.
struct SchedulerSettings {
    Micros lease_duration = seconds(3);  // how long a worker keeps its runs after the leader's last renewal
    Micros lease_margin = milliseconds(250);
    Micros max_contact_age = milliseconds(2500);  // a worker that was heard of longer ago gets no start
    Micros status_retention = seconds(120);       // how long clients may ask for an ended job
    Micros resend_margin = seconds(30);  // an ended job is known for so much longer to a client that sends it again
    size_t max_jobs = 20000;
    Micros stop_grace = milliseconds(900);
    size_t max_listed_ends = 500;                // a worker lists at most so many ends at once (worker protocol)
    Micros min_stall_time = milliseconds(1500);  // a run without progress for so long is stalled
    Micros history_span = 0;                     // length of a span of the history; 0: none is kept
    // A new leader learns its workers in this time, and clients send again what an earlier one had.
    Micros warm_up = seconds(6);
    std::int64_t max_pending_tasks = 5000;  // beyond it no job is taken
    Micros max_lag = milliseconds(600);     // a leader that lags more takes no new job
    // Between two plans: so much for each item and worker that the first one examined, so that planning leaves the
    // processor to the leader's other work (an evaluation takes some tenths of a microsecond).
    Micros plan_pause_per_operation = 1, min_plan_pause = milliseconds(2), max_plan_pause = milliseconds(20);
    PlannerSettings planner;
    // How long an ended job stays known.
    Micros ended_job_retention() const { return status_retention + resend_margin; }
    // When a lease that was last renewed at `confirmed` has surely expired (a worker's clock may run 2% slow).
    Micros lease_expiry_after(Micros confirmed) const {
        return confirmed + lease_duration + lease_duration / 50 + lease_margin;
    }
};

// What the scheduler needs of the record: proposals that come back committed (true) or not known to be (false).
template <class T>
concept Ledger = requires(T ledger, std::string key, std::optional<std::string> immutable, Mutation mutation,
                          std::function<void(bool)> on_committed) {
    // Proposes a change of a key; `immutable` is given once, with the key's first change.
    ledger.propose(key, immutable, mutation, on_committed);
    // Calls back once a majority has confirmed the key's present value.
    ledger.confirm(key, on_committed);
    // Forgets the key for good.
    ledger.remove_key(key);
};

}  // namespace calicostall
