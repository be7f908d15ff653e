#include "agent/order_delivery.hpp"

#include <boost/json.hpp>

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

// Until the next attempt, by how the last one failed.
constexpr Micros retry_after_no_response = milliseconds(20);
constexpr Micros retry_after_fence = milliseconds(200);  // the worker knows a newer term, or is another one
constexpr Micros retry_after_late = milliseconds(30);    // `until_ms` was over on the worker's clock
constexpr Micros stop_retry_interval = milliseconds(200);

constexpr int status_wrong_worker = 421;  // X-Expected-Worker names another incarnation
constexpr int first_failure_status = 300;

}  // namespace

void OrderDelivery::accept(const Order& order) {
    RunKey key{order.task, order.run};
    if (order.kind == OrderKind::start && stops_.contains(key)) return;
    if (order.kind == OrderKind::stop) starts_.erase(key);
    PendingOrders& orders = order.kind == OrderKind::start ? starts_ : stops_;
    PendingOrder& pending = orders[key];
    pending.order = order;
    pending.next_attempt_at = 0;
}

void OrderDelivery::discard() {
    starts_.clear();
    stops_.clear();
}

bool OrderDelivery::is_due(const PendingOrder& pending, Micros now) {
    return !pending.is_in_flight && now >= pending.next_attempt_at;
}

void OrderDelivery::send_due_stops(Micros now) {
    for (auto& [key, pending] : stops_)
        if (is_due(pending, now)) send_stop(key, pending);
}

void OrderDelivery::send_due_starts(Micros now) {
    if (context_.session.worker()->is_draining) return reject_due_starts(context_.now());
    for (auto& [key, pending] : starts_) {
        if (!is_due(pending, now)) continue;
        const std::optional<std::int64_t> lease_expiry_ms = context_.lease.expiry_ms(now);
        if (!lease_expiry_ms) return;
        send_start(key, pending, *lease_expiry_ms, now);
    }
}

void OrderDelivery::reject_due_starts(Micros now) {
    for (auto next = starts_.begin(); next != starts_.end();) {
        const auto start = next++;
        if (is_due(start->second, now)) finish_start(start, failure_outcome(start->second), "draining");
    }
}

bool OrderDelivery::has_attempted_start() const {
    return std::any_of(starts_.begin(), starts_.end(), [](const auto& each) { return each.second.attempts > 0; });
}

void OrderDelivery::drop_answered_stops(const std::vector<std::string>& reported) {
    std::erase_if(answered_stops_, [&](const std::string& each) {
        return std::find(reported.begin(), reported.end(), each) != reported.end();
    });
}

std::optional<std::string> OrderDelivery::process_response(const WorkerCallContext& call,
                                                           const ClientResponse& response, Micros now) {
    OrderResponse parsed = parse_order_response(response);
    if (parsed.clock) context_.lease.record_worker_clock(*parsed.clock, now);
    context_.client.record_round_trip(call.sent_at, response, now);
    return std::move(parsed.reason);
}

// --- starts ---

void OrderDelivery::send_start(const RunKey& key, PendingOrder& pending, std::int64_t lease_expiry_ms, Micros now) {
    pending.is_in_flight = true;
    if (pending.attempts++ == 0) pending.first_sent_at = now;
    boost::json::object body{{"task", pending.order.task},
                             {"run_id", pending.order.run},
                             {"job_spec", pending.order.spec},
                             {"until_ms", lease_expiry_ms},
                             {"fence", context_.leader.term.value}};
    if (!pending.order.checkpoint.empty()) body["checkpoint"] = pending.order.checkpoint;
    counters().add("starts_sent");
    auto on_response = [this, key, call = context_.make_call_context(context_.now())](const ClientResponse& response) {
        on_start_response(key, call, response);
    };
    context_.client.post(*context_.session.worker(), "/run-start", body, context_.client.response_timeout(),
                         std::move(on_response));
}

