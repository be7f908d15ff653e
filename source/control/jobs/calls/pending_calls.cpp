#include "control/jobs/calls/pending_calls.hpp"

namespace calicostall {

namespace {

CallResponse unavailable_response(bool is_outcome_unknown) {
    return {is_outcome_unknown ? CallOutcome::unknown : CallOutcome::not_executed, 503, {}, 1};
}

}  // namespace

void PendingCalls::enqueue(CallRequest request, Respond respond, Micros now) {
    if (calls_.size() >= settings_.max_calls) return respond(unavailable_response(false));
    PendingCall call;
    call.request = std::move(request);
    call.respond = std::move(respond);
    call.deadline = now + settings_.timeout + Micros(call.request.body.size()) * settings_.timeout_per_byte;
    call.deadline_without_quorum = now + settings_.timeout_without_quorum;
    call.next_at = now;
    call.backoff = settings_.initial_backoff;
    calls_.push_back(std::move(call));
}

std::vector<PendingCalls::Attempt> PendingCalls::take_due(const CallRoute& route, Micros now) {
    std::vector<Attempt> attempts;
    std::vector<std::pair<Respond, bool>> expired;
    for (auto call = calls_.begin(); call != calls_.end();) {
        if (is_expired(*call, route, now)) {
            expired.emplace_back(std::move(call->respond), call->is_outcome_unknown || call->is_in_flight);
            call = calls_.erase(call);
            continue;
        }
        if (can_send(*call, route, now))
            attempts.push_back(start_attempt(*call, route, now));
        else if (!call->is_in_flight && call->next_at <= now)
            call->next_at = now + settings_.initial_backoff;
        ++call;
    }
    for (auto& [respond, is_outcome_unknown] : expired)
        respond(unavailable_response(is_outcome_unknown));
    return attempts;
}

bool PendingCalls::is_expired(const PendingCall& call, const CallRoute& route, Micros now) const {
    if (call.is_in_flight) return !call.is_local && now >= call.deadline;
    if (now >= call.deadline) return true;
    // This daemon left its outcome unknown in its own term, and would again.
    if (call.is_outcome_unknown && route.is_local && route.term <= call.unknown_in_term) return true;
    return !route.has_quorum_contact && now >= call.deadline_without_quorum;
}

bool PendingCalls::can_send(const PendingCall& call, const CallRoute& route, Micros now) const {
    if (!route.is_reachable() || now >= call.deadline) return false;
    // Whom it was sent to leads no more.
    if (route.term > call.sent_in_term) return true;
    // The same leader would answer the same.
    if (call.is_in_flight || (call.is_outcome_unknown && route.term <= call.unknown_in_term)) return false;
    return now >= call.next_at;
}

PendingCalls::Attempt PendingCalls::start_attempt(PendingCall& call, const CallRoute& route, Micros now) {
    if (call.is_in_flight) call.is_outcome_unknown = true;
    call.tickets.push_back(++last_ticket_);
    call.is_in_flight = true;
    call.is_local = route.is_local;
    call.sent_in_term = route.term;
    Attempt attempt{last_ticket_, call.request, route.is_local ? "" : *route.leader, call.deadline - now};
    attempt.request.is_relayed = !route.is_local;
    return attempt;
}

void PendingCalls::expire_all() {
    std::list<PendingCall> expired_calls;
    expired_calls.swap(calls_);
    for (PendingCall& call : expired_calls)
        call.respond(unavailable_response(call.is_outcome_unknown || call.is_in_flight));
}

void PendingCalls::on_response(Ticket ticket, CallResponse response, Micros now) {
    auto call = find(ticket);
    if (call == calls_.end()) return;
    if (response.outcome == CallOutcome::completed) {
        Respond respond = std::move(call->respond);
        calls_.erase(call);
        return respond(std::move(response));
    }
    const bool is_latest = call->tickets.back() == ticket;
    if (response.outcome == CallOutcome::unknown && call->request.method != "GET") {
        call->is_outcome_unknown = true;
        if (is_latest) call->unknown_in_term = call->sent_in_term;
    }
    if (!is_latest) return;
    call->is_in_flight = false;
    call->next_at = now + call->backoff;
    call->backoff *= 2;
}

std::optional<Micros> PendingCalls::next_due_at() const {
    std::optional<Micros> next;
    for (const PendingCall& call : calls_) {
        if (call.is_in_flight && call.is_local) continue;
        Micros at = call.deadline;
        if (!call.is_in_flight) at = std::min({at, call.next_at, call.deadline_without_quorum});
        next = std::min(next.value_or(at), at);
    }
    return next;
}

std::list<PendingCalls::PendingCall>::iterator PendingCalls::find(Ticket ticket) {
    return std::find_if(calls_.begin(), calls_.end(), [ticket](const PendingCall& call) {
        return std::find(call.tickets.begin(), call.tickets.end(), ticket) != call.tickets.end();
    });
}

}  // namespace calicostall
