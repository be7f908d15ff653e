// The messages of owner and replica on their way to other daemons, to the own replica and to the disk.
#include "control/daemon/control.hpp"

namespace calicostall {

void Control::send_store_messages(Micros now) {
    for (OutgoingMessage& message : owner_.messages_due(now))
        send_store_message(std::move(message));
}

void Control::send_store_message(OutgoingMessage message) {
    const Epoch term = std::visit([](const auto& ask) { return ask.epoch; }, message.ask);
    core_clock_.begin_term(term);
    if (message.to.identity == replica_.identity) return send_to_own_replica(std::move(message));
    const std::uint64_t ticket = message.ticket;
    const bool preparing = std::holds_alternative<PrepareAsk>(message.ask);
    const Micros asked_at = steady_now();
    if (auto* write = std::get_if<WriteAsk>(&message.ask)) write->judged = core_clock_.handed_on(asked_at);
    std::string body = std::visit([](const auto& ask) { return pack(ask); }, message.ask);
    counters().add("errand_bytes", body.size());
    const std::string address = message.to.address;
    loop_.ask({.url = "http://" + address + (preparing ? "/inner/prepare" : "/inner/write"),
               .body = std::move(body),
               .patience = settings_.write_timeout},
              [this, ticket, preparing, term, asked_at, member = message.to.identity](Answer answer) {
                  std::lock_guard guard(lock_);
                  const Micros now = steady_now();
                  auto take = [&](const auto& frame) {
                      if (frame) note_clock(*frame, term, member, asked_at, now);
                      owner_.take(ticket, frame ? &*frame : nullptr, now);
                  };
                  if (preparing)
                      take(answer.good() ? unpack<PrepareAnswer>(answer.body) : std::nullopt);
                  else
                      take(answer.good() ? unpack<WriteAnswer>(answer.body) : std::nullopt);
                  if (preparing || !owner_.acting())
                      turn();
                  else
                      request_turn();
              });
}

void Control::note_clock(const PrepareAnswer& answer, Epoch term, Identity member, Micros asked_at, Micros now) {
    core_clock_.note_member(term, member, {answer.wall, asked_at, now});
    core_clock_.recall(answer.judged, now);
}

void Control::note_clock(const WriteAnswer& answer, Epoch term, Identity member, Micros asked_at, Micros now) {
    core_clock_.note_member(term, member, {answer.wall, asked_at, now});
}

// The disk's thread only brings the answer: taking it is the loop's work.
void Control::send_to_own_replica(OutgoingMessage message) {
    auto take = [this, ticket = message.ticket](auto answer) {
        loop_.after(0, [this, ticket, answer = std::move(answer)] {
            std::lock_guard guard(lock_);
            owner_.take(ticket, &answer, steady_now());
            if (owner_.acting())
                request_turn();
            else
                turn();
        });
    };
    if (auto* prepare = std::get_if<PrepareAsk>(&message.ask))
        handle_prepare(*prepare, take);
    else
        handle_write(std::get<WriteAsk>(message.ask), take);
}

void Control::handle_prepare(const PrepareAsk& ask, PrepareCallback respond) {
    const Micros now = steady_now();
    learn_core(ask.core, now);
    auto [answer, change] = replica_.prepare(ask, may_grant(ask.from, now));
    if (answer.verdict == Verdict::stranger) note_core_at_work();
    const bool of_other = ask.from != replica_.identity;
    if (answer.verdict == Verdict::granted && of_other && owner_.state() != Owner::State::idle) owner_.give_up();
    answer.wall = wall_now();
    answer.judged = core_clock_.handed_on(now);
    disk_.put(std::move(change),
              [respond = std::move(respond), answer = std::move(answer)]() mutable { respond(std::move(answer)); });
}

void Control::handle_write(const WriteAsk& ask, WriteCallback respond) {
    if (!departure_.takes_part()) {
        counters().add("writes_refused_leaving");
        return respond(
            WriteAnswer{.promised = replica_.promised, .promised_to = replica_.promised_to, .wall = wall_now()});
    }
    auto [answer, change] = replica_.write(ask);
    if (answer.verdict == Verdict::stranger) note_core_at_work();
    answer.wall = wall_now();
    if (answer.verdict == Verdict::granted) {
        const Micros now = steady_now();
        refresh_core(now);
        if (const Member* from = core_.find(ask.from)) note_owner(ask.epoch, from->address);
        election_.note_write(ask, now);
        if (ask.from != replica_.identity) {
            owner_heard_at_ = now;
            core_clock_.follow(ask.judged, now);
        }
    }
    disk_.put(std::move(change),
              [respond = std::move(respond), answer = std::move(answer)]() mutable { respond(std::move(answer)); });
}

}  // namespace calicostall
