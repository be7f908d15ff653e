// The agent's HTTP calls to the worker, and how long a response is waited for. Owns the measured round trips.
#pragma once
#include <boost/json.hpp>

#include "agent/response_timeout.hpp"
#include "common.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/wire/agent_poll_messages.hpp"

namespace calicostall {

// Not thread-safe: the agent's mutex protects it. Responses arrive on the loop's thread.
class WorkerClient {
public:
    // `lossy_duration`: how long after a call without a response the path to the worker counts as lossy.
    WorkerClient(EventLoop& loop, ResponseTimeout::Settings timeout, Micros lossy_duration)
        : loop_(loop), response_timeout_(timeout), lossy_duration_(lossy_duration) {}

    // Sends a POST with a JSON body to the worker, for this incarnation of it alone (X-Expected-Worker).
    // Example: client.post(worker, "/run-stop", body, client.response_timeout(), [](ClientResponse response) { ... });
    void post(const WorkerInfo& worker, const char* path, const boost::json::object& body, Micros timeout,
              EventLoop::ResponseHandler on_response);

    // How long a response that the worker sends at once is waited for.
    Micros response_timeout() const { return response_timeout_.value(); }
    // Learns from a call's response, or from its absence, how long the next one is waited for.
    void record_round_trip(Micros sent_at, const ClientResponse& response, Micros now);
    // Whether a recent call got no response.
    bool is_lossy(Micros now) const { return now < lossy_until_; }
    // Another incarnation: its round trips are not known.
    void reset() { response_timeout_.reset(); }

private:
    EventLoop& loop_;
    ResponseTimeout response_timeout_;
    Micros lossy_duration_;
    Micros lossy_until_ = 0;
};

}  // namespace calicostall
