// The sides' polls: what they report goes to the scheduler, its orders go back.
#include "control/daemon/control.hpp"

namespace calicostall {

namespace {

// More accounts than this are forgotten at once; sides then send theirs again.
constexpr size_t accounts_max = 4096;
// Where sides keep a pause, polls within this part of it are answered together, at most this much later.
constexpr Micros gather_part = 8, gather_max = milliseconds(10);

SideAnswer not_served() {
    return SideAnswer{};
}

}  // namespace

void Control::handle_side_poll(SideAsk ask, Reply reply) {
    const Micros now = steady_now();
    election_.note_activity(now);
    if (!serving()) {
        auto owner = other_owner_address();
        if (!ask.relayed && owner) return relay_side_poll(std::move(ask), *owner, std::move(reply));
        return reply.send(Response::cbor(pack(not_served())));
    }
    core_clock_.recall(ask.judged, now);
    if (!resolve_account(ask)) {
        SideAnswer answer;
        answer.served = answer.whole = true;
        answer.epoch = owner_.epoch();
        counters().add("accounts_unknown");
        return reply.send(Response::cbor(pack(answer)));
    }
    scheduler_.take_side(ask, now, core_clock_.wall(now));
    const bool same_epoch = ask.epoch == owner_.epoch();
    side_polls_.add({std::move(reply), ask.node, ask.epoch, same_epoch ? ask.taken : 0, same_epoch ? ask.seen : 0,
                     now + settings_.side_poll_timeout});
}

void Control::relay_side_poll(SideAsk ask, const std::string& owner, Reply reply) {
    ask.relayed = true;
    auto shared = std::make_shared<Reply>(std::move(reply));
    loop_.ask({.url = "http://" + owner + "/inner/side",
               .body = pack(ask),
               .patience = settings_.side_poll_timeout + settings_.side_relay_slack},
              [shared](Answer answer) {
                  shared->send(Response::cbor(answer.good() ? std::move(answer.body) : pack(not_served())));
              });
}

// Fills in the account that the poll's mark means; false when it is not known here.
bool Control::resolve_account(SideAsk& ask) {
    if (ask.account_mark == 0) return true;
    if (ask.worker) {
        if (accounts_.size() > accounts_max) accounts_.clear();
        accounts_[ask.node] = {ask.incarnation, ask.account_mark, *ask.worker};
        return true;
    }
    auto known = accounts_.find(ask.node);
    if (known == accounts_.end() || known->second.incarnation != ask.incarnation ||
        known->second.mark != ask.account_mark)
        return false;
    ask.worker = known->second.account;
    ask.worker->leaves_in = ask.leaves_in;
    return true;
}

// Sides are answered at once by an owner in time; where they keep a pause, what comes within a part of it goes
// together.
void Control::answer_sides(Micros now) {
    // While the term is in doubt they wait; a majority's next answer decides.
    if (acting() && !serving() && !owner_.draining()) return;
    sides_pending_ = now < sides_due_ && serving();
    if (sides_pending_) return;
    const Micros pause = ask_pause(settings_.side_pause, timer_lateness_);
    sides_due_ = now + std::min(pause / gather_part, gather_max);
    if (!serving()) {
        for (SidePoll& poll : side_polls_.take_all())
            poll.reply.send(Response::cbor(pack(not_served())));
        return;
    }
    for (const std::string& node : scheduler_.take_sides_with_news())
        side_polls_.note_news(node);
    auto has_news = [this](const SidePoll& poll) {
        return scheduler_.has_news(poll.node, poll.epoch, poll.orders_taken, poll.ends_seen);
    };
    for (SidePoll& poll : side_polls_.take_due(now, has_news))
        answer_side(poll, pause, now);
}

void Control::answer_side(SidePoll& poll, Micros pause, Micros now) {
    SideAnswer answer = scheduler_.answer_side(poll.node, owner_.confirmed_at(), now);
    if (poll.superseded) answer.orders.clear();
    answer.gather_specs();
    answer.judged = core_clock_.handed_on(now);
    answer.pause = pause;
    counters().add("sides_answered");
    if (pause > 0) counters().add("pauses_told");
    poll.reply.send(Response::cbor(pack(answer)));
}

}  // namespace calicostall
