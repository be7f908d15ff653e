#include "front/front.hpp"

namespace calicostall {

namespace {

// How much of the grace period is left for the process's end when the drain is over at the latest.
constexpr Micros exit_reserve = milliseconds(1300);
// A drain is over early when no call came for this long.
constexpr Micros quiet_period = milliseconds(2200);
constexpr Micros drain_check_interval = milliseconds(100);
// What is kept back of a call's time for the way of the response to its client.
constexpr Micros response_reserve = milliseconds(100);
constexpr Micros min_call_timeout = milliseconds(100);
// An attempt with less time left could not be answered.
constexpr Micros min_attempt_time = milliseconds(5);
constexpr size_t attempts_per_target = 6;
constexpr int retry_after_s = 1;

constexpr size_t max_call_bytes = 8 << 20;
constexpr size_t max_readiness_bytes = 4096;
constexpr size_t watched_daemons = 2;
constexpr Micros watch_wait = seconds(5);

void open_listener(std::unique_ptr<Listener>& listener, const std::string& address, const char* setting,
                   size_t max_body_bytes, Listener::RequestHandler handler, Findings& findings) {
    if (address.empty()) return;
    try {
        listener =
            std::make_unique<Listener>(address, Listener::Limits{.max_body_bytes = max_body_bytes}, std::move(handler));
        listener->open();
    } catch (const std::exception& error) {
        findings.add(setting, fmt::format("{}: {}", address, error.what()));
    }
}

}  // namespace

Front::Front(FrontSettings settings, EventLoop& loop)
    : settings_(std::move(settings)),
      loop_(loop),
      leader_locator_(
          {settings_.machine.node_name, settings_.machine.seed_replicas(), watched_daemons, watch_wait, true}, loop,
          [this] { on_cluster_state_change(); }) {}

Findings Front::open() {
    Findings findings;
    const Settings& machine = settings_.machine;
    auto on_call = [this](Request request) { handle_request(std::move(request)); };
    open_listener(client_listener_, machine.front_address, "bind_addrs.front", max_call_bytes, on_call, findings);
    auto on_probe = [this](Request request) {
        request.responder.send(Response::plain(request.path == "/ready" && is_ready() ? 200 : 503));
    };
    open_listener(readiness_listener_, machine.readiness_address, "bind_addrs.readiness", max_readiness_bytes, on_probe,
                  findings);
    leader_locator_.start();
    return findings;
}

bool Front::is_ready() const {
    return !is_draining_ && leader_locator_.config_revision() > 0 && leader_locator_.is_in_contact(steady_now());
}

// --- the drain ---

void Front::begin_graceful_shutdown(const std::function<void()>& on_drained) {
    log_line("front", "draining");
    is_draining_ = true;
    if (client_listener_) client_listener_->begin_draining();
    {
        std::lock_guard guard(mutex_);
        drain_deadline_ = steady_now() + settings_.machine.grace_period - exit_reserve;
        for (Handle handle : pending_calls_.handles()) {
            ForwardedCall* call = pending_calls_.find(handle);
            call->deadline = std::min(call->deadline, *drain_deadline_);
        }
    }
    check_drain(on_drained);
}

void Front::check_drain(const std::function<void()>& on_drained) {
    const Micros now = steady_now();
    bool is_drained;
    {
        std::lock_guard guard(mutex_);
        const bool is_quiet = pending_calls_.size() == 0 && now - last_call_at_ > quiet_period;
        const bool may_end_early = now > *drain_deadline_ - settings_.machine.grace_period / 3;
        is_drained = (is_quiet && may_end_early) || now >= *drain_deadline_;
        if (is_drained) fail_all_calls();
    }
    if (is_drained) return on_drained();
    loop_.run_after(drain_check_interval, [this, on_drained] { check_drain(on_drained); });
}

void Front::fail_all_calls() {
    is_rejecting_calls_ = true;
    for (Handle handle : pending_calls_.handles())
        fail_call(handle);
}

// --- the cluster's state ---

void Front::on_cluster_state_change() {
    std::lock_guard guard(mutex_);
    if (Term term = leader_locator_.term(); term > term_) {
        term_ = term;
        resend_pending_calls();
    }
    // Each revision's text is parsed once.
    if (std::uint64_t revision = leader_locator_.config_revision(); revision > config_revision_) {
        config_revision_ = revision;
        config_ = read_config(leader_locator_.config());
        log_line("front", "configuration applied revision={}", config_.revision);
    }
}

void Front::resend_pending_calls() {
    for (Handle handle : pending_calls_.handles()) {
        ForwardedCall* call = pending_calls_.find(handle);
        call->target_index = 0;
        if (call->attempts_in_flight == 0) continue;
        call->may_have_executed = true;
        loop_.run_after(0, [this, handle] { send_call(handle); });
    }
}

// --- calls ---

std::optional<Response> Front::rejection_of(const Request& request) const {
    if (config_.revision == 0 || is_rejecting_calls_) return Response::retry_later(503, retry_after_s);
    if (request.head_bytes > config_.max_header_bytes) return Response::plain(431);
    if (request.body.size() > config_.max_body_bytes) return Response::plain(413);
    if (pending_calls_.size() < settings_.max_pending_calls) return std::nullopt;
    counters().add("calls_refused");
    return Response::retry_later(503, retry_after_s);
}

Micros Front::call_timeout(const Request& request) const {
    const Queue* queue = config_.find(request.host, request.path);
    Micros timeout = settings_.max_call_timeout;
    if (!request.deadline_ms.empty())
        timeout = std::min(timeout, Micros(std::atoll(request.deadline_ms.c_str())) * 1000 - response_reserve);
    if (queue) timeout = std::min(timeout, queue->timeout - response_reserve);
    return std::max(timeout, min_call_timeout);
}

void Front::handle_request(Request request) {
    std::unique_lock guard(mutex_);
    last_call_at_ = steady_now();
    counters().add("calls");
    if (std::optional<Response> rejection = rejection_of(request)) return request.responder.send(*rejection);
    ForwardedCall call;
    call.deadline = last_call_at_ + call_timeout(request);
    if (drain_deadline_) call.deadline = std::min(call.deadline, *drain_deadline_);
    call.responder = std::move(request.responder);
    call.request = {request.method, request.host, request.path, std::move(request.body), {}, false};
    const Handle handle = pending_calls_.insert(std::move(call));
    guard.unlock();
    send_call(handle);
}

void Front::send_call(Handle handle) {
    ClientRequest http_request;
    {
        std::lock_guard guard(mutex_);
        ForwardedCall* call = pending_calls_.find(handle);
        if (!call) return;
        const Micros remaining = call->deadline - steady_now();
        if (remaining < min_attempt_time) return fail_call(handle);
        ++call->attempts;
        ++call->attempts_in_flight;
        http_request.url = "http://" + leader_locator_.call_target(call->target_index) + "/inner/call";
        http_request.body = encode(call->request);
        http_request.timeout = std::min(remaining, settings_.attempt_timeout);
    }
    loop_.send(std::move(http_request),
               [this, handle](const ClientResponse& http_response) { on_call_response(handle, http_response); });
}

void Front::on_call_response(Handle handle, const ClientResponse& http_response) {
    auto response = http_response.is_ok() ? decode<CallResponse>(http_response.body) : std::nullopt;
    {
        std::lock_guard guard(mutex_);
        ForwardedCall* call = pending_calls_.find(handle);
        if (!call) return;
        --call->attempts_in_flight;
        if (response && response->outcome == CallOutcome::completed) {
            const Response client_response = call->final_response(std::move(*response));
            pending_calls_.take(handle)->responder.send(client_response);
            return;
        }
        call->on_failed_attempt(http_response, response);
        if (!prepare_retry(handle, *call, response.has_value())) return;
    }
    leader_locator_.refresh();
    loop_.run_after(settings_.retry_interval, [this, handle] { send_call(handle); });
}

bool Front::prepare_retry(Handle handle, ForwardedCall& call, bool has_response) {
    counters().add("sends_again");
    if (call.attempts_in_flight > 0) return false;
    // A daemon that has just been elected answers so for a moment; silence is a reason to try another one.
    if (!has_response || call.attempts % attempts_per_target == 0) call.advance_target();
    const Micros remaining = call.deadline - steady_now();
    if (remaining >= settings_.retry_interval + min_attempt_time) return true;
    // No time for another attempt: the final response leaves now, not after a pause.
    fail_call(handle);
    return false;
}

void Front::fail_call(Handle handle) {
    std::optional<ForwardedCall> call = pending_calls_.take(handle);
    if (!call) return;
    counters().add("calls_given_up");
    call->responder.send(call->failure_response());
}

}  // namespace calicostall
