/// What the calls of clients and operators have in common: how they are answered, and what they wait for first.
#pragma once
#include "common.hpp"
#include "control/jobs/settings.hpp"
#include "shared/http/response.hpp"
#include "shared/wire/call_messages.hpp"

namespace calicostall {

/// Receives the outcome of a call and its response; called exactly once, unless the process ends before.
using CallCallback = std::function<void(CallOutcome, Response)>;

/// A response with a JSON object that explains what is wrong.
/// @param code  the HTTP status
/// Example: error_response(400, "id: must be 16 hex digits").body == R"({"error":"id: must be 16 hex digits"})"
Response error_response(int code, const std::string& text);

/// Ends a call that changes something: 200 once a majority is known to have the change, else 504 with an unknown
/// outcome, as the change may still be committed by a later leader.
void complete_change(const CallCallback& callback, bool is_committed);

/// Ends a call that changes nothing: `response` once a majority has confirmed what it says, else 503.
void complete_read(const CallCallback& callback, bool is_confirmed, const Response& response);

/// Answers with `response` once a majority has confirmed the present value of the register `key`, with all that was
/// proposed for it before.
/// Example: respond_when_confirmed(ledger, "config", Response::plain(404), std::move(callback));
template <Ledger L>
void respond_when_confirmed(L& ledger, const std::string& key, Response response, CallCallback callback) {
    ledger.confirm(key, [response = std::move(response), callback = std::move(callback)](bool is_confirmed) {
        complete_read(callback, is_confirmed, response);
    });
}

}  // namespace calicostall
