// The worker of this machine as its heartbeats describe it. Owns the current incarnation and the ids of those that
// ended; both are lost with the agent's process. Pure: sends nothing and reads no clock.
#pragma once
#include "agent/active_runs.hpp"
#include "agent/worker_messages.hpp"
#include "common.hpp"
#include "shared/wire/agent_poll_messages.hpp"

namespace calicostall {

// Not thread-safe: the agent's mutex protects it.
class WorkerSession {
public:
    // The current incarnation; nothing while no worker is registered.
    const std::optional<WorkerInfo>& worker() const { return worker_; }
    // Whether the current incarnation has this id.
    bool is_current(const std::string& worker_id) const { return worker_ && worker_->worker_id == worker_id; }
    // Whether a heartbeat is older than what is known: its incarnation has ended, or a later one has arrived.
    bool is_outdated(const WorkerHeartbeat& heartbeat) const;

    // Starts an incarnation; the one before must have been ended.
    void begin(const std::string& worker_id);
    // Takes over what a heartbeat of the current incarnation says, received at `now`.
    // Returns whether the worker began or stopped draining by it.
    bool apply(WorkerHeartbeat heartbeat, Micros now);
    // The current incarnation leaves without having drained: it counts as draining from here on, whatever a heartbeat
    // says. It may serve on for many seconds, so it isn't ended. Only valid with one.
    void begin_departure();
    // Whether the current incarnation said by a heartbeat that it drains; only valid with one.
    bool has_drained() const { return worker_->is_draining && !is_departing_; }
    // Ends the current incarnation; only valid with one.
    void end();
    // An incarnation other than the current one is known to have ended.
    void add_ended(const std::string& worker_id);

    // How long until the worker terminates, counted from `now`, at least 0; -1 when it is not known.
    Micros terminates_in(Micros now) const;
    // Rises with each change of the worker's info; 0 while no worker is registered.
    std::uint64_t info_sequence() const { return worker_ ? info_sequence_ : 0; }
    // The most recent incarnations that ended on this machine, oldest first.
    const std::deque<std::string>& ended_worker_ids() const { return ended_worker_ids_; }

    // What may be active on the worker.
    const ActiveRuns& active_runs() const { return active_runs_; }
    ActiveRuns& active_runs() { return active_runs_; }

private:
    std::optional<WorkerInfo> worker_;
    std::deque<std::string> ended_worker_ids_;
    std::uint64_t heartbeat_sequence_ = 0;
    std::uint64_t info_sequence_ = 0;
    Micros terminates_at_ = -1;  // on the agent's monotonic clock
    ActiveRuns active_runs_;
    bool is_departing_ = false;
};

}  // namespace calicostall
