#include "agent/agent.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

constexpr size_t max_heartbeat_bytes = 4 << 20;
constexpr Micros first_timer_delay = milliseconds(100);
constexpr Micros idle_timer_interval = milliseconds(200);
constexpr Micros busy_timer_interval = milliseconds(50);  // while anything runs on the worker or is to start there
constexpr Micros shutdown_delay = milliseconds(200);
constexpr Micros counters_log_interval = seconds(5);

}  // namespace

Agent::Agent(AgentSettings settings, EventLoop& loop)
    : context_(std::move(settings), loop),
      orders_(context_, *this),
      status_queries_(context_, orders_, *this),
      leader_polls_(context_, status_queries_, *this),
      identification_(
          context_,
          [this](WorkerHeartbeat heartbeat, Micros heard_at) { begin_incarnation(std::move(heartbeat), heard_at); },
          [this](const std::string& worker_id) { on_incarnation_refuted(worker_id); }) {}

Findings Agent::open() {
    Findings findings;
    const std::string& address = context_.settings.machine.control_address;
    if (!address.empty()) try {
            worker_listener_ =
                std::make_unique<Listener>(address, Listener::Limits{.max_body_bytes = max_heartbeat_bytes},
                                           [this](Request request) { handle_request(std::move(request)); });
            worker_listener_->open();
        } catch (const std::exception& error) {
            findings.add("bind_addrs.control", fmt::format("{}: {}", address, error.what()));
        }
    leader_polls_.start();
    context_.loop.run_after(first_timer_delay, [this] { on_timer(); });
    return findings;
}

void Agent::begin_graceful_shutdown(std::function<void()> on_shut_down) {
    log_line("side", "shutting down");
    context_.loop.run_after(shutdown_delay, std::move(on_shut_down));
}

void Agent::apply_settings(const Settings& machine) {
    leader_polls_.set_seeds(machine.seed_replicas());
}

void Agent::on_timer() {
    std::lock_guard guard(context_.mutex);
    const Micros now = context_.now();
    if (leader_polls_.is_idle()) leader_polls_.poll(PollUrgency::idle);
    send_due_calls(now);
    log_counters(now);
    const bool is_idle = orders_.is_idle() && context_.session.active_runs().empty();
    context_.loop.run_after(is_idle ? idle_timer_interval : busy_timer_interval, [this] { on_timer(); });
}

void Agent::send_due_calls(Micros now) {
    identification_.send_due_queries(now);
    if (!context_.session.worker()) return;
    orders_.send_due_stops(now);
    if (context_.is_fence_undelivered()) return status_queries_.deliver_fence_if_due(now);
    orders_.send_due_starts(now);
    status_queries_.query_if_due(now);
}

void Agent::log_counters(Micros now) {
    if (now - counters_logged_at_ <= counters_log_interval) return;
    counters_logged_at_ = now;
    const std::string text = counters().changes_text();
    if (!text.empty()) log_line("counters", "{}", text);
}

// --- the worker's calls ---

void Agent::handle_request(Request request) {
    constexpr std::string_view prefix = "/workers/";
    if (!std::string_view(request.path).starts_with(prefix)) return request.responder.send(Response::plain(404));
    const std::string worker_id = request.path.substr(prefix.size());
    if (request.method == "PUT") return handle_heartbeat(worker_id, std::move(request));
    if (request.method == "DELETE") return handle_worker_shutdown(worker_id, std::move(request));
    request.responder.send(Response::plain(405));
}

void Agent::handle_heartbeat(const std::string& worker_id, Request request) {
    Findings findings;
    std::optional<WorkerHeartbeat> heartbeat = parse_heartbeat(worker_id, request.body, findings);
    if (!heartbeat) {
        counters().add("beats_unreadable");
        return request.responder.send(Response::plain(400));
    }
    if (!findings.empty()) {
        log_line("side", "heartbeat rejected findings=\"{}\"", findings.text());
        return request.responder.send(Response::json(400, "{}"));
    }
    {
        std::lock_guard guard(context_.mutex);
        apply_heartbeat(std::move(*heartbeat), context_.now());
    }
    request.responder.send(Response::json(200, "{}"));
}

