// The hold of what runs on the worker, and polls of what runs and what ended there (POST /hold).
#include <boost/json.hpp>

#include "shared/record/log.hpp"
#include "shared/time/clock.hpp"
#include "side/side.hpp"

namespace calicostall {

namespace {

constexpr Micros hold_least = milliseconds(20);        // a shorter rest of a hold is none
constexpr Micros poll_wait_least = milliseconds(100);  // while a hold is to be renewed
constexpr Micros poll_after_error = milliseconds(20);
constexpr Micros poll_while_silent = milliseconds(150);
constexpr Micros report_every = milliseconds(900);  // though nothing has ended

}  // namespace

std::int64_t Side::hold_until_ms(Micros now) const {
    if (!clock_base_ || allowed_until_ <= now + hold_least) return 0;
    auto [worker_clock, own_clock] = *clock_base_;
    Micros until = worker_clock + (allowed_until_ - own_clock);
    Micros most = worker_clock + (now - own_clock) + settings_.machine.hold_most;
    return std::min(until, most) / 1000;
}

void Side::poll_if_due(Micros now) {
    if (polling_ || now < next_poll_) return;
    // A stop that stays unanswered needs polls too: only they show that the worker is silent, so that its hold lapses.
    // So does one that was answered: only a poll that began after it tells the owner that the run is over.
    if (active_ == 0 && !any_start_sent() && stops_.empty() && stopped_.empty()) return;
    // An end that the owner has not noted yet would come back at once.
    bool end_unseen = highest_end_ > seen_ && now - ended_at_ < settings_.unseen_wait;
    if (!end_unseen) poll(settings_.poll_wait);
}

void Side::poll(Micros wait) {
    if (!worker_) return;
    Micros now = steady_now();
    if (polling_ && (wait > 0 || polling_short_)) {
        if (wait == 0) poll_again_ = true;
        return;
    }
    bool is_short = wait == 0;
    (is_short ? polling_short_ : polling_) = true;
    boost::json::object body{{"fence", epoch_.value}, {"seen_at", seen_}};
    if (silent_) wait = 0;
    std::int64_t until = hold_until_ms(now);
    if (until > 0 && !silent_) {
        body["until_ms"] = until;
        wait = std::min<Micros>(wait, std::max<Micros>(poll_wait_least, (allowed_until_ - now) / 2));
    }
    if (lossy(now)) wait = std::min(wait, settings_.lossy_poll_wait);
    if (wait > 0) body["wait_ms"] = wait / 1000;
    Micros slack = lossy(now) || wait == 0 ? answer_timeout_.value() : settings_.poll_slack;
    counters().add("looks");
    call_worker("/hold", body, wait + slack,
                [this, context = PollContext{call_context(), is_short, wait > 0, stopped_}](Answer answer) {
                    take_poll_answer(context, answer);
                });
}

void Side::take_poll_answer(const PollContext& context, const Answer& answer) {
    std::lock_guard guard(lock_);
    (context.is_short ? polling_short_ : polling_) = false;
    if (!worker_ || worker_->life != context.call.life) return;
    Micros now = steady_now();
    if (!context.waits || answer.fate != Answer::Fate::answered) note_round_trip(context.call, answer, now);
    bool read = answer.good() && take_hold_reply(context, answer, now);
    if (read)
        note_poll_answered();
    else
        note_poll_unanswered(context, answer, now);
    if (poll_again_ && read) {
        poll_again_ = false;
        poll(0);
    }
    work(now);
}

void Side::note_poll_answered() {
    poll_errors_ = 0;
    if (!silent_) return;
    silent_ = false;
    ask_owner(Haste::urgent);
}

void Side::note_poll_unanswered(const PollContext& context, const Answer& answer, Micros now) {
    counters().add("looks_without_answer");
    next_poll_ = now + poll_after_error;
    after_gap_ = true;
    if (answer.fate != Answer::Fate::answered) {
        if (poll_errors_++ == 0) poll_errors_since_ = context.call.sent_at;
        if (!silent_ && silent_by_now(now)) {
            silent_ = true;
            log_line("side", "worker {} does not answer", worker_->life);
            ask_owner(Haste::urgent);
        }
    }
    if (silent_) next_poll_ = now + poll_while_silent;
}

bool Side::silent_by_now(Micros now) const {
    return poll_errors_ >= settings_.silent_after && now - poll_errors_since_ >= settings_.silent_after_time;
}

// False when the answer can't be read.
bool Side::take_hold_reply(const PollContext& context, const Answer& answer, Micros now) {
    HoldReply reply = parse_hold_reply(answer.body);
    if (reply.clock) note_clock(*reply.clock, now);
    if (!reply.complete) return false;
    bool ends = !reply.finished.empty();
    for (const FinishedRun& run : reply.finished)
        highest_end_ = std::max(highest_end_, run.number);
    active_ = reply.active.size();
    if (ends) {
        ended_at_ = now;
        next_poll_ = now + settings_.gather;
    }
    if (context.call.epoch == epoch_) add_report(context, std::move(reply), ends, now);
    return true;
}

void Side::add_report(const PollContext& context, HoldReply reply, bool ends, Micros now) {
    bool first = fence_shown_ < epoch_;
    fence_shown_ = epoch_;
    HoldReport report;
    report.life = worker_->life;
    report.fence = epoch_;
    report.active = std::move(reply.active);
    report.finished = std::move(reply.finished);
    report.stops = context.stopped;
    report.after_gap = after_gap_ || (report_ && report_->after_gap);
    after_gap_ = false;
    std::erase_if(stopped_, [&](const std::string& each) {
        return std::find(context.stopped.begin(), context.stopped.end(), each) != context.stopped.end();
    });
    if (report_) report.stops.insert(report.stops.end(), report_->stops.begin(), report_->stops.end());
    report_ = std::move(report);
    ++report_mark_;
    bool pressing = ends || !report_->stops.empty() || now - reported_at_ > report_every;
    ask_owner(first ? Haste::urgent : pressing ? Haste::pressing : Haste::resting);
    reported_at_ = now;
}

}  // namespace calicostall
