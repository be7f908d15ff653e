#include "agent/leader_polls.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

// Responses of one daemon that is not the leader, until another one is polled.
constexpr size_t unserved_polls_per_target = 8;
constexpr std::int64_t unserved_backoff_step_ms = 20;
constexpr std::int64_t max_unserved_backoff_ms = 300;
constexpr Micros max_poll_backoff = seconds(1);        // whatever the leader asks for
constexpr Micros report_interval = milliseconds(900);  // though nothing has ended
constexpr Micros watch_wait = seconds(5);              // of the locator's watches
constexpr size_t watched_daemons = 2;

std::uint64_t draw_incarnation() {
    std::random_device device;
    return (std::uint64_t(device()) << 31 | device()) | 1;
}

}  // namespace

LeaderPolls::LeaderPolls(AgentContext& context, const StatusQueries& queries, AgentEvents& events)
    : context_(context),
      queries_(queries),
      events_(events),
      leader_locator_({context.settings.machine.node_name, context.settings.machine.seed_replicas(), watched_daemons,
                       watch_wait, false},
                      context.loop, [this] { on_leader_change(); }),
      agent_incarnation_(draw_incarnation()) {}

void LeaderPolls::on_leader_change() {
    std::lock_guard guard(context_.mutex);
    const Term term = leader_locator_.term();
    if (term <= context_.leader.term || leader_locator_.term() <= watched_term_) return;
    // Polls that wait at an earlier leader are given up: the new one is to hear from here at once.
    watched_term_ = leader_locator_.term();
    ++poll_generation_;
    polls_in_flight_ = 0;
    unserved_polls_ = 0;
    target_index_ = 0;
    pacer_.reset();
    reported_worker_info_sequence_ = 0;
    poll(PollUrgency::urgent);
}

void LeaderPolls::poll(PollUrgency urgency) {
    const Micros now = context_.now();
    const Micros due = pacer_.next_send_at(urgency, polls_in_flight_);
    if (now < due) {
        wanted_urgency_ = std::max(wanted_urgency_, urgency);
        if (due != PollPacer::never) poll_later(due - now);
        return;
    }
    wanted_urgency_ = PollUrgency::idle;
    pacer_.on_request(now);
    const AgentPollRequest request = make_request(now);
    const PollContext sent{.poll_number = request.sequence,
                           .poll_generation = poll_generation_,
                           .sent_at = now,
                           .report_sequence = report_sequence_,
                           .results_end = acknowledged_results_ + results_.size(),
                           .worker_info_sequence = request.worker_info_sequence};
    ++polls_in_flight_;
    context_.loop.send({.url = "http://" + leader_locator_.call_target(target_index_) + "/inner/side",
                        .body = encode(request),
                        .timeout = context_.settings.poll_timeout},
                       [this, sent](const ClientResponse& response) { on_response(sent, response); });
}

void LeaderPolls::poll_later(Micros delay) {
    if (is_poll_scheduled_) return;
    is_poll_scheduled_ = true;
    context_.loop.run_after(delay, [this] {
        std::lock_guard guard(context_.mutex);
        is_poll_scheduled_ = false;
        poll(wanted_urgency_);
    });
}

AgentPollRequest LeaderPolls::make_request(Micros now) {
    const WorkerSession& session = context_.session;
    AgentPollRequest request;
    request.agreed_time = agreed_time_memory_.current(now);
    request.node = context_.settings.machine.node_name;
    request.agent_incarnation = agent_incarnation_;
    request.sequence = ++poll_number_;
    request.term = context_.leader.term;
    request.last_received_order = context_.leader.last_order_number;
    request.acknowledged_end = queries_.acknowledged_end();
    request.is_unresponsive = queries_.is_unresponsive();
    request.terminates_in = session.terminates_in(now);
    request.worker_info_sequence = session.info_sequence();
    if (session.worker() && request.worker_info_sequence != reported_worker_info_sequence_) {
        request.worker_info = session.worker();
        request.worker_info->terminates_in = request.terminates_in;
    }
    request.ended_incarnations.assign(session.ended_worker_ids().begin(), session.ended_worker_ids().end());
    request.status_report = report_;
    request.order_results = results_;
    for (OrderResult& result : request.order_results)
        result.age = now - result.age;
    return request;
}