void Agent::apply_heartbeat(WorkerHeartbeat heartbeat, Micros now) {
    WorkerSession& session = context_.session;
    if (session.is_outdated(heartbeat)) return counters().add("beats_late");
    if (!session.is_current(heartbeat.info.worker_id)) return identification_.on_heartbeat(std::move(heartbeat), now);
    if (heartbeat.clock > 0) context_.lease.record_worker_clock(heartbeat.clock, now);
    const bool has_drain_changed = session.apply(std::move(heartbeat), now);
    if (has_drain_changed) leader_polls_.poll(PollUrgency::urgent);
}

// The worker itself has confirmed that this incarnation runs.
void Agent::begin_incarnation(WorkerHeartbeat heartbeat, Micros heard_at) {
    WorkerSession& session = context_.session;
    if (session.worker()) end_incarnation();
    session.begin(heartbeat.info.worker_id);
    if (heartbeat.clock > 0) context_.lease.record_worker_clock(heartbeat.clock, heard_at);
    session.apply(std::move(heartbeat), heard_at);
    const WorkerInfo& worker = *session.worker();
    log_line("side", "worker registered worker_id={} service={} address={}", worker.worker_id, worker.service,
             worker.address);
    leader_polls_.poll(PollUrgency::urgent);
}

// Another incarnation answers in its stead: the leader learns of its end, and later heartbeats of it are outdated.
void Agent::on_incarnation_refuted(const std::string& worker_id) {
    counters().add("beats_late");
    context_.session.add_ended(worker_id);
    leader_polls_.poll(PollUrgency::idle);
}

void Agent::handle_worker_shutdown(const std::string& worker_id, Request request) {
    {
        std::lock_guard guard(context_.mutex);
        if (context_.session.is_current(worker_id)) {
            const bool has_drained = context_.session.has_drained();
            log_line("side", "worker deregistered worker_id={} has_drained={}", worker_id, has_drained);
            // One that hasn't drained serves on, and what runs there runs on: its lease decides when that is over.
            if (has_drained)
                end_incarnation();
            else
                context_.session.begin_departure();
            leader_polls_.poll(PollUrgency::urgent);
        }
    }
    request.responder.send(Response::plain(200));
}

void Agent::end_incarnation() {
    context_.session.end();
    discard_orders();
    status_queries_.reset();
    leader_polls_.discard_report();
    context_.lease.reset();
    context_.client.reset();
    context_.leader.generation = 0;
    context_.leader.delivered_fence = Term{};
}

// --- events of the components ---

void Agent::on_order_outcome(const Order& order, OrderOutcome outcome, std::string reason) {
    leader_polls_.add_order_result(order, outcome, std::move(reason));
}

void Agent::on_stop_answered() {
    status_queries_.query_now();
}

void Agent::on_responsiveness_change() {
    leader_polls_.poll(PollUrgency::urgent);
}

void Agent::on_status_report(StatusReportEvent event) {
    leader_polls_.stage_report(std::move(event));
}

void Agent::on_poll_response(const AgentPollResponse& response, Micros sent_at) {
    if (response.term > context_.leader.term) begin_term(response.term);
    if (!context_.session.is_current(response.worker_id)) return;
    if (response.generation != context_.leader.generation) follow_generation(response.generation);
    if (response.lease_duration > 0) context_.lease.extend_until(sent_at + response.lease_duration);
    status_queries_.acknowledge_ends(response.acknowledged_end);
    accept_orders(response.orders);
    if (response.status_requested || context_.is_fence_undelivered()) status_queries_.query_now();
    send_due_calls(context_.now());
}

// A new leader: the orders of the old one are void, and the worker is to learn the new fence first.
void Agent::begin_term(Term term) {
    context_.leader.term = term;
    context_.leader.last_order_number = 0;
    context_.leader.generation = 0;
    context_.lease.revoke();
    discard_orders();
    leader_polls_.void_report();
}

void Agent::follow_generation(std::uint64_t generation) {
    if (context_.leader.generation != 0) {
        discard_orders();
        context_.lease.revoke();
    }
    context_.leader.generation = generation;
}

void Agent::discard_orders() {
    orders_.discard();
    leader_polls_.discard_results();
}

void Agent::accept_orders(const std::vector<Order>& orders) {
    for (const Order& order : orders) {
        if (order.number <= context_.leader.last_order_number) continue;
        if (!context_.session.is_current(order.worker_id)) continue;
        context_.leader.last_order_number = order.number;
        orders_.accept(order);
    }
}

}  // namespace calicostall
