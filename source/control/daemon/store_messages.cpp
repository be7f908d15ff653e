// The messages of leader and replicas on their way to other daemons, to the own replica and to the disk.
#include "control/daemon/control_daemon.hpp"

namespace calicostall {

void ControlDaemon::send_store_messages(Micros now) {
    for (OutgoingMessage& message : leader_.messages_due(now))
        send_store_message(std::move(message));
}

void ControlDaemon::send_store_message(OutgoingMessage message) {
    const Term term = std::visit([](const auto& request) { return request.term; }, message.request);
    quorum_clock_.begin_term(term);
    if (message.to.replica_id == replica_.replica_id) return send_to_own_replica(std::move(message));
    const bool is_prepare = std::holds_alternative<PrepareRequest>(message.request);
    const Micros requested_at = steady_now();
    if (auto* write = std::get_if<WriteRequest>(&message.request))
        write->agreed_time = quorum_clock_.time_to_share(requested_at);
    std::string body = std::visit([](const auto& request) { return encode(request); }, message.request);
    counters().add("errand_bytes", body.size());
    auto on_response = [this, is_prepare, term, requested_at, request_id = message.request_id,
                        member = message.to.replica_id](const ClientResponse& response) {
        std::lock_guard guard(mutex_);
        if (is_prepare)
            on_store_response<PrepareResponse>(request_id, response, term, member, requested_at);
        else
            on_store_response<WriteResponse>(request_id, response, term, member, requested_at);
    };
    loop_.send({.url = "http://" + message.to.address + (is_prepare ? "/inner/prepare" : "/inner/write"),
                .body = std::move(body),
                .timeout = settings_.write_timeout},
               std::move(on_response));
}

template <class StoreResponse>
void ControlDaemon::on_store_response(std::uint64_t request_id, const ClientResponse& response, Term term,
                                      ReplicaId member, Micros requested_at) {
    const Micros now = steady_now();
    const auto frame = response.is_ok() ? decode<StoreResponse>(response.body) : std::nullopt;
    if (frame) record_clock(*frame, term, member, requested_at, now);
    leader_.on_response(request_id, frame ? &*frame : nullptr, now);
    constexpr bool is_prepare = std::is_same_v<StoreResponse, PrepareResponse>;
    if (is_prepare || !leader_.leading())
        iterations_.run();
    else
        iterations_.request();
}

void ControlDaemon::record_clock(const PrepareResponse& response, Term term, ReplicaId member, Micros requested_at,
                                 Micros now) {
    quorum_clock_.record_reading(term, member, {response.wall_clock, requested_at, now});
    quorum_clock_.recall_earlier_time(response.agreed_time, now);
}

void ControlDaemon::record_clock(const WriteResponse& response, Term term, ReplicaId member, Micros requested_at,
                                 Micros now) {
    quorum_clock_.record_reading(term, member, {response.wall_clock, requested_at, now});
}

// The disk's thread only brings the response: acting on it is the loop's work.
void ControlDaemon::send_to_own_replica(OutgoingMessage message) {
    auto on_response = [this, request_id = message.request_id](auto response) {
        loop_.run_after(0, [this, request_id, response = std::move(response)] {
            std::lock_guard guard(mutex_);
            leader_.on_response(request_id, &response, steady_now());
            if (leader_.leading())
                iterations_.request();
            else
                iterations_.run();
        });
    };
    if (auto* prepare = std::get_if<PrepareRequest>(&message.request))
        on_prepare_request(*prepare, on_response);
    else
        on_write_request(std::get<WriteRequest>(message.request), on_response);
}

void ControlDaemon::on_prepare_request(const PrepareRequest& request, PrepareCallback respond) {
    const Micros now = steady_now();
    apply_membership(request.membership_register, now);
    auto [response, batch] = replica_.prepare(request, may_grant_vote(request.from, now));
    if (response.verdict == Verdict::replica_id_mismatch) bootstrap_.on_active_membership_observed();
    const bool is_from_other = request.from != replica_.replica_id;
    const bool is_idle = leader_.state() == Leader::State::idle;
    if (response.verdict == Verdict::granted && is_from_other && !is_idle) leader_.step_down();
    response.wall_clock = wall_clock_now();
    response.agreed_time = quorum_clock_.time_to_share(now);
    disk_.enqueue(std::move(batch), [respond = std::move(respond), response = std::move(response)]() mutable {
        respond(std::move(response));
    });
}

void ControlDaemon::on_write_request(const WriteRequest& request, WriteCallback respond) {
    if (!graceful_shutdown_.is_participating()) {
        counters().add("writes_refused_leaving");
        return respond(WriteResponse{.promised_term = replica_.promised_term,
                                     .promised_to = replica_.promised_to,
                                     .wall_clock = wall_clock_now()});
    }
    auto [response, batch] = replica_.write(request);
    if (response.verdict == Verdict::replica_id_mismatch) bootstrap_.on_active_membership_observed();
    response.wall_clock = wall_clock_now();
    if (response.verdict == Verdict::granted) on_write_granted(request);
    disk_.enqueue(std::move(batch), [respond = std::move(respond), response = std::move(response)]() mutable {
        respond(std::move(response));
    });
}

void ControlDaemon::on_write_granted(const WriteRequest& request) {
    const Micros now = steady_now();
    refresh_membership(now);
    if (const Member* sender = membership_.membership().find(request.from))
        update_known_leader(request.term, sender->address);
    election_.on_write_granted(request, now);
    if (request.from == replica_.replica_id) return;
    leadership_.on_leader_write(now);
    quorum_clock_.follow_leader(request.agreed_time, now);
}

}  // namespace calicostall