void OrderDelivery::on_start_response(const RunKey& key, const WorkerCallContext& call,
                                      const ClientResponse& response) {
    std::lock_guard guard(context_.mutex);
    if (!context_.session.is_current(call.worker_id)) return;
    const Micros now = context_.now();
    std::optional<std::string> reason = process_response(call, response, now);
    // What the worker accepted is active there, whoever ordered it and whether or not a stop has replaced the start.
    if (response.is_ok()) context_.session.active_runs().on_started(key);
    if (call.term != context_.leader.term || call.generation != context_.leader.generation) return;
    auto start = starts_.find(key);
    if (start == starts_.end()) return;
    start->second.is_in_flight = false;
    if (!response.is_ok()) return on_start_failed(start, response, std::move(reason), now);
    finish_start(start, OrderOutcome::started, {});
    events_.send_due_calls(now);
}

void OrderDelivery::on_start_failed(PendingOrders::iterator start, const ClientResponse& response,
                                    std::optional<std::string> reason, Micros now) {
    PendingOrder& pending = start->second;
    if (response.outcome != ClientResponse::Outcome::answered) {
        if (response.outcome == ClientResponse::Outcome::unknown) pending.has_unanswered_attempt = true;
        counters().add("starts_unanswered");
        reason = "silence";
    }
    if (std::optional<Micros> retry_at = start_retry_time(pending, response, reason, now)) {
        pending.next_attempt_at = *retry_at;
        return;
    }
    if (!reason) reason = fmt::format("{}", response.status);
    finish_start(start, failure_outcome(pending), std::move(*reason));
}

std::optional<Micros> OrderDelivery::start_retry_time(const PendingOrder& pending, const ClientResponse& response,
                                                      const std::optional<std::string>& reason, Micros now) const {
    const AgentSettings& settings = context_.settings;
    const bool are_attempts_exhausted = pending.attempts >= settings.max_attempts;
    const bool is_time_exhausted = now - pending.first_sent_at >= settings.min_attempt_duration;
    const bool is_answered = response.outcome == ClientResponse::Outcome::answered;
    if (!is_answered && !(are_attempts_exhausted && is_time_exhausted)) return now + retry_after_no_response;
    if (are_attempts_exhausted) return std::nullopt;
    if (response.status == status_wrong_worker || reason == "fence") return now + retry_after_fence;
    if (reason == "late") return now + retry_after_late;
    return std::nullopt;
}

OrderOutcome OrderDelivery::failure_outcome(const PendingOrder& pending) {
    return pending.has_unanswered_attempt ? OrderOutcome::unknown : OrderOutcome::rejected;
}

void OrderDelivery::finish_start(PendingOrders::iterator start, OrderOutcome outcome, std::string reason) {
    Order order = std::move(start->second.order);
    starts_.erase(start);
    events_.on_order_outcome(order, outcome, std::move(reason));
}

// --- stops ---

void OrderDelivery::send_stop(const RunKey& key, PendingOrder& pending) {
    pending.is_in_flight = true;
    ++pending.attempts;
    boost::json::object body{
        {"task", pending.order.task}, {"run_id", pending.order.run}, {"fence", context_.leader.term.value}};
    counters().add("stops_sent");
    auto on_response = [this, key, call = context_.make_call_context(context_.now())](const ClientResponse& response) {
        on_stop_response(key, call, response);
    };
    context_.client.post(*context_.session.worker(), "/run-stop", body, context_.client.response_timeout(),
                         std::move(on_response));
}

void OrderDelivery::on_stop_response(const RunKey& key, const WorkerCallContext& call, const ClientResponse& response) {
    std::lock_guard guard(context_.mutex);
    if (!context_.session.is_current(call.worker_id) || call.term != context_.leader.term) return;
    const Micros now = context_.now();
    process_response(call, response, now);
    auto stop = stops_.find(key);
    if (stop == stops_.end()) return;
    stop->second.is_in_flight = false;
    const bool is_answered = response.outcome == ClientResponse::Outcome::answered;
    stop->second.next_attempt_at = now + (is_answered ? stop_retry_interval : retry_after_no_response);
    if (!is_answered || response.status >= first_failure_status) return;
    stops_.erase(stop);
    answered_stops_.push_back(fmt::format("{} {}", key.task, key.run));
    events_.on_stop_answered();
}

}  // namespace calicostall
