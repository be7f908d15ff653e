#include "agent/status_queries.hpp"

#include <boost/json.hpp>

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

constexpr Micros min_wait = milliseconds(100);  // while a lease is to be renewed
constexpr Micros retry_delay = milliseconds(20);
constexpr Micros unresponsive_retry_interval = milliseconds(150);

}  // namespace

void StatusQueries::query_if_due(Micros now) {
    if (is_long_query_in_flight_ || now < next_query_at_) return;
    // A stop without an answer needs queries too: only they show that the worker is unresponsive, so that its lease
    // expires. So does an answered one: only a query that began after it tells the leader that the run is over.
    const bool may_change = !context_.session.active_runs().empty() || orders_.has_attempted_start() ||
                            orders_.has_stops() || !orders_.answered_stops().empty() || has_unconfirmed_ends();
    if (!may_change) return;
    // An end that the leader has not acknowledged yet would come back at once.
    const bool is_end_unacknowledged =
        last_end_ > acknowledged_end_ && now - last_end_at_ < context_.settings.unacknowledged_end_delay;
    if (!is_end_unacknowledged) query(context_.settings.status_query_wait);
}

void StatusQueries::deliver_fence_if_due(Micros now) {
    if (!is_long_query_in_flight_ && now >= next_query_at_) query_now();
}

void StatusQueries::reset() {
    acknowledged_end_ = 0;
    last_end_ = 0;
    confirmed_end_ = 0;
    is_unresponsive_ = false;
    failed_queries_ = 0;
}

void StatusQueries::query(Micros wait) {
    if (!context_.session.worker()) return;
    const AgentSettings& settings = context_.settings;
    const Micros now = context_.now();
    const bool is_short = wait == 0;
    if (is_long_query_in_flight_ && (!is_short || is_short_query_in_flight_)) {
        if (is_short) needs_short_query_ = true;
        return;
    }
    (is_short ? is_short_query_in_flight_ : is_long_query_in_flight_) = true;
    boost::json::object body{{"fence", context_.leader.term.value}, {"seen_at", acknowledged_end_}};
    if (is_unresponsive_) wait = 0;
    const std::int64_t lease_expiry_ms = context_.lease.expiry_ms(now).value_or(0);
    if (lease_expiry_ms > 0 && !is_unresponsive_) {
        body["until_ms"] = lease_expiry_ms;
        wait = std::min<Micros>(wait, std::max<Micros>(min_wait, (context_.lease.expires_at() - now) / 2));
    }
    const bool is_lossy = context_.client.is_lossy(now);
    if (is_lossy) wait = std::min(wait, settings.lossy_status_query_wait);
    if (wait > 0) body["wait_ms"] = wait / 1000;
    const Micros slack = is_lossy || wait == 0 ? context_.client.response_timeout() : settings.status_query_slack;
    counters().add("looks");
    QueryContext sent{.call = context_.make_call_context(context_.now()),
                      .number = context_.session.active_runs().begin_query(),
                      .acknowledged_end = acknowledged_end_,
                      .is_short = is_short,
                      .may_wait = wait > 0,
                      .answered_stops = orders_.answered_stops()};
    context_.client.post(
        *context_.session.worker(), "/hold", body, wait + slack,
        [this, sent = std::move(sent)](const ClientResponse& response) { on_response(sent, response); });
}

void StatusQueries::on_response(const QueryContext& query, const ClientResponse& response) {
    std::lock_guard guard(context_.mutex);
    (query.is_short ? is_short_query_in_flight_ : is_long_query_in_flight_) = false;
    if (!context_.session.is_current(query.call.worker_id)) return;
    const Micros now = context_.now();
    // The duration of a response that the worker delayed is no round trip; that it is missing still counts.
    if (!query.may_wait || response.outcome != ClientResponse::Outcome::answered)
        context_.client.record_round_trip(query.call.sent_at, response, now);
    const bool is_complete = response.is_ok() && apply_status(query, response, now);
    if (is_complete)
        on_query_answered();
    else
        on_query_failed(query, response, now);
    if (is_complete && std::exchange(needs_short_query_, false)) query_now();
    events_.send_due_calls(now);
}

bool StatusQueries::apply_status(const QueryContext& query, const ClientResponse& response, Micros now) {
    WorkerStatus status = parse_worker_status(response.body);
    if (status.clock) context_.lease.record_worker_clock(*status.clock, now);
    if (!status.is_complete) return false;
    confirmed_end_ = std::max(confirmed_end_, query.acknowledged_end);
    for (const FinishedRun& run : status.finished)
        last_end_ = std::max(last_end_, run.sequence);
    context_.session.active_runs().on_status(query.number, status);
    if (!status.finished.empty()) {
        last_end_at_ = now;
        next_query_at_ = now + context_.settings.end_batching_delay;
    }
    // An answer that a later query's has overtaken shows nothing new, and would be taken for the worker's present
    // state.
    const bool is_overtaken = query.number < last_reported_query_;
    if (query.call.term == context_.leader.term && !is_overtaken) report_status(query, std::move(status), now);
    return true;
}

void StatusQueries::report_status(const QueryContext& query, WorkerStatus status, Micros now) {
    last_reported_query_ = query.number;
    AgentEvents::StatusReportEvent event;
    event.is_first_in_term = context_.is_fence_undelivered();
    event.has_ends = !status.finished.empty();
    event.received_at = now;
    context_.leader.delivered_fence = context_.leader.term;
    WorkerStatusReport& report = event.report;
    report.worker_id = context_.session.worker()->worker_id;
    report.fence = context_.leader.term;
    report.active = std::move(status.active);
    report.finished = std::move(status.finished);
    report.answered_stops = query.answered_stops;
    report.follows_gap = std::exchange(has_report_gap_, false);
    orders_.drop_answered_stops(query.answered_stops);
    events_.on_status_report(std::move(event));
}

void StatusQueries::on_query_answered() {
    failed_queries_ = 0;
    if (std::exchange(is_unresponsive_, false)) events_.on_responsiveness_change();
}

void StatusQueries::on_query_failed(const QueryContext& query, const ClientResponse& response, Micros now) {
    counters().add("looks_without_answer");
    next_query_at_ = now + retry_delay;
    has_report_gap_ = true;
    if (response.outcome != ClientResponse::Outcome::answered) {
        if (failed_queries_++ == 0) first_failed_sent_at_ = query.call.sent_at;
        if (!is_unresponsive_ && has_failed_long_enough(now)) {
            is_unresponsive_ = true;
            log_line("side", "worker unresponsive worker_id={}", context_.session.worker()->worker_id);
            events_.on_responsiveness_change();
        }
    }
    if (is_unresponsive_) next_query_at_ = now + unresponsive_retry_interval;
}

bool StatusQueries::has_failed_long_enough(Micros now) const {
    return failed_queries_ >= context_.settings.unresponsive_after_failures &&
           now - first_failed_sent_at_ >= context_.settings.unresponsive_after_time;
}

}  // namespace calicostall
