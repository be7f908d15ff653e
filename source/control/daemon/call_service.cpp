#include "control/daemon/call_service.hpp"

#include "control/jobs/calls/redirect.hpp"

namespace calicostall {

namespace {

// After a call that wasn't carried out the caller is to come again after so many seconds.
constexpr int retry_after_s = 1;

bool is_operator_call(const CallRequest& request) {
    return request.path == "/config" && request.host.empty();
}

CallResponse not_executed() {
    return CallResponse{CallOutcome::not_executed, 503, {}, retry_after_s};
}

Response to_response(CallResponse result, bool is_read) {
    if (result.outcome != CallOutcome::completed) {
        const bool may_be_done = result.outcome == CallOutcome::unknown && !is_read;
        return Response::retry_later(may_be_done ? 504 : 503, retry_after_s);
    }
    if (!result.location.empty()) return Response::redirect(std::move(result.location));
    Response response;
    response.code = int(result.code);
    response.body = std::move(result.body);
    response.content_type = response.body.empty() ? Response::ContentType::none : Response::ContentType::json;
    response.retry_after_s = int(result.retry_after_s);
    return response;
}

}  // namespace

CallService::CallService(Context context, Micros relay_timeout)
    : context_(std::move(context)), relay_timeout_(relay_timeout) {}

void CallService::on_operator_request(Request request, Micros now) {
    const bool is_read = request.method == "GET";
    auto responder = std::make_shared<Responder>(std::move(request.responder));
    CallRequest call{request.method, {}, "/config", std::move(request.body), request.if_match, false};
    auto respond = [this, responder, is_read, base = request.if_match, now](CallResponse result) {
        Response response = to_response(std::move(result), is_read);
        log_operator_call(is_read ? "read" : "change", base, response, now);
        responder->send(response);
    };
    pending_calls_.enqueue(std::move(call), std::move(respond), now);
    dispatch(now);
}

void CallService::dispatch(Micros now) {
    if (pending_calls_.size() == 0) return;
    if (is_shutting_down_) return pending_calls_.expire_all();
    const Leadership& leadership = context_.leadership;
    CallRoute route{leadership.is_serving(), leadership.other_leader_address(), leadership.known_term(),
                    context_.is_in_contact(now)};
    if (route.is_local) route.term = context_.leader.term();
    for (PendingCalls::Attempt& attempt : pending_calls_.take_due(route, now))
        send_attempt(attempt);
}

void CallService::send_attempt(PendingCalls::Attempt& attempt) {
    auto on_response = [this, ticket = attempt.ticket](CallResponse response) {
        std::lock_guard guard(context_.mutex);
        pending_calls_.on_response(ticket, std::move(response), steady_now());
        context_.iterations.request();
    };
    if (attempt.destination.empty()) return on_call(attempt.request, std::move(on_response));
    if (should_redirect(attempt.request, context_.membership.is_member()))
        return on_response(redirect_to(context_.machine.control_address_of(attempt.destination), attempt.request));
    relay(std::move(attempt.request), attempt.destination, attempt.timeout, std::move(on_response));
}

void CallService::on_call(const CallRequest& request, CallCallback respond) {
    const Micros now = steady_now();
    context_.election.record_activity(now);
    if (context_.leadership.is_serving()) return execute(request, now, std::move(respond));
    auto leader = context_.leadership.other_leader_address();
    if (!request.is_relayed && leader) return relay(request, *leader, relay_timeout_, std::move(respond));
    counters().add("calls_elsewhere");
    respond(not_executed());
}

void CallService::execute(const CallRequest& request, Micros now, CallCallback respond) {
    Scheduler<RecordLedger>& scheduler = context_.scheduler;
    auto on_complete = [respond = std::move(respond)](CallOutcome outcome, Response response) {
        respond(CallResponse{outcome, response.code, std::move(response.body), response.retry_after_s});
    };
    if (!is_operator_call(request))
        return scheduler.handle_call(request, now, context_.clock.wall_clock(now), std::move(on_complete));
    if (request.method == "PUT") return scheduler.put_config(request, std::move(on_complete));
    scheduler.get_config([this, now, on_complete = std::move(on_complete)](CallOutcome outcome, Response response) {
        log_line("config", "read confirmed status={} revision={} term={} latency_ms={}", response.code,
                 context_.scheduler.config().revision, context_.leader.term().value, (steady_now() - now) / 1000);
        on_complete(outcome, std::move(response));
    });
}

void CallService::relay(CallRequest request, const std::string& leader, Micros timeout, CallCallback respond) {
    request.is_relayed = true;
    counters().add("calls_relayed");
    context_.loop.send({.url = "http://" + leader + "/inner/call", .body = encode(request), .timeout = timeout},
                       [respond = std::move(respond)](const ClientResponse& response) {
                           auto frame = response.is_ok() ? decode<CallResponse>(response.body) : std::nullopt;
                           if (frame) return respond(std::move(*frame));
                           const bool is_not_sent = response.outcome == ClientResponse::Outcome::not_sent;
                           respond(CallResponse{
                               is_not_sent ? CallOutcome::not_executed : CallOutcome::unknown, 503, {}, retry_after_s});
                       });
}

// Operators' calls are few, and whoever misses an answer or finds an old one wants to know which daemon gave it, and
// when.
void CallService::log_operator_call(std::string_view call, const std::string& base, const Response& response,
                                    Micros requested_at) const {
    const Leadership& leadership = context_.leadership;
    const std::string& known = leadership.leader_address();
    const std::string source = leadership.is_serving() ? "local" : known.empty() ? "unknown" : known;
    log_line("config", "{} answered status={} base={} bytes={} leader={} term={} in_contact={} latency_ms={}", call,
             response.code, base.empty() ? "none" : base, response.body.size(), source, leadership.known_term().value,
             context_.is_in_contact(steady_now()), (steady_now() - requested_at) / 1000);
}

}  // namespace calicostall
