// Calls of operators and clients, and a preview's read of the record.
#include "control/daemon/control.hpp"

namespace calicostall {

void Control::handle_call(const CallAsk& ask, CallCallback respond) {
    const Micros now = steady_now();
    election_.note_activity(now);
    if (!serving()) {
        auto owner = other_owner_address();
        if (!ask.relayed && owner) return relay_call(ask, *owner, std::move(respond));
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
        scheduler_.get_config(std::move(done));
}

void Control::relay_call(CallAsk ask, const std::string& owner, CallCallback respond) {
    ask.relayed = true;
    counters().add("calls_relayed");
    loop_.ask({.url = "http://" + owner + "/inner/call", .body = pack(ask), .patience = settings_.call_relay_timeout},
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
