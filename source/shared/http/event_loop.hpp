// HTTP out, by libcurl, and the timers of a process, on one thread.
#pragma once
#include <curl/curl.h>

#include "common.hpp"
#include "shared/diagnostics/log.hpp"
#include "shared/http/client_request.hpp"
#include "shared/http/curl_handle.hpp"
#include "shared/http/socket_table.hpp"
#include "shared/http/timer_queue.hpp"
#include "shared/time/clock.hpp"

namespace calicostall {

class Transfer;

// Sends requests and runs timers. Each request is on the wire at most once: libcurl's own repeat on a kept connection
// that ended without a response is stopped, since the first copy may have been read. Requests and timers may come from
// any thread; response handlers and actions run on the thread that called `run`.
// Example: loop.send({.url = "http://10.0.0.4:7720/inner/news", .body = encode(request)},
//                    [](ClientResponse response) { ... });
//          loop.run_after(milliseconds(200), [] { send_heartbeat(); });
class EventLoop {
public:
    using ResponseHandler = calicostall::ResponseHandler;

    // `max_idle_connections`: how many connections are kept open at rest.
    explicit EventLoop(long max_idle_connections = 128);
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
    virtual ~EventLoop();

    // Sends a request; its timeout begins when the loop takes it up. `on_response` is called once in any case.
    // Virtual, so that the loop of a load simulator or a test can answer within the process.
    virtual void send(ClientRequest request, ResponseHandler on_response);
    // Runs an action once, `delay` microseconds from now at the earliest.
    // Virtual, as `now` is, so that a test runs in virtual time.
    virtual void run_after(Micros delay, std::function<void()> action);
    // The monotonic clock of this loop's timers.
    virtual Micros now() const { return steady_now(); }
    // Makes this thread the loop's; doesn't return.
    [[noreturn]] void run();

private:
    struct QueuedRequest {
        ClientRequest request;
        ResponseHandler on_response;
    };

    void wake();
    int poll_timeout_ms();
    void start_queued_requests();
    // Hands a transfer to libcurl with the time that is left to it.
    void submit(std::unique_ptr<Transfer> transfer);
    void finish_transfers();
    void run_due_timers();

    // Only the loop's thread uses these.
    CURLM* multi_ = nullptr;  // never freed: a loop lives as long as its process
    SocketTable sockets_;
    CurlHandleCache handles_;
    std::unordered_map<CURL*, std::unique_ptr<Transfer>> transfers_;

    std::mutex mutex_;
    std::deque<QueuedRequest> queued_requests_;
    TimerQueue timers_;
    Micros wakes_at_ = 0;

    std::atomic<bool> is_wakeup_pending_{false};
    std::atomic<std::thread::id> loop_thread_{};  // read by all senders, also before `run`
};

}  // namespace calicostall
