// The conversation of a node agent with the leader, POST /inner/side: the agent reports its worker and the results of
// orders, the leader answers with a lease for the worker, orders, and what it wants to know.
#pragma once
#include "common.hpp"
#include "shared/time/agreed_time.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

// What a worker offers, and where it is.
struct WorkerInfo {
    std::string worker_id, service, address, zone;
    std::int64_t cpu = 0, memory = 0, gpu = 0;
    std::vector<std::string> labels;
    bool is_draining = false;
    Micros terminates_in = -1;  // counted from the sending of the frame; -1: not known
    bool operator==(const WorkerInfo&) const = default;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(worker_id), visit(service), visit(address), visit(zone), visit(cpu), visit(memory), visit(gpu),
            visit(labels), visit(is_draining), visit(terminates_in);
    }
};

// A run that the worker is executing.
struct ActiveRun {
    std::string task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::int64_t progress_percent = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(task), visit(run), visit(checkpoint), visit(progress_percent);
    }
};

// A run that has ended on the worker.
struct FinishedRun {
    std::uint64_t sequence = 0;  // of the end, as the worker counts them
    std::string task;
    std::uint32_t run = 0;
    std::string outcome, checkpoint;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(sequence), visit(task), visit(run), visit(outcome), visit(checkpoint);
    }
};

// What a worker's `/hold` returned, queried under `fence`.
struct WorkerStatusReport {
    std::string worker_id;
    Term fence;
    std::vector<ActiveRun> active;
    std::vector<FinishedRun> finished;
    std::vector<std::string> answered_stops;  // "TASK RUN" of the stops that were answered before this query began
    bool follows_gap = false;                 // the query before it had no answer: the ends may be older than they seem
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(worker_id), visit(fence), visit(active), visit(finished), visit(answered_stops), visit(follows_gap);
    }
};

// The numbers are those of the wire.
enum class OrderKind { start, stop };

// An order of the leader to a worker: to start or to stop one run of a task.
struct Order {
    std::uint64_t number = 0;
    OrderKind kind = OrderKind::start;
    std::string worker_id, task;
    std::uint32_t run = 0;
    std::string spec, checkpoint;
    // In an AgentPollResponse: from 1, the index of the spec in `specs`; 0: `spec` holds it.
    std::uint64_t spec_index = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(kind), visit(worker_id), visit(task), visit(run), visit(spec), visit(checkpoint),
            visit(spec_index);
    }
};

// The numbers are those of the wire.
enum class OrderOutcome {
    started,   // the worker has it
    rejected,  // it will not start by this order, and no earlier attempt is open
    unknown,   // it may start yet
};

struct OrderResult {
    std::uint64_t number = 0;  // of the order
    OrderOutcome outcome = OrderOutcome::started;
    std::string task;
    std::uint32_t run = 0;
    std::string reason;
    Micros age = 0;  // how long before the sending of the frame
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(outcome), visit(task), visit(run), visit(reason), visit(age);
    }
};

struct AgentPollRequest {
    std::string node;
    std::uint64_t agent_incarnation = 0;    // this process of the agent
    std::uint64_t sequence = 0;             // rises with each request
    Term term;                              // of the leader whose orders `last_received_order` counts
    std::uint64_t last_received_order = 0;  // the highest number of an order received
    std::uint64_t acknowledged_end = 0;     // the last of the worker's ends that the leader acknowledged
    std::optional<WorkerInfo> worker_info;
    // Rises with each change of `worker_info`; alone, it means the worker info that was sent with it.
    std::uint64_t worker_info_sequence = 0;
    Micros terminates_in = -1;                    // as in the worker info, sent each time
    std::vector<std::string> ended_incarnations;  // worker ids seen to have ended on this machine
    std::optional<WorkerStatusReport> status_report;
    std::vector<OrderResult> order_results;
    bool is_unresponsive = false;  // the worker does not answer
    bool is_relayed = false;       // by a daemon that isn't the leader; such a poll is not relayed again
    AgreedTime agreed_time;        // the time of day as the last leader stated it
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(node), visit(agent_incarnation), visit(sequence), visit(term), visit(last_received_order),
            visit(acknowledged_end), visit(worker_info), visit(worker_info_sequence), visit(terminates_in),
            visit(ended_incarnations), visit(status_report), visit(order_results), visit(is_unresponsive),
            visit(is_relayed), visit(agreed_time);
    }
};

struct AgentPollResponse {
    bool is_from_leader = false;  // false: this daemon isn't the leader, and the rest says nothing
    Term term;
    Micros lease_duration = 0;  // the worker's lease may last so long, counted from the sending of the request
    std::string worker_id;
    std::uint64_t generation = 0;  // orders of an earlier generation are void
    std::uint64_t acknowledged_end = 0;
    bool status_requested = false;  // the worker's status is to be queried now
    std::vector<Order> orders;
    std::vector<std::string> specs;  // each once, however many orders share it
    Micros poll_backoff = 0;         // before the next request
    bool needs_worker_info = false;  // nothing of the request was taken: what its worker_info_sequence means is unknown
    AgreedTime agreed_time;          // the time of day that the leader goes by
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(is_from_leader), visit(term), visit(lease_duration), visit(worker_id), visit(generation),
            visit(acknowledged_end), visit(status_requested), visit(orders), visit(specs), visit(poll_backoff),
            visit(needs_worker_info), visit(agreed_time);
    }

    // Tasks of one job share the text of its spec: moves the texts from the orders to `specs`, each once.
    void deduplicate_specs();
    // The other way round. Returns false when an order names a text that is not there.
    bool expand_specs();
};

}  // namespace calicostall
