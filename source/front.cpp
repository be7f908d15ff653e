#include "front.hpp"

namespace calicostall {

namespace {

// How much of `grace` is left for the process's end when the drain is over at the latest.
constexpr Micros exit_reserve = milliseconds(1300);
// A drain is over early when no call came for so long.
constexpr Micros quiet_time = milliseconds(2200);

}  // namespace

Front::Front(FrontSettings settings, Loop& loop)
    : settings_(std::move(settings)),
      loop_(loop),
      locator_({settings_.machine.node, settings_.machine.seed_replicas(), 2, seconds(5), true}, loop,
               [this] { take_news(); }) {}

Findings Front::open() {
    Findings findings;
    auto listen = [&](std::unique_ptr<Listener>& listener, const std::string& address, const char* place, size_t body,
                      Listener::Take take) {
        if (address.empty()) return;
        try {
            listener = std::make_unique<Listener>(address, Listener::Limits{.body_bytes = body}, std::move(take));
            listener->open();
        } catch (const std::exception& error) {
            findings.add(place, fmt::format("{}: {}", address, error.what()));
        }
    };
    listen(front_, settings_.machine.front, "bind_addrs.front", 8 << 20,
           [this](Request request) { take(std::move(request)); });
    listen(readiness_, settings_.machine.readiness, "bind_addrs.readiness", 4096, [this](Request request) {
        request.reply.send(Response::plain(request.path == "/ready" && ready() ? 200 : 503));
    });
    locator_.open();
    return findings;
}

void Front::leave(const std::function<void()>& then) {
    log_line("front", "draining");
    draining_ = true;
    if (front_) front_->close_gently();
    {
        std::lock_guard guard(lock_);
        drain_until_ = steady_now() + settings_.machine.grace - exit_reserve;
        for (Handle handle : waiting_.handles()) {
            Waiting* waiting = waiting_.find(handle);
            waiting->until = std::min(waiting->until, *drain_until_);
        }
    }
    watch_drain(then);
}

void Front::watch_drain(const std::function<void()>& then) {
    Micros now = steady_now();
    bool over;
    {
        std::lock_guard guard(lock_);
        bool quiet = waiting_.size() == 0 && now - last_call_ > quiet_time;
        over = (quiet && now > *drain_until_ - settings_.machine.grace / 3) || now >= *drain_until_;
        if (over) end_calls();
    }
    if (over) return then();
    loop_.after(milliseconds(100), [this, then] { watch_drain(then); });
}

void Front::end_calls() {
    ending_ = true;
    for (Handle handle : waiting_.handles())
        give_up(handle);
}

void Front::take_news() {
    std::lock_guard guard(lock_);
    if (Epoch epoch = locator_.epoch(); epoch > epoch_) {
        // What waits at an earlier owner is sent to the new one now; one ID stays one job.
        epoch_ = epoch;
        for (Handle handle : waiting_.handles()) {
            Waiting* waiting = waiting_.find(handle);
            waiting->choice = 0;
            if (waiting->in_flight == 0) continue;
            waiting->doubtful = true;
            loop_.after(0, [this, handle] { send(handle); });
        }
    }
    // One text a revision, read once.
    if (std::uint64_t revision = locator_.revision(); revision > config_revision_) {
        config_revision_ = revision;
        config_ = read_config(locator_.config());
        log_line("front", "configuration {}", config_.revision);
    }
}

void Front::take(Request request) {
    std::unique_lock guard(lock_);
    last_call_ = steady_now();
    counters().add("calls");
    if (config_.revision == 0 || ending_) return request.reply.send(Response::later(503, 1));
    if (request.head_bytes > config_.header_bytes) return request.reply.send(Response::plain(431));
    if (request.body.size() > config_.body_bytes) return request.reply.send(Response::plain(413));
    if (waiting_.size() >= settings_.waiting_most) {
        counters().add("calls_refused");
        return request.reply.send(Response::later(503, 1));
    }
    const Queue* queue = config_.find(request.host, request.path);
    Micros patience = settings_.patience_most;
    if (!request.deadline_ms.empty())
        patience = std::min(patience, Micros(std::atoll(request.deadline_ms.c_str())) * 1000 - milliseconds(100));
    if (queue) patience = std::min(patience, queue->patience - milliseconds(100));
    Waiting waiting;
    waiting.reply = std::move(request.reply);
    waiting.ask = {request.method, request.host, request.path, std::move(request.body), {}, false};
    waiting.until = last_call_ + std::max(patience, milliseconds(100));
    if (drain_until_) waiting.until = std::min(waiting.until, *drain_until_);
    Handle handle = waiting_.insert(std::move(waiting));
    guard.unlock();
    send(handle);
}

void Front::send(Handle handle) {
    Ask ask;
    {
        std::lock_guard guard(lock_);
        Waiting* waiting = waiting_.find(handle);
        if (!waiting) return;
        Micros left = waiting->until - steady_now();
        if (left < milliseconds(5)) return give_up(handle);
        std::string target = locator_.target(waiting->choice);
        ++waiting->sends;
        ask.url = "http://" + target + "/inner/call";
        ask.body = pack(waiting->ask);
        ++waiting->in_flight;
        ask.patience = std::min(left, settings_.send_patience);
    }
    loop_.ask(std::move(ask), [this, handle](const Answer& answer) { settle(handle, answer); });
}

void Front::settle(Handle handle, const Answer& answer) {
    auto frame = answer.good() ? unpack<CallAnswer>(answer.body) : std::nullopt;
    {
        std::lock_guard guard(lock_);
        Waiting* waiting = waiting_.find(handle);
        if (!waiting) return;
        --waiting->in_flight;
        if (frame && frame->fate == CallFate::settled) {
            // An earlier send of this call may have been done: then a refusal would be no truth.
            bool refusal = frame->code == 429 || frame->code == 503;
            Response response;
            response.code = refusal && waiting->doubtful ? 504 : int(frame->code);
            response.body = std::move(frame->body);
            response.form = response.body.empty() ? Response::Form::none : Response::Form::json;
            response.retry_after_s = int(frame->retry_after_s);
            waiting_.take(handle)->reply.send(response);
            return;
        }
        if (!(frame && frame->fate == CallFate::elsewhere) && answer.fate != Answer::Fate::refused)
            waiting->doubtful = true;
        counters().add("sends_again");
        if (waiting->in_flight > 0) return;
        // An owner that has just been elected says so for a moment; silence is a reason to go elsewhere.
        if (!frame || waiting->sends % 6 == 0) waiting->choice = (waiting->choice + 1) % 4;
        // No time for another send: the final answer leaves now, not after a pause.
        if (waiting->until - steady_now() < settings_.pause + milliseconds(5)) return give_up(handle);
    }
    locator_.hurry();
    loop_.after(settings_.pause, [this, handle] { send(handle); });
}

void Front::give_up(Handle handle) {
    auto waiting = waiting_.take(handle);
    if (!waiting) return;
    counters().add("calls_given_up");
    bool changes = waiting->ask.method == "POST" || waiting->ask.method == "DELETE";
    bool doubtful = waiting->doubtful || waiting->in_flight > 0;
    waiting->reply.send(doubtful && changes ? Response::plain(504) : Response::later(503, 1));
}

}  // namespace calicostall
