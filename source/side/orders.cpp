// The owner's orders on their way to the worker: starts, stops, retries.
#include <boost/json.hpp>

#include "shared/record/log.hpp"
#include "shared/time/clock.hpp"
#include "side/side.hpp"

namespace calicostall {

namespace {

// Pauses until the next attempt.
constexpr Micros after_silence = milliseconds(20);
constexpr Micros after_fence = milliseconds(200);
constexpr Micros after_late = milliseconds(30);  // `until_ms` was over on the worker's clock
constexpr Micros stop_again = milliseconds(200);

constexpr int wrong_life = 421;

}  // namespace

void Side::take_order(const Order& order) {
    RunKey key{order.task, order.run};
    if (order.kind == OrderKind::start) {
        if (stops_.contains(key)) return;
        PendingOrder& pending = starts_[key];
        pending.order = order;
        pending.next_at = 0;
    } else {
        starts_.erase(key);
        PendingOrder& pending = stops_[key];
        pending.order = order;
        pending.next_at = 0;
    }
}

void Side::clear_orders() {
    starts_.clear();
    stops_.clear();
    results_.clear();
}

void Side::send_orders(Micros now) {
    if (worker_->draining) return refuse_starts_while_draining();
    for (auto& [key, pending] : starts_) {
        if (pending.in_flight || now < pending.next_at) continue;
        if (hold_until_ms(now) == 0) return;
        send_start(key, pending, now);
    }
}

void Side::refuse_starts_while_draining() {
    Micros now = steady_now();
    for (auto place = starts_.begin(); place != starts_.end();) {
        auto pending = place++;
        if (pending->second.in_flight || now < pending->second.next_at) continue;
        bool open = pending->second.open;
        end_start(pending, open ? OrderFate::doubtful : OrderFate::turned_away, "draining");
    }
}

bool Side::any_start_sent() const {
    return std::any_of(starts_.begin(), starts_.end(), [](const auto& each) { return each.second.attempts > 0; });
}

void Side::call_worker(const char* path, const boost::json::object& body, Micros patience, Loop::Then then) {
    loop_.ask({.url = "http://" + worker_->address + path,
               .body = boost::json::serialize(body),
               .form = "application/json",
               .headers = {"X-Expected-Worker: " + worker_->life},
               .patience = patience},
              std::move(then));
}

// Notes the worker's clock; returns the reason that the answer gives.
std::string Side::note_reply(const Answer& answer, Micros now) {
    WorkerReply reply = parse_reply(answer);
    if (reply.clock) note_clock(*reply.clock, now);
    return reply.reason;
}

Side::CallContext Side::call_context() const {
    return {worker_->life, epoch_, era_, steady_now()};
}

void Side::note_round_trip(const CallContext& context, const Answer& answer, Micros now) {
    if (answer.fate == Answer::Fate::answered) return answer_timeout_.answered(now - context.sent_at);
    answer_timeout_.unanswered(context.sent_at, now);
    note_loss(now);
}

void Side::send_start(const RunKey& key, PendingOrder& pending, Micros now) {
    pending.in_flight = true;
    if (pending.attempts++ == 0) pending.first_sent_at = now;
    boost::json::object body{{"task", pending.order.task},
                             {"run_id", pending.order.run},
                             {"job_spec", pending.order.spec},
                             {"until_ms", hold_until_ms(now)},
                             {"fence", epoch_.value}};
    if (!pending.order.saved.empty()) body["checkpoint"] = pending.order.saved;
    counters().add("starts_sent");
    call_worker("/run-start", body, answer_timeout_.value(),
                [this, key, context = call_context()](Answer answer) { take_start_answer(key, context, answer); });
}

void Side::take_start_answer(const RunKey& key, const CallContext& context, const Answer& answer) {
    std::lock_guard guard(lock_);
    if (!worker_ || worker_->life != context.life) return;
    Micros now = steady_now();
    std::string reason = note_reply(answer, now);
    note_round_trip(context, answer, now);
    if (context.epoch != epoch_ || context.era != era_) return;
    auto found = starts_.find(key);
    if (found == starts_.end()) {
        if (answer.good()) active_ = std::max<size_t>(active_, 1);
        return;
    }
    PendingOrder& pending = found->second;
    pending.in_flight = false;
    if (answer.good()) {
        ++active_;
        end_start(found, OrderFate::started, {});
        return work(now);
    }
    if (answer.fate != Answer::Fate::answered) {
        pending.open = pending.open || answer.fate == Answer::Fate::unknown;
        counters().add("starts_unanswered");
        reason = "silence";
    }
    if (std::optional<Micros> retry_at = retry_start_at(pending, answer, reason, now)) {
        pending.next_at = *retry_at;
        return;
    }
    if (reason.empty()) reason = fmt::format("{}", answer.code);
    end_start(found, pending.open ? OrderFate::doubtful : OrderFate::turned_away, std::move(reason));
}

std::optional<Micros> Side::retry_start_at(const PendingOrder& pending, const Answer& answer, const std::string& reason,
                                           Micros now) const {
    bool attempts_used = pending.attempts >= settings_.attempts_most;
    bool time_used = now - pending.first_sent_at >= settings_.attempts_for;
    if (answer.fate != Answer::Fate::answered && !(attempts_used && time_used)) return now + after_silence;
    if (attempts_used) return std::nullopt;
    if (answer.code == wrong_life || reason == "fence") return now + after_fence;
    if (reason == "late") return now + after_late;
    return std::nullopt;
}

void Side::end_start(std::map<RunKey, PendingOrder>::iterator pending, OrderFate fate, std::string reason) {
    Order order = std::move(pending->second.order);
    starts_.erase(pending);
    add_result(order, fate, std::move(reason));
}

void Side::send_stop(const RunKey& key, PendingOrder& pending) {
    pending.in_flight = true;
    ++pending.attempts;
    boost::json::object body{{"task", pending.order.task}, {"run_id", pending.order.run}, {"fence", epoch_.value}};
    counters().add("stops_sent");
    call_worker("/run-stop", body, answer_timeout_.value(),
                [this, key, context = call_context()](Answer answer) { take_stop_answer(key, context, answer); });
}

void Side::take_stop_answer(const RunKey& key, const CallContext& context, const Answer& answer) {
    std::lock_guard guard(lock_);
    if (!worker_ || worker_->life != context.life || context.epoch != epoch_) return;
    Micros now = steady_now();
    note_reply(answer, now);
    note_round_trip(context, answer, now);
    auto found = stops_.find(key);
    if (found == stops_.end()) return;
    found->second.in_flight = false;
    bool answered = answer.fate == Answer::Fate::answered;
    found->second.next_at = now + (answered ? stop_again : after_silence);
    if (!answered || answer.code >= 300) return;
    stops_.erase(found);
    stopped_.push_back(fmt::format("{} {}", key.first, key.second));
    poll(0);
}

}  // namespace calicostall