void LeaderPolls::on_response(const PollContext& sent_poll, const ClientResponse& http_response) {
    std::lock_guard guard(context_.mutex);
    if (sent_poll.poll_generation != poll_generation_) return;
    --polls_in_flight_;
    auto response = http_response.is_ok() ? decode<AgentPollResponse>(http_response.body) : std::nullopt;
    if (response && !response->expand_specs()) response.reset();
    if (response && response->needs_worker_info) {
        reported_worker_info_sequence_ = 0;
        counters().add("asks_again_whole");
        return poll(PollUrgency::urgent);
    }
    const Micros now = context_.now();
    if (!response || !response->is_from_leader) return on_unserved(response.has_value(), now);
    unserved_polls_ = 0;
    target_index_ = 0;
    pacer_.on_response(now, std::clamp<Micros>(response->poll_backoff, 0, max_poll_backoff));
    drop_acknowledged(sent_poll);
    const bool is_newest = response->term >= context_.leader.term && sent_poll.poll_number >= last_answered_poll_;
    if (is_newest) {
        last_answered_poll_ = sent_poll.poll_number;
        agreed_time_memory_.record(response->agreed_time, context_.now());
        events_.on_poll_response(*response, sent_poll.sent_at);
    }
    poll(wanted_urgency_);
}

// A daemon that has just been elected answers so for a moment; silence is a reason to poll another one.
void LeaderPolls::on_unserved(bool has_response, Micros now) {
    ++unserved_polls_;
    if (!has_response || unserved_polls_ % unserved_polls_per_target == 0) ++target_index_;
    counters().add("asks_unserved");
    leader_locator_.refresh();
    reported_worker_info_sequence_ = 0;
    const std::int64_t backoff_ms = unserved_backoff_step_ms * std::int64_t(unserved_polls_);
    pacer_.on_response(now, milliseconds(std::min(backoff_ms, max_unserved_backoff_ms)));
    poll(report_ || !results_.empty() ? PollUrgency::normal : PollUrgency::idle);
}

void LeaderPolls::drop_acknowledged(const PollContext& sent_poll) {
    reported_worker_info_sequence_ = sent_poll.worker_info_sequence;
    if (sent_poll.report_sequence == report_sequence_) report_.reset();
    while (acknowledged_results_ < sent_poll.results_end && !results_.empty()) {
        results_.erase(results_.begin());
        ++acknowledged_results_;
    }
}

void LeaderPolls::add_order_result(const Order& order, OrderOutcome outcome, std::string reason) {
    results_.push_back({order.number, outcome, order.task, order.run, std::move(reason), context_.now()});
    if (outcome != OrderOutcome::started) poll(PollUrgency::normal);
}

void LeaderPolls::stage_report(AgentEvents::StatusReportEvent event) {
    WorkerStatusReport& report = event.report;
    if (report_) {
        report.follows_gap = report.follows_gap || report_->follows_gap;
        report.answered_stops.insert(report.answered_stops.end(), report_->answered_stops.begin(),
                                     report_->answered_stops.end());
    }
    const bool is_pressing =
        event.has_ends || !report.answered_stops.empty() || event.received_at - last_report_at_ > report_interval;
    report_ = std::move(report);
    ++report_sequence_;
    const PollUrgency otherwise = is_pressing ? PollUrgency::normal : PollUrgency::idle;
    poll(event.is_first_in_term ? PollUrgency::urgent : otherwise);
    last_report_at_ = event.received_at;
}

void LeaderPolls::void_report() {
    report_.reset();
    ++report_sequence_;
}

}  // namespace calicostall
