// What a worker says, read from JSON: its heartbeats, its responses to orders and its status. Pure.
#pragma once
#include "common.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/settings/settings.hpp"
#include "shared/wire/agent_poll_messages.hpp"

namespace calicostall {

// The body of PUT /workers/ID. `info.terminates_in` is set where the heartbeat names a time left.
struct WorkerHeartbeat {
    WorkerInfo info;
    std::uint64_t sequence = 0;  // rises with each heartbeat of an incarnation
    Micros clock = 0;            // on the worker's clock, in microseconds; 0: not given
};

// Parses one heartbeat. Returns nothing when the body is no JSON object. Fields that are missing or of a wrong type are
// added to `findings`; the heartbeat must not be used then.
std::optional<WorkerHeartbeat> parse_heartbeat(const std::string& worker_id, const std::string& body,
                                               Findings& findings);

// What the responses to all orders have in common.
struct OrderResponse {
    std::optional<Micros> clock;        // on the worker's clock, in microseconds
    std::optional<std::string> reason;  // why the order was rejected
};

// Parses the response to POST /run-start and /run-stop. Both fields are absent for a call that was not answered and for
// a body that is no JSON object.
OrderResponse parse_order_response(const ClientResponse& response);

// The response to POST /hold.
struct WorkerStatus {
    std::optional<Micros> clock;  // on the worker's clock, in microseconds
    bool is_complete = false;     // every row of both lists could be read; without it the lists must not be used
    std::vector<ActiveRun> active;
    std::vector<FinishedRun> finished;
};

// Parses the response to POST /hold; the clock is read even where the lists can't be.
WorkerStatus parse_worker_status(const std::string& body);

}  // namespace calicostall
