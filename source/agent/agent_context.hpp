// What the agent's components share: the worker, its lease, the path to it, and the leader whose orders hold; and the
// events by which they reach each other through the agent.
#pragma once
#include "agent/agent_settings.hpp"
#include "agent/worker_client.hpp"
#include "agent/worker_lease.hpp"
#include "agent/worker_session.hpp"
#include "common.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/wire/agent_poll_messages.hpp"

namespace calicostall {

// Whose orders the agent follows.
struct FollowedLeader {
    Term term;                            // of the leader that answered last
    std::uint64_t generation = 0;         // of its orders; 0: not known yet
    std::uint64_t last_order_number = 0;  // the highest that was accepted in this term
    Term delivered_fence;                 // the highest term under which the worker has answered a status query
};

// What held when a call to the worker was made; its response counts only as far as it still holds.
struct WorkerCallContext {
    std::string worker_id;
    Term term;
    std::uint64_t generation = 0;
    Micros sent_at = 0;
};

// The mutex protects everything here and in all components; it is recursive, since their events call each other.
struct AgentContext {
    AgentContext(AgentSettings given_settings, EventLoop& event_loop)
        : settings(std::move(given_settings)),
          loop(event_loop),
          lease(settings.machine.max_lease),
          client(event_loop, settings.response_timeout, settings.lossy_duration) {}

    // The monotonic clock of the agent, in microseconds: that of its loop.
    Micros now() const { return loop.now(); }
    // To be kept with a call that is made now; only valid with a worker.
    WorkerCallContext make_call_context(Micros now) const {
        return {session.worker()->worker_id, leader.term, leader.generation, now};
    }
    // Whether the worker's term is older than the leader's: it must learn the new fence before any start.
    bool is_fence_undelivered() const { return leader.delivered_fence < leader.term; }

    const AgentSettings settings;
    EventLoop& loop;
    std::recursive_mutex mutex;
    WorkerSession session;
    WorkerLease lease;
    WorkerClient client;
    FollowedLeader leader;
};

// What one component tells the others, by way of the agent. All are called with the mutex held.
class AgentEvents {
public:
    virtual ~AgentEvents() = default;

    // A start has its outcome.
    virtual void on_order_outcome(const Order& order, OrderOutcome outcome, std::string reason) = 0;
    // The worker has answered a stop; what runs there is to be queried at once.
    virtual void on_stop_answered() = 0;
    // The worker became unresponsive, or answers again.
    virtual void on_responsiveness_change() = 0;
    // The worker answered a status query under the current term.
    struct StatusReportEvent {
        WorkerStatusReport report;
        bool is_first_in_term = false;
        bool has_ends = false;
        Micros received_at = 0;
    };
    virtual void on_status_report(StatusReportEvent event) = 0;
    // The leader answered a poll that was sent at `sent_at`.
    virtual void on_poll_response(const AgentPollResponse& response, Micros sent_at) = 0;
    // Something may be due at the worker now.
    virtual void send_due_calls(Micros now) = 0;
};

}  // namespace calicostall
