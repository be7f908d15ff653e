#include "front/forwarded_call.hpp"

namespace calicostall {

namespace {

constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
constexpr int status_unknown_outcome = 504;
constexpr int retry_after_s = 1;
// So many daemons take turns: the leader that is known, then the nearest peers.
constexpr size_t target_count = 4;

}  // namespace

Response ForwardedCall::final_response(CallResponse response) const {
    // An earlier attempt of this call may have been carried out: then a rejection would be wrong.
    // So would be the news that a job's queue is gone, where the job was accepted before.
    const bool is_unknown_queue = response.code == status_not_found && request.method == "POST";
    const bool is_rejection =
        response.code == status_too_many_requests || response.code == status_unavailable || is_unknown_queue;
    Response client_response;
    client_response.code = is_rejection && may_have_executed ? status_unknown_outcome : int(response.code);
    client_response.body = std::move(response.body);
    client_response.content_type =
        client_response.body.empty() ? Response::ContentType::none : Response::ContentType::json;
    client_response.retry_after_s = int(response.retry_after_s);
    return client_response;
}

Response ForwardedCall::failure_response() const {
    const bool has_side_effects = request.method == "POST" || request.method == "DELETE";
    const bool is_outcome_unknown = may_have_executed || attempts_in_flight > 0;
    if (is_outcome_unknown && has_side_effects) return Response::plain(status_unknown_outcome);
    return Response::retry_later(status_unavailable, retry_after_s);
}

void ForwardedCall::on_failed_attempt(const ClientResponse& http_response,
                                      const std::optional<CallResponse>& response) {
    const bool is_surely_not_executed = (response && response->outcome == CallOutcome::not_executed) ||
                                        http_response.outcome == ClientResponse::Outcome::not_sent;
    if (!is_surely_not_executed) may_have_executed = true;
}

void ForwardedCall::advance_target() {
    target_index = (target_index + 1) % target_count;
}

}  // namespace calicostall
