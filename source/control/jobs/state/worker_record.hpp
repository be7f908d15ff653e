// What the leader knows of one worker and of the runs that take capacity there.
#pragma once
#include "common.hpp"
#include "control/jobs/job.hpp"
#include "control/plan/view.hpp"
#include "control/plan/worker_slowdown.hpp"
#include "shared/wire/agent_poll_messages.hpp"

namespace calicostall {

// How far a run has come: its intent is in the record or under way there, its start was ordered, a report has shown it
// running, or its stop was ordered.
enum class RunState { intent_recorded, ordered, running, stopping };

// A run that takes capacity on a worker. Times are microseconds of the monotonic clock.
struct RunRecord {
    RunId id;
    std::int64_t cpu = 0, memory = 0, gpu = 0;
    RunState state = RunState::intent_recorded;
    bool is_stop_requested = false;
    Micros state_since = 0, ordered_at = 0;
    Micros stop_repeat_at = 0;  // its stop is ordered again by a report from then on; 0: none came since the stop
    Micros estimate = 0;        // the client's, of the duration
    std::string checkpoint;
    std::int64_t percent = 0;
    std::uint64_t missed_reports = 0;  // in a row
    std::int64_t priority = 0;
    bool is_remote = false;                      // away from its data
    Micros progressed_at = 0;                    // when its percent was last seen to rise
    Micros reported_at = 0;                      // when a report last showed it
    std::uint64_t reports_without_progress = 0;  // since its percent last rose
    bool is_duplicated = false;                  // a copy may run beside it
    bool is_counted_slow = false;                // it has counted against its worker's speed
    std::uint64_t serial_number = 0;             // its number for the planner
    bool is_backfill = false;                    // started into a gap before a reservation
};

// One incarnation of a worker. Times are microseconds of the monotonic clock.
struct WorkerRecord {
    WorkerInfo info;
    std::string node;
    std::uint64_t agent_incarnation = 0;  // of the agent process that polled last
    bool is_placeholder = false;          // known from the record only
    bool is_reconciled = false;           // it has reported under this leader's fence
    Micros last_contact_at = 0;
    Micros covered_at = 0;        // when a report covered its runs last, or the first of them came since
    Micros lease_expires_at = 0;  // its lease has surely expired after this
    Micros starts_suspended_until = 0;
    Micros next_check_at = 0;  // when its lease is checked next
    Micros shutdown_at = -1;   // when a draining worker terminates; negative: not known
    // Ends of runs by the worker's own count: the last one that was taken note of, and the last one up to which all
    // are committed, which is what the worker is told.
    std::uint64_t last_recorded_end = 0, acknowledged_end = 0;
    std::map<std::uint64_t, bool> unacknowledged_ends;  // number -> whether it is committed
    std::map<RunId, RunRecord> runs;
    std::deque<Order> orders;  // not acknowledged by the agent yet
    bool status_query_due = true;
    WorkerSlowdown slowdown;
    Micros slowdown_decayed_at = 0;
    std::uint64_t generation = 1;  // rises with each lease expiry: orders of an earlier generation are void
    bool is_measurable = true;     // its last report came without a gap before it
    bool is_unresponsive = false;  // its agent gets no answer from it
    std::int64_t cpu_used = 0, memory_used = 0, gpu_used = 0;
    Resources free_capacity;        // updated with each change
    bool is_counted = false;        // its capacity counts for its service
    std::uint32_t fleet_index = 0;  // in the planner's fleet, once it is there
};

}  // namespace calicostall
