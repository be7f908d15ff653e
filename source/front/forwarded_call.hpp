// One client's call on its way to the leader, and which response its client gets. Pure: sends nothing, reads no clock.
#pragma once
#include "common.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/http/listener.hpp"
#include "shared/wire/call_messages.hpp"

namespace calicostall {

// Not thread-safe: the front's mutex protects it.
struct ForwardedCall {
    // The client's response, where the leader has carried the call out or rejected it.
    Response final_response(CallResponse response) const;
    // The client's response, where none of the attempts got a final one: 504 where the call may have been carried out,
    // else 503 with the advice to come again.
    Response failure_response() const;
    // An attempt ended without a final response; `response` is what the daemon answered, if anything.
    void on_failed_attempt(const ClientResponse& http_response, const std::optional<CallResponse>& response);
    // The next attempt goes to another daemon.
    void advance_target();

    Responder responder;
    CallRequest request;
    Micros deadline = 0;  // on the monotonic clock, in microseconds
    size_t attempts = 0;
    size_t attempts_in_flight = 0;
    size_t target_index = 0;         // of the locator's targets: the leader first
    bool may_have_executed = false;  // an attempt may have been carried out
};

}  // namespace calicostall
