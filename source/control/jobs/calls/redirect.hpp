/// Operators' calls that are answered with a redirection to the leader. Pure.
#pragma once
#include "common.hpp"
#include "shared/wire/call_messages.hpp"

namespace calicostall {

/// Whether a call that came to this daemon is redirected to the leader instead of being relayed: a read of the
/// configuration at a daemon that is no voting member. The text may take seconds over that machine's link, more than
/// the caller waits for. Whoever serves it confirms it with a majority, so an address that is out of date gives no old
/// answer.
/// @param is_voter  whether this daemon is a voting member
/// Example: if (should_redirect(request, rank_.has_value())) respond(redirect_to(leader_control_address, request));
inline bool should_redirect(const CallRequest& request, bool is_voter) {
    const bool is_operator_call = request.path == "/config" && request.host.empty();
    return !is_voter && is_operator_call && request.method == "GET";
}

/// The response that sends the caller to another daemon.
/// @param control_address  that daemon's control port, as "host:port"
/// Example: redirect_to("10.0.0.4:8166", request).location == "http://10.0.0.4:8166/config"
inline CallResponse redirect_to(const std::string& control_address, const CallRequest& request) {
    constexpr std::int64_t temporary_redirect = 307;
    return {
        CallOutcome::completed, temporary_redirect, {}, 0, fmt::format("http://{}{}", control_address, request.path)};
}

}  // namespace calicostall
