// Queries what runs on the worker and what ended there (POST /hold); each query renews the worker's lease as well.
// Owns the state of the queries on their way, and whether the worker is responsive.
#pragma once
#include "agent/agent_context.hpp"
#include "agent/order_delivery.hpp"
#include "common.hpp"

namespace calicostall {

// At most one long query waits at the worker for an end; a short one beside it asks for the state at once.
// Not thread-safe but for the responses that it takes on the loop's thread: the agent's mutex protects it.
class StatusQueries {
public:
    StatusQueries(AgentContext& context, OrderDelivery& orders, AgentEvents& events)
        : context_(context), orders_(orders), events_(events) {}

    // Sends a long query if none is under way and anything on the worker may change. Only valid with a worker.
    void query_if_due(Micros now);
    // Sends a short query that delivers the fence of a new leader, once no long one is under way.
    void deliver_fence_if_due(Micros now);
    // Asks the worker for its state at once. While such a query is under way, another one follows it.
    void query_now() { query(0); }
    // The leader has taken note of all ends up to this number.
    void acknowledge_ends(std::uint64_t number) { acknowledged_end_ = std::max(acknowledged_end_, number); }
    // Another incarnation of the worker: what is known of the ends and of its responsiveness is void.
    void reset();

    std::uint64_t acknowledged_end() const { return acknowledged_end_; }
    // Whether the worker has answered no query for so long that the leader is to know.
    bool is_unresponsive() const { return is_unresponsive_; }

private:
    // What a query carried, and whether the worker may delay its response.
    struct QueryContext {
        WorkerCallContext call;
        std::uint64_t number = 0;            // among the queries and the answered starts (ActiveRuns)
        std::uint64_t acknowledged_end = 0;  // the worker forgets the ends up to this one
        bool is_short = false;
        bool may_wait = false;                    // the worker may delay its response until a run ends
        std::vector<std::string> answered_stops;  // those that were answered before the query was sent
    };

    // `wait`: how long the worker may delay its response until a run ends; 0 makes the query a short one.
    void query(Micros wait);
    void on_response(const QueryContext& query, const ClientResponse& response);
    // Takes in a complete status; false when the response holds none.
    bool apply_status(const QueryContext& query, const ClientResponse& response, Micros now);
    void report_status(const QueryContext& query, WorkerStatus status, Micros now);
    void on_query_answered();
    void on_query_failed(const QueryContext& query, const ClientResponse& response, Micros now);
    bool has_failed_long_enough(Micros now) const;
    // Whether the worker listed an end that no answered query has acknowledged. It lists a limited number at once:
    // there may be more behind them.
    bool has_unconfirmed_ends() const { return last_end_ > confirmed_end_; }

    AgentContext& context_;
    OrderDelivery& orders_;
    AgentEvents& events_;

    bool is_long_query_in_flight_ = false;
    bool is_short_query_in_flight_ = false;
    bool needs_short_query_ = false;  // once the short one under way is answered
    Micros next_query_at_ = 0;
    std::uint64_t last_reported_query_ = 0;  // the newest query whose answer was reported to the leader

    std::uint64_t acknowledged_end_ = 0;  // of the worker's ends, by the leader
    std::uint64_t confirmed_end_ = 0;     // the last of them that an answered query acknowledged
    std::uint64_t last_end_ = 0;          // the highest number that the worker reported
    Micros last_end_at_ = 0;

    bool is_unresponsive_ = false;
    size_t failed_queries_ = 0;        // consecutive ones without a response
    Micros first_failed_sent_at_ = 0;  // when the first of them was sent
    bool has_report_gap_ = false;      // the query before had no response
};

}  // namespace calicostall
