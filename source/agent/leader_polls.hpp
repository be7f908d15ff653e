// Polls the leader (POST /inner/side): each poll carries the worker's info, status reports and the outcomes of orders,
// and brings orders and the lease back. Owns what has not reached the leader yet.
#pragma once
#include "agent/agent_context.hpp"
#include "agent/status_queries.hpp"
#include "common.hpp"
#include "shared/discovery/leader_locator.hpp"
#include "shared/discovery/poll_pacer.hpp"

namespace calicostall {

// One poll always waits at the leader; a second one carries what cannot wait for its response.
// Not thread-safe but for the calls of the loop's thread (responses, timers, a new leader): the agent's mutex protects
// it.
class LeaderPolls {
public:
    LeaderPolls(AgentContext& context, const StatusQueries& queries, AgentEvents& events);

    // Begins to look for the leader.
    void start() { leader_locator_.start(); }
    // Replaces the addresses that the leader is looked for at first.
    void set_seeds(const std::vector<std::string>& seeds) { leader_locator_.add_seeds(seeds); }

    // Sends a poll as soon as its urgency and the leader's backoff allow it.
    void poll(PollUrgency urgency);
    // Whether no poll is under way, and none is to follow a failed one.
    bool is_idle() const { return polls_in_flight_ == 0 && unserved_polls_ == 0; }
    // Adds the outcome of an order; one that is not `started` is sent soon.
    void add_order_result(const Order& order, OrderOutcome outcome, std::string reason);
    // Replaces the status report that is to be sent, keeping what only the earlier one says.
    void stage_report(AgentEvents::StatusReportEvent event);
    // Orders of an earlier generation: their outcomes interest nobody any more.
    void discard_results() { results_.clear(); }
    // Another incarnation of the worker: the report that waits is void.
    void discard_report() { report_.reset(); }
    // Another leader: the report that waits is void, and so is one that is under way.
    void void_report();

private:
    // What a poll carried, so that its response clears just that.
    struct PollContext {
        std::uint64_t poll_number = 0;
        std::uint64_t poll_generation = 0;
        Micros sent_at = 0;
        std::uint64_t report_sequence = 0;
        std::uint64_t results_end = 0;  // all results before this one were carried
        std::uint64_t worker_info_sequence = 0;
    };

    void on_leader_change();
    void poll_later(Micros delay);
    AgentPollRequest make_request(Micros now);
    void on_response(const PollContext& sent_poll, const ClientResponse& http_response);
    // A response that does not come from the leader, or none at all.
    void on_unserved(bool has_response, Micros now);
    // What the poll carried has arrived; what came since stays.
    void drop_acknowledged(const PollContext& sent_poll);

    AgentContext& context_;
    const StatusQueries& queries_;
    AgentEvents& events_;
    LeaderLocator leader_locator_;
    std::uint64_t agent_incarnation_;  // a random id of this process

    Term watched_term_;  // of the leader that is polled
    std::uint64_t poll_number_ = 0;
    std::uint64_t last_answered_poll_ = 0;
    std::uint64_t poll_generation_ = 0;  // rises with each leader: responses to earlier polls are void
    size_t polls_in_flight_ = 0;
    size_t unserved_polls_ = 0;  // consecutive ones
    size_t target_index_ = 0;    // of the locator's targets: the leader first
    PollUrgency wanted_urgency_ = PollUrgency::idle;
    bool is_poll_scheduled_ = false;
    PollPacer pacer_;
    AgreedTimeMemory agreed_time_memory_;

    std::uint64_t reported_worker_info_sequence_ = 0;  // to the leader that answered last
    std::vector<OrderResult> results_;                 // their `age` holds the moment of the outcome until it is sent
    std::uint64_t acknowledged_results_ = 0;           // how many have left `results_` by a response
    std::optional<WorkerStatusReport> report_;
    std::uint64_t report_sequence_ = 0;
    Micros last_report_at_ = 0;
};

}  // namespace calicostall
