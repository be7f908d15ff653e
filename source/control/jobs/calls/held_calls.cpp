#include "control/jobs/calls/held_calls.hpp"

namespace calicostall {

namespace {

CallAnswer unclear(bool doubtful) {
    return {doubtful ? CallFate::doubtful : CallFate::elsewhere, 503, {}, 1};
}

}  // namespace

void HeldCalls::hold(CallAsk ask, Respond respond, Micros now) {
    if (calls_.size() >= settings_.most) return respond(unclear(false));
    Held held;
    held.ask = std::move(ask);
    held.respond = std::move(respond);
    held.deadline = now + settings_.patience;
    held.deadline_without_contact = now + settings_.patience_without_contact;
    held.next_at = now;
    held.pause = settings_.first_pause;
    calls_.push_back(std::move(held));
}

std::vector<HeldCalls::Send> HeldCalls::due(const CallRoute& route, Micros now) {
    std::vector<Send> sends;
    std::vector<std::pair<Respond, bool>> expired;
    for (auto held = calls_.begin(); held != calls_.end();) {
        if (is_over(*held, route, now)) {
            expired.emplace_back(std::move(held->respond), held->doubtful || held->in_flight);
            held = calls_.erase(held);
            continue;
        }
        if (may_send(*held, route, now))
            sends.push_back(send(*held, route, now));
        else if (!held->in_flight && held->next_at <= now)
            held->next_at = now + settings_.first_pause;
        ++held;
    }
    for (auto& [respond, doubtful] : expired)
        respond(unclear(doubtful));
    return sends;
}

bool HeldCalls::is_over(const Held& held, const CallRoute& route, Micros now) const {
    if (held.in_flight) return !held.served_here && now >= held.deadline;
    if (now >= held.deadline) return true;
    // This daemon's own term left it open, and would again.
    if (held.doubtful && route.serves_here && route.epoch <= held.doubted) return true;
    return !route.in_contact && now >= held.deadline_without_contact;
}

bool HeldCalls::may_send(const Held& held, const CallRoute& route, Micros now) const {
    if (!route.reachable() || now >= held.deadline) return false;
    // Whom it was sent to is the owner no more.
    if (route.epoch > held.sent_to) return true;
    // The same owner would answer the same.
    if (held.in_flight || (held.doubtful && route.epoch <= held.doubted)) return false;
    return now >= held.next_at;
}

HeldCalls::Send HeldCalls::send(Held& held, const CallRoute& route, Micros now) {
    if (held.in_flight) held.doubtful = true;
    held.tickets.push_back(++last_ticket_);
    held.in_flight = true;
    held.served_here = route.serves_here;
    held.sent_to = route.epoch;
    Send send{last_ticket_, held.ask, route.serves_here ? "" : *route.owner, held.deadline - now};
    send.ask.relayed = !route.serves_here;
    return send;
}

void HeldCalls::release() {
    std::list<Held> released;
    released.swap(calls_);
    for (Held& held : released)
        held.respond(unclear(held.doubtful || held.in_flight));
}

void HeldCalls::note_answer(Ticket ticket, CallAnswer answer, Micros now) {
    auto held = find(ticket);
    if (held == calls_.end()) return;
    if (answer.fate == CallFate::settled) {
        Respond respond = std::move(held->respond);
        calls_.erase(held);
        return respond(std::move(answer));
    }
    const bool last = held->tickets.back() == ticket;
    if (answer.fate == CallFate::doubtful && held->ask.method != "GET") {
        held->doubtful = true;
        if (last) held->doubted = held->sent_to;
    }
    if (!last) return;
    held->in_flight = false;
    held->next_at = now + held->pause;
    held->pause *= 2;
}

std::optional<Micros> HeldCalls::next_at() const {
    std::optional<Micros> next;
    for (const Held& held : calls_) {
        if (held.in_flight && held.served_here) continue;
        Micros at = held.deadline;
        if (!held.in_flight) at = std::min({at, held.next_at, held.deadline_without_contact});
        next = std::min(next.value_or(at), at);
    }
    return next;
}

std::list<HeldCalls::Held>::iterator HeldCalls::find(Ticket ticket) {
    return std::find_if(calls_.begin(), calls_.end(), [ticket](const Held& held) {
        return std::find(held.tickets.begin(), held.tickets.end(), ticket) != held.tickets.end();
    });
}

}  // namespace calicostall
