#include "shared/http/event_loop.hpp"

#include "shared/http/transfer.hpp"

namespace calicostall {

namespace {

// The longest that the loop sleeps without anything to do.
constexpr Micros max_sleep = seconds(1);

}  // namespace

EventLoop::EventLoop(long max_idle_connections) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
}

EventLoop::~EventLoop() = default;

void EventLoop::send(ClientRequest request, ResponseHandler on_response) {
    {
        std::lock_guard guard(mutex_);
        queued_requests_.push_back({std::move(request), std::move(on_response)});
    }
    wake();
}

void EventLoop::run_after(Micros delay, std::function<void()> action) {
    bool is_earliest;
    {
        std::lock_guard guard(mutex_);
        const Micros due = steady_now() + delay;
        timers_.add(due, std::move(action));
        is_earliest = due < wakes_at_;
    }
    if (is_earliest) wake();
}

void EventLoop::run() {
    loop_thread_ = std::this_thread::get_id();
    while (true) {
        start_queued_requests();
        int running = 0;
        curl_multi_perform(multi_, &running);
        finish_transfers();
        run_due_timers();
        curl_multi_poll(multi_, nullptr, 0, poll_timeout_ms(), nullptr);
        is_wakeup_pending_ = false;
    }
}

// Many requests of other threads wake the loop once.
void EventLoop::wake() {
    if (std::this_thread::get_id() != loop_thread_ && !is_wakeup_pending_.exchange(true)) curl_multi_wakeup(multi_);
}

int EventLoop::poll_timeout_ms() {
    std::lock_guard guard(mutex_);
    const Micros now = steady_now();
    Micros delay = max_sleep;
    if (std::optional<Micros> due = timers_.next_due()) delay = std::clamp<Micros>(*due - now, 0, delay);
    if (!queued_requests_.empty()) delay = 0;
    wakes_at_ = now + delay;
    return int((delay + 999) / 1000);
}

void EventLoop::start_queued_requests() {
    std::deque<QueuedRequest> queued;
    {
        std::lock_guard guard(mutex_);
        queued.swap(queued_requests_);
    }
    for (QueuedRequest& each : queued)
        submit(std::make_unique<Transfer>(std::move(each.request), std::move(each.on_response), sockets_, handles_));
}

void EventLoop::submit(std::unique_ptr<Transfer> transfer) {
    transfer->set_timeouts();
    CURL* easy = transfer->easy();
    curl_multi_add_handle(multi_, easy);
    transfers_.emplace(easy, std::move(transfer));
}

void EventLoop::finish_transfers() {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
        if (message->msg != CURLMSG_DONE) continue;
        const CURLcode result = message->data.result;
        auto found = transfers_.find(message->easy_handle);
        std::unique_ptr<Transfer> transfer = std::move(found->second);
        transfers_.erase(found);
        curl_multi_remove_handle(multi_, transfer->easy());
        if (result != CURLE_OK && transfer->prepare_retry())
            submit(std::move(transfer));
        else
            transfer->finish(result);
    }
}

void EventLoop::run_due_timers() {
    while (true) {
        std::optional<TimerQueue::Action> action;
        {
            std::lock_guard guard(mutex_);
            action = timers_.take_due(steady_now());
        }
        if (!action) return;
        (*action)();
    }
}

}  // namespace calicostall
