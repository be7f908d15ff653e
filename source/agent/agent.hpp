// The role `side`: the node agent, which stands between the worker of its machine and the leader. What it knows is lost
// with its process; it begins again with the worker's next heartbeat.
//
// A class each for what it does: WorkerSession (heartbeats and incarnations), WorkerIdentification (which incarnation
// runs), WorkerLease, OrderDelivery (starts and
// stops), StatusQueries (what runs and what ended) and LeaderPolls (reports there, orders back). They don't know each
// other but for what AgentContext holds; the agent passes their events on.
#pragma once
#include "agent/agent_context.hpp"
#include "agent/agent_settings.hpp"
#include "agent/leader_polls.hpp"
#include "agent/order_delivery.hpp"
#include "agent/status_queries.hpp"
#include "agent/worker_identification.hpp"
#include "common.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/http/listener.hpp"

namespace calicostall {

// Thread-safe: the worker's calls come from the listener's thread, responses and timers from the loop's. It must live
// as long as the loop, since what it has sent comes back to it.
class Agent final : private AgentEvents {
public:
    Agent(AgentSettings settings, EventLoop& loop);
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    // Opens the address for the worker's calls and begins to work. Without an address none is opened: the calls come
    // by `handle_request` alone. Returns a finding when the address can't be opened.
    Findings open();
    // Calls `on_shut_down` after a moment; what the worker runs goes on.
    void begin_graceful_shutdown(std::function<void()> on_shut_down);
    // Takes over what may change while the agent runs: the seeds.
    void apply_settings(const Settings& machine);

    // Handles a call of the worker: PUT /workers/ID (heartbeat), DELETE /workers/ID (it has shut down).
    // Example: agent.handle_request({.method = "PUT", .path = "/workers/i-7f3a", .body = heartbeat});
    void handle_request(Request request);

private:
    // The worker's calls.
    void handle_heartbeat(const std::string& worker_id, Request request);
    void apply_heartbeat(WorkerHeartbeat heartbeat, Micros now);
    void begin_incarnation(WorkerHeartbeat heartbeat, Micros heard_at);
    void on_incarnation_refuted(const std::string& worker_id);
    void handle_worker_shutdown(const std::string& worker_id, Request request);
    void end_incarnation();

    // Events of the components.
    void on_order_outcome(const Order& order, OrderOutcome outcome, std::string reason) override;
    void on_stop_answered() override;
    void on_responsiveness_change() override;
    void on_status_report(StatusReportEvent event) override;
    void on_poll_response(const AgentPollResponse& response, Micros sent_at) override;
    void send_due_calls(Micros now) override;

    void begin_term(Term term);
    void follow_generation(std::uint64_t generation);
    void discard_orders();
    void accept_orders(const std::vector<Order>& orders);

    void on_timer();
    void log_counters(Micros now);

    AgentContext context_;
    OrderDelivery orders_;
    StatusQueries status_queries_;
    LeaderPolls leader_polls_;
    WorkerIdentification identification_;
    std::unique_ptr<Listener> worker_listener_;
    Micros counters_logged_at_ = 0;
};

}  // namespace calicostall
