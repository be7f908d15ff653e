// Finds out whether a heartbeat under an unknown id comes from the worker that runs now. A heartbeat may be seconds
// late, so that its incarnation has crashed and another one runs: only the worker itself can tell.
//
// Each unknown id is a candidate. The worker at its address is sent a status query for this id alone
// (X-Expected-Worker): 200 confirms it, 421 says that another incarnation runs there, so that the candidate has ended.
// Anything else decides nothing, and the query is repeated while the candidate sends heartbeats.
#pragma once
#include "agent/agent_context.hpp"
#include "common.hpp"

namespace calicostall {

// Not thread-safe: the agent's mutex protects it. Responses arrive on the loop's thread, which takes the mutex.
class WorkerIdentification {
public:
    using ConfirmedHandler = std::function<void(WorkerHeartbeat heartbeat, Micros heard_at)>;
    using RefutedHandler = std::function<void(const std::string& worker_id)>;

    // `on_confirmed` gets the latest heartbeat of an id that runs and when it came, `on_refuted` an id that has ended;
    // both are called with the mutex held, and the candidate is forgotten before.
    WorkerIdentification(AgentContext& context, ConfirmedHandler on_confirmed, RefutedHandler on_refuted)
        : context_(context), on_confirmed_(std::move(on_confirmed)), on_refuted_(std::move(on_refuted)) {}

    // A heartbeat under an id that is not the current incarnation's; it is asked for at once.
    void on_heartbeat(WorkerHeartbeat heartbeat, Micros now);
    // Sends the queries that are due, and forgets candidates that have sent no heartbeat for long.
    void send_due_queries(Micros now);

private:
    struct Candidate {
        WorkerHeartbeat heartbeat;  // the latest by its sequence
        Micros heard_at = 0;
        Micros next_query_at = 0;
        bool is_query_in_flight = false;
        std::optional<Term> refused_fence;  // no query goes out again before the leader has a higher term
    };

    void query(Candidate& candidate, Micros now);
    void on_response(const std::string& worker_id, Term fence, const ClientResponse& response);

    AgentContext& context_;
    ConfirmedHandler on_confirmed_;
    RefutedHandler on_refuted_;
    std::map<std::string, Candidate> candidates_;  // by worker id
};

}  // namespace calicostall
