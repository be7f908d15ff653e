// Asks at the owner: they carry reports and results there, and bring orders and the hold back.
#include "shared/record/log.hpp"
#include "shared/time/clock.hpp"
#include "side/side.hpp"

namespace calicostall {

namespace {

constexpr size_t unserved_until_elsewhere = 8;  // answers of one daemon that is not the owner
constexpr std::int64_t unserved_pause_ms = 20, unserved_pause_most_ms = 300;
constexpr Micros pause_most = seconds(1);

}  // namespace

void Side::take_news() {
    std::lock_guard guard(lock_);
    if (locator_.epoch() <= epoch_ || locator_.epoch() <= news_epoch_) return;
    // Asks that wait at an earlier owner are given up: the new one is to hear from here at once.
    news_epoch_ = locator_.epoch();
    ++ask_generation_;
    asks_in_flight_ = 0;
    ask_tries_ = ask_choice_ = 0;
    pacer_.reset();
    account_reported_ = 0;
    ask_owner(Haste::urgent);
}

void Side::ask_owner(Haste haste) {
    Micros now = steady_now();
    Micros due = pacer_.due(haste, asks_in_flight_);
    if (now < due) return ask_owner_later(haste, now, due);
    ask_wanted_ = Haste::resting;
    pacer_.asked(now);
    SideAsk ask = make_ask(now);
    ReportContext context;
    context.number = ask.number;
    context.generation = ask_generation_;
    context.asked_at = now;
    context.report_mark = report_mark_;
    context.results_mark = results_dropped_ + results_.size();
    context.account_mark = ask.account_mark;
    ++asks_in_flight_;
    loop_.ask({.url = "http://" + locator_.target(ask_choice_) + "/inner/side",
               .body = pack(ask),
               .patience = settings_.ask_patience},
              [this, context](Answer answer) { take_owner_answer(context, answer); });
}

void Side::ask_owner_later(Haste haste, Micros now, Micros due) {
    ask_wanted_ = std::max(ask_wanted_, haste);
    if (due == AskPacer::never || ask_timed_) return;
    ask_timed_ = true;
    loop_.after(due - now, [this] {
        std::lock_guard guard(lock_);
        ask_timed_ = false;
        ask_owner(ask_wanted_);
    });
}

SideAsk Side::make_ask(Micros now) {
    SideAsk ask;
    ask.judged = time_memory_.tell(now);
    ask.node = settings_.machine.node;
    ask.incarnation = incarnation_;
    ask.number = ++ask_number_;
    ask.epoch = epoch_;
    ask.taken = taken_;
    ask.seen = seen_;
    ask.silent = silent_;
    ask.leaves_in = leaves_at_ < 0 ? -1 : std::max<Micros>(0, leaves_at_ - now);
    ask.account_mark = worker_ ? account_mark_ : 0;
    if (worker_ && ask.account_mark != account_reported_) {
        ask.worker = worker_;
        ask.worker->leaves_in = ask.leaves_in;
    }
    ask.over.assign(ended_lives_.begin(), ended_lives_.end());
    ask.report = report_;
    ask.results = results_;
    for (OrderResult& result : ask.results)
        result.ago = now - result.ago;  // kept as a moment, sent as an age
    return ask;
}

void Side::take_owner_answer(const ReportContext& context, const Answer& answer) {
    std::lock_guard guard(lock_);
    if (context.generation != ask_generation_) return;
    --asks_in_flight_;
    auto frame = answer.good() ? unpack<SideAnswer>(answer.body) : std::nullopt;
    if (frame && !frame->spread_specs()) frame.reset();
    if (frame && frame->whole) {
        account_reported_ = 0;
        counters().add("asks_again_whole");
        return ask_owner(Haste::urgent);
    }
    Micros now = steady_now();
    if (!frame || !frame->served) return take_unserved(frame.has_value(), now);
    ask_tries_ = ask_choice_ = 0;
    pacer_.answered(now, std::clamp<Micros>(frame->pause, 0, pause_most));
    clear_reported(context);
    follow(context, *frame);
    ask_owner(ask_wanted_);
}

// A daemon that has just been elected answers so for a moment; silence is a reason to go elsewhere.
void Side::take_unserved(bool heard, Micros now) {
    ++ask_tries_;
    if (!heard || ask_tries_ % unserved_until_elsewhere == 0) ++ask_choice_;
    counters().add("asks_unserved");
    locator_.hurry();
    account_reported_ = 0;
    std::int64_t pause_ms = unserved_pause_ms * std::int64_t(ask_tries_);
    pacer_.answered(now, milliseconds(std::min(pause_ms, unserved_pause_most_ms)));
    ask_owner(report_ || !results_.empty() ? Haste::pressing : Haste::resting);
}

// What the ask carried has arrived; what came since stays.
void Side::clear_reported(const ReportContext& context) {
    account_reported_ = context.account_mark;
    if (context.report_mark == report_mark_) report_.reset();
    while (results_dropped_ < context.results_mark && !results_.empty()) {
        results_.erase(results_.begin());
        ++results_dropped_;
    }
}

void Side::follow(const ReportContext& context, const SideAnswer& answer) {
    if (answer.epoch < epoch_ || context.number < answered_) return;
    answered_ = context.number;
    time_memory_.note(answer.judged, steady_now());
    if (answer.epoch > epoch_) {
        // A new owner: the orders of the old one are void, and the worker is to learn the new fence first.
        epoch_ = answer.epoch;
        taken_ = 0;
        era_ = 0;
        allowed_until_ = 0;
        clear_orders();
        report_.reset();
        ++report_mark_;
    }
    if (!worker_ || answer.life != worker_->life) return;
    if (answer.era != era_) {
        if (era_ != 0) {
            clear_orders();
            allowed_until_ = 0;
        }
        era_ = answer.era;
    }
    if (answer.allowance > 0) allowed_until_ = std::max(allowed_until_, context.asked_at + answer.allowance);
    seen_ = std::max(seen_, answer.seen);
    for (const Order& order : answer.orders) {
        if (order.number <= taken_ || order.life != worker_->life) continue;
        taken_ = order.number;
        take_order(order);
    }
    if (answer.look || fence_shown_ < epoch_) poll(0);
    work(steady_now());
}

void Side::add_result(const Order& order, OrderFate fate, std::string reason) {
    results_.push_back({order.number, fate, order.task, order.run, std::move(reason), steady_now()});
    if (fate != OrderFate::started) ask_owner(Haste::pressing);
}

}  // namespace calicostall
