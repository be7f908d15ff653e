#include "control/jobs/calls/call_responses.hpp"

#include <boost/json.hpp>

namespace calicostall {

Response error_response(int code, const std::string& text) {
    return Response::json(code, boost::json::serialize(boost::json::object{{"error", text}}));
}

void complete_change(const CallCallback& callback, bool is_committed) {
    if (is_committed) return callback(CallOutcome::completed, Response::plain(200));
    callback(CallOutcome::unknown, Response::plain(504));
}

void complete_read(const CallCallback& callback, bool is_confirmed, const Response& response) {
    constexpr int retry_after_s = 1;
    if (is_confirmed) return callback(CallOutcome::completed, response);
    callback(CallOutcome::not_executed, Response::retry_later(503, retry_after_s));
}

}  // namespace calicostall
