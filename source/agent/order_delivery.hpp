// Delivers the leader's orders to the worker: starts with their retries, and stops until they are answered.
// Owns the orders on their way and the stops whose answer the leader has not been told of yet.
#pragma once
#include "agent/agent_context.hpp"
#include "common.hpp"

namespace calicostall {

// Not thread-safe but for the responses that it takes on the loop's thread: the agent's mutex protects it.
class OrderDelivery {
public:
    OrderDelivery(AgentContext& context, AgentEvents& events) : context_(context), events_(events) {}

    // Takes a new order; a stop replaces the start of the same run, and a start after its stop is dropped.
    void accept(const Order& order);
    // Forgets all orders on their way: those of an earlier leader, generation or incarnation are void.
    void discard();
    // Sends each stop whose next attempt is due. Only valid with a worker.
    void send_due_stops(Micros now);
    // Sends each start whose next attempt is due and for which there is a lease; rejects them while the worker drains.
    // Only valid with a worker.
    void send_due_starts(Micros now);

    bool is_idle() const { return starts_.empty() && stops_.empty(); }
    bool has_stops() const { return !stops_.empty(); }
    bool has_attempted_start() const;
    // Stops that the worker answered and no status report carries yet, each as "TASK RUN".
    const std::vector<std::string>& answered_stops() const { return answered_stops_; }
    // These stops are in a status report now.
    void drop_answered_stops(const std::vector<std::string>& reported);

private:
    // An order on its way to the worker.
    struct PendingOrder {
        Order order;
        size_t attempts = 0;
        bool has_unanswered_attempt = false;  // an attempt got no response: it may be carried out yet
        bool is_in_flight = false;
        Micros first_sent_at = 0;
        Micros next_attempt_at = 0;
    };
    using PendingOrders = std::map<RunKey, PendingOrder>;

    static bool is_due(const PendingOrder& pending, Micros now);

    void reject_due_starts(Micros now);
    void send_start(const RunKey& key, PendingOrder& pending, std::int64_t lease_expiry_ms, Micros now);
    void on_start_response(const RunKey& key, const WorkerCallContext& call, const ClientResponse& response);
    void on_start_failed(PendingOrders::iterator start, const ClientResponse& response,
                         std::optional<std::string> reason, Micros now);
    // When a start that was not accepted is tried again; nothing when it has had its attempts or must not be.
    std::optional<Micros> start_retry_time(const PendingOrder& pending, const ClientResponse& response,
                                           const std::optional<std::string>& reason, Micros now) const;
    // What is said of a start that ends without having been accepted.
    static OrderOutcome failure_outcome(const PendingOrder& pending);
    void finish_start(PendingOrders::iterator start, OrderOutcome outcome, std::string reason);
    void send_stop(const RunKey& key, PendingOrder& pending);
    void on_stop_response(const RunKey& key, const WorkerCallContext& call, const ClientResponse& response);
    // Takes in the worker's clock and the round trip; returns the reason for which the worker rejected the order.
    std::optional<std::string> process_response(const WorkerCallContext& call, const ClientResponse& response,
                                                Micros now);

    AgentContext& context_;
    AgentEvents& events_;
    PendingOrders starts_;
    PendingOrders stops_;
    std::vector<std::string> answered_stops_;
};

}  // namespace calicostall
