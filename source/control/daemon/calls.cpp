// Calls of operators and clients, and a preview's read of the record.
#include "control/daemon/control.hpp"
#include "control/jobs/calls/redirect.hpp"

namespace calicostall {

// Operators' calls are held here until they have an answer, or their time is up.
void Control::send_held_calls(Micros now) {
    if (held_calls_.size() == 0) return;
    if (left_) return held_calls_.release();
    CallRoute route{serving(), other_owner_address(), known_epoch_, in_contact(now)};
    if (route.serves_here) route.epoch = owner_.epoch();
    for (HeldCalls::Send& send : held_calls_.due(route, now)) {
        auto note = [this, ticket = send.ticket](CallAnswer answer) {
            std::lock_guard guard(lock_);
            held_calls_.note_answer(ticket, std::move(answer), steady_now());
            request_turn();
        };
        if (send.to.empty())
            handle_call(send.ask, std::move(note));
        else if (is_redirected(send.ask, place_.has_value()))
            note(redirect_to(settings_.machine.control_address(send.to), send.ask));
        else
            relay_call(std::move(send.ask), send.to, send.patience, std::move(note));
    }
}

void Control::handle_call(const CallAsk& ask, CallCallback respond) {
    const Micros now = steady_now();
    election_.note_activity(now);
    if (!serving()) {
        auto owner = other_owner_address();
        if (!ask.relayed && owner) return relay_call(ask, *owner, settings_.call_relay_timeout, std::move(respond));
        counters().add("calls_elsewhere");
        return respond(CallAnswer{CallFate::elsewhere, 503, {}, 1});
    }
    auto done = [respond = std::move(respond)](CallFate fate, Response response) {
        respond(CallAnswer{fate, response.code, std::move(response.body), response.retry_after_s});
    };
    const bool of_operator = ask.path == "/config" && ask.host.empty();
    if (!of_operator)
        scheduler_.call(ask, now, core_clock_.wall(now), std::move(done));
    else if (ask.method == "PUT")
        scheduler_.put_config(ask, std::move(done));
    else
        scheduler_.get_config([this, now, done = std::move(done)](CallFate fate, Response response) {
            log_line("config", "read confirmed after {} ms: {} with revision {} under epoch {}",
                     (steady_now() - now) / 1000, response.code, scheduler_.config().revision, owner_.epoch().value);
            done(fate, std::move(response));
        });
}

void Control::relay_call(CallAsk ask, const std::string& owner, Micros patience, CallCallback respond) {
    ask.relayed = true;
    counters().add("calls_relayed");
    loop_.ask({.url = "http://" + owner + "/inner/call", .body = pack(ask), .patience = patience},
              [respond = std::move(respond)](Answer answer) {
                  auto frame = answer.good() ? unpack<CallAnswer>(answer.body) : std::nullopt;
                  if (frame) return respond(std::move(*frame));
                  const bool refused = answer.fate == Answer::Fate::refused;
                  respond(CallAnswer{refused ? CallFate::elsewhere : CallFate::doubtful, 503, {}, 1});
              });
}

// Reads only: no turn follows, nothing is proposed, no worker is looked at.
SnapshotMoment Control::snapshot_moment() {
    const Micros now = steady_now();
    return {owner_.epoch().value, now, core_clock_.wall(now), owner_.confirmed_at()};
}

Response Control::answer_preview(const std::string& method) {
    PreviewReads::Taken taken;
    {
        std::lock_guard guard(lock_);
        taken = preview_reads_.take(method, {acting(), other_owner_address().value_or("")}, RecordView(scheduler_),
                                    snapshot_moment());
    }
    return preview_reads_.answer(std::move(taken));
}

void Control::log_snapshot(Micros now) {
    if (settings_.snapshot_lines == 0 || now < next_snapshot_line_) return;
    next_snapshot_line_ = now + settings_.snapshot_lines;
    auto snapshot = snapshot_of(RecordView(std::as_const(scheduler_)), snapshot_moment(), settings_.snapshot);
    if (!snapshot) return;
    for (const std::string& line : snapshot_lines(pack_snapshot(*snapshot), snapshot->wall))
        log_line("snapshot", "{}", line);
}

}  // namespace calicostall
