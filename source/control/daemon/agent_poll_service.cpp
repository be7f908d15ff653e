#include "control/daemon/agent_poll_service.hpp"

namespace calicostall {

namespace {

// Where agents keep a backoff, polls within this part of it are answered together, at most this much later.
constexpr Micros gather_fraction = 8, max_gather_delay = milliseconds(10);

Response not_leader_response() {
    return Response::cbor(encode(AgentPollResponse{}));
}

}  // namespace

AgentPollService::AgentPollService(AgentPollServiceSettings settings, EventLoop& loop,
                                   Scheduler<RecordLedger>& scheduler, const Leader& leader,
                                   const Leadership& leadership, QuorumClock& clock)
    : settings_(settings),
      loop_(loop),
      scheduler_(scheduler),
      leader_(leader),
      leadership_(leadership),
      clock_(clock) {}

void AgentPollService::on_poll(AgentPollRequest request, Responder responder, Micros now) {
    if (!leadership_.is_serving()) {
        auto leader = leadership_.other_leader_address();
        if (!request.is_relayed && leader) return relay(std::move(request), *leader, std::move(responder));
        return responder.send(not_leader_response());
    }
    clock_.recall_earlier_time(request.agreed_time, now);
    if (!worker_infos_.resolve(request)) {
        AgentPollResponse response;
        response.is_from_leader = true;
        response.needs_worker_info = true;
        response.term = leader_.term();
        counters().add("accounts_unknown");
        return responder.send(Response::cbor(encode(response)));
    }
    scheduler_.on_agent_poll(request, now, clock_.wall_clock(now));
    // What was received and acknowledged under another term doesn't count for this one.
    const bool is_same_term = request.term == leader_.term();
    polls_.add({std::move(responder), request.node, request.term, is_same_term ? request.last_received_order : 0,
                is_same_term ? request.acknowledged_end : 0, now + settings_.poll_timeout});
}

void AgentPollService::relay(AgentPollRequest request, const std::string& leader, Responder responder) {
    request.is_relayed = true;
    auto shared_responder = std::make_shared<Responder>(std::move(responder));
    loop_.send({.url = "http://" + leader + "/inner/side",
                .body = encode(request),
                .timeout = settings_.poll_timeout + settings_.relay_slack},
               [shared_responder](const ClientResponse& response) {
                   shared_responder->send(response.is_ok() ? Response::cbor(response.body) : not_leader_response());
               });
}

// A leader whose timers are on time responds at once; where agents keep a backoff, what comes within a part of it is
// answered together.
void AgentPollService::respond(Micros now, Micros timer_lateness) {
    // While the term is in doubt they wait; a majority's next response decides.
    if (leadership_.is_leading() && !leadership_.is_serving() && !leader_.is_draining()) return;
    has_put_off_ = now < responses_due_at_ && leadership_.is_serving();
    if (has_put_off_) return;
    const Micros backoff = poll_backoff(settings_.backoff, timer_lateness);
    responses_due_at_ = now + std::min(backoff / gather_fraction, max_gather_delay);
    if (!leadership_.is_serving()) return release_all();
    for (const std::string& node : scheduler_.take_agents_to_notify())
        polls_.notify(node);
    auto has_update = [this](const AgentPoll& poll) {
        return scheduler_.has_update_for(poll.node, poll.term, poll.last_received_order, poll.acknowledged_end);
    };
    for (AgentPoll& poll : polls_.remove_due(now, has_update))
        respond_to(poll, backoff, now);
}

void AgentPollService::respond_to(AgentPoll& poll, Micros backoff, Micros now) {
    AgentPollResponse response = scheduler_.agent_response(poll.node, leader_.confirmed_at(), now);
    if (poll.is_superseded) response.orders.clear();
    response.deduplicate_specs();
    response.agreed_time = clock_.time_to_share(now);
    response.poll_backoff = backoff;
    counters().add("sides_answered");
    if (backoff > 0) counters().add("pauses_told");
    poll.responder.send(Response::cbor(encode(response)));
}

std::optional<Micros> AgentPollService::next_due_at() const {
    if (!has_put_off_) return std::nullopt;
    return responses_due_at_;
}

void AgentPollService::release_all() {
    for (AgentPoll& poll : polls_.remove_all())
        poll.responder.send(not_leader_response());
}

}  // namespace calicostall
