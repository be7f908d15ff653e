// HTTP out, by libcurl, and the timers of a process, on one thread.
#pragma once
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "common.hpp"
#include "shared/record/log.hpp"
#include "shared/time/clock.hpp"

namespace calicostall {

// How a call ended, as its sender sees it.
struct Answer {
    // refused: surely nothing was sent; unknown: it may have been done.
    enum class Fate { answered, refused, unknown } fate = Fate::unknown;
    int code = 0;
    std::string body;
    bool good() const { return fate == Fate::answered && code == 200; }
};

struct Ask {
    std::string method = "POST";
    std::string url;
    std::string body;
    const char* form = "application/octet-stream";
    std::vector<std::string> headers;
    Micros patience = seconds(1);
};

// Example: loop.ask({.url = "http://10.0.0.4:7720/inner/news", .body = pack(ask)}, [](Answer answer) { ... });
//          loop.after(milliseconds(200), [] { beat(); });
class Loop {
public:
    using Then = std::function<void(Answer)>;

    explicit Loop(long connections_most = 128) {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, connections_most);
    }
    virtual ~Loop() = default;

    // Virtual, so that a loop of hollow workers can answer within the process.
    virtual void ask(Ask ask, Then then) {
        {
            std::lock_guard guard(lock_);
            asks_.emplace_back(std::move(ask), std::move(then));
        }
        wake();
    }
    void after(Micros wait, std::function<void()> act) {
        bool sooner;
        {
            std::lock_guard guard(lock_);
            Micros due = steady_now() + wait;
            timers_.emplace(due, std::move(act));
            sooner = due < sleeps_until_;
        }
        if (sooner) wake();
    }
    void run() {
        runner_ = std::this_thread::get_id();
        while (true) {
            begin_asks();
            int running = 0;
            curl_multi_perform(multi_, &running);
            finish_asks();
            run_timers();
            curl_multi_poll(multi_, nullptr, 0, wait_ms(), nullptr);
            woken_ = false;
        }
    }

private:
    struct Call {
        CURL* easy = nullptr;
        Ask ask;
        Then then;
        std::string body, kind;
        curl_slist* headers = nullptr;
    };
    // A handle at rest, made ready for one kind of call: only body and patience change from call to call.
    struct Kept {
        CURL* easy = nullptr;
        curl_slist* headers = nullptr;
    };
    static constexpr size_t kept_most = 24;

    // Many asks of other threads wake the loop once.
    void wake() {
        if (std::this_thread::get_id() != runner_ && !woken_.exchange(true)) curl_multi_wakeup(multi_);
    }
    int wait_ms() {
        std::lock_guard guard(lock_);
        Micros now = steady_now(), wait = seconds(1);
        if (!timers_.empty()) wait = std::clamp<Micros>(timers_.begin()->first - now, 0, wait);
        if (!asks_.empty()) wait = 0;
        sleeps_until_ = now + wait;
        return int((wait + 999) / 1000);
    }
    static size_t take_bytes(char* data, size_t size, size_t count, void* into) {
        static_cast<std::string*>(into)->append(data, size * count);
        return size * count;
    }
    static int prepare_socket(void*, curl_socket_t socket, curlsocktype) {
        unsigned int patience_ms = 3000;
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &patience_ms, sizeof patience_ms);
        return CURL_SOCKOPT_OK;
    }
    void begin_asks() {
        std::deque<std::pair<Ask, Then>> fresh;
        {
            std::lock_guard guard(lock_);
            fresh.swap(asks_);
        }
        for (auto& [ask, then] : fresh)
            begin(std::move(ask), std::move(then));
    }
    void begin(Ask ask, Then then) {
        auto call = std::make_unique<Call>();
        call->ask = std::move(ask);
        call->then = std::move(then);
        call->kind = call->ask.method + " " + call->ask.url + " " + call->ask.form;
        for (const std::string& header : call->ask.headers)
            call->kind += "\n" + header;
        auto kept = kept_.find(call->kind);
        if (kept != kept_.end()) {
            call->easy = kept->second.easy;
            call->headers = kept->second.headers;
            kept_.erase(kept);
        } else {
            make_ready(*call);
        }
        CURL* easy = call->easy;
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, long(call->ask.patience / 1000)));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         std::max<long>(1, long(std::min<Micros>(call->ask.patience, milliseconds(500)) / 1000)));
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call->body);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, call.get());
        if (call->ask.method != "GET" && call->ask.method != "DELETE") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->ask.body.c_str());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, long(call->ask.body.size()));
        }
        curl_multi_add_handle(multi_, easy);
        calls_.emplace(easy, std::move(call));
    }
    void make_ready(Call& call) {
        CURL* easy = call.easy = curl_easy_init();
        curl_easy_setopt(easy, CURLOPT_URL, call.ask.url.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, long(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Loop::prepare_socket);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Loop::take_bytes);
        if (call.ask.method != "GET" && call.ask.method != "DELETE") {
            curl_easy_setopt(easy, CURLOPT_POST, 1L);
            call.headers = curl_slist_append(call.headers, fmt::format("Content-Type: {}", call.ask.form).c_str());
            call.headers = curl_slist_append(call.headers, "Expect:");
        }
        call.headers = curl_slist_append(call.headers, "Accept:");
        // Some servers close after each answer unless they are asked to stay.
        call.headers = curl_slist_append(call.headers, "Connection: Keep-Alive");
        if (call.ask.method != "POST") curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.ask.method.c_str());
        for (const std::string& header : call.ask.headers)
            call.headers = curl_slist_append(call.headers, header.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.headers);
    }
    void keep(Call& call) {
        if (kept_.size() >= kept_most) {
            drop(kept_.begin()->second);
            kept_.erase(kept_.begin());
        }
        kept_.emplace(std::move(call.kind), Kept{call.easy, call.headers});
    }
    static void drop(Kept kept) {
        curl_easy_cleanup(kept.easy);
        curl_slist_free_all(kept.headers);
    }
    void finish_asks() {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE) continue;
            CURLcode result = message->data.result;
            auto found = calls_.find(message->easy_handle);
            std::unique_ptr<Call> call = std::move(found->second);
            calls_.erase(found);
            Answer answer;
            long code = 0, sent = 0;
            curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &code);
            curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent);
            curl_multi_remove_handle(multi_, call->easy);
            if (result == CURLE_OK)
                answer = {Answer::Fate::answered, int(code), std::move(call->body)};
            else
                answer.fate = sent == 0 ? Answer::Fate::refused : Answer::Fate::unknown;
            if (result != CURLE_OK) counters().add("sends_without_answer");
            keep(*call);
            if (call->then) call->then(std::move(answer));
        }
    }
    void run_timers() {
        while (true) {
            std::function<void()> act;
            {
                std::lock_guard guard(lock_);
                if (timers_.empty() || timers_.begin()->first > steady_now()) return;
                act = std::move(timers_.begin()->second);
                timers_.erase(timers_.begin());
            }
            act();
        }
    }

    CURLM* multi_ = nullptr;
    std::mutex lock_;
    std::deque<std::pair<Ask, Then>> asks_;
    std::multimap<Micros, std::function<void()>> timers_;
    std::unordered_map<CURL*, std::unique_ptr<Call>> calls_;
    std::unordered_multimap<std::string, Kept> kept_;  // by kind of call
    Micros sleeps_until_ = 0;
    std::atomic<bool> woken_{false};
    std::thread::id runner_;
};

}  // namespace calicostall
