// HTTP out, by libcurl, and the timers of a process, on one thread.
#pragma once
#include <curl/curl.h>

#include "common.hpp"
#include "shared/record/log.hpp"
#include "shared/time/clock.hpp"

namespace calicostall {

// How a call ended, as its sender sees it.
struct Answer {
    // answered: this very request was answered. refused: no byte of it was sent. unknown: it may have been read and
    // may be carried out, now or later.
    enum class Fate { answered, refused, unknown } fate = Fate::unknown;
    int code = 0;  // HTTP status, 0 without an answer
    std::string body;
    bool good() const { return fate == Fate::answered && code == 200; }
};

// One request to send. A body goes with every method but GET and DELETE.
struct Ask {
    std::string method = "POST";
    std::string url;
    std::string body;
    const char* form = "application/octet-stream";  // the content type
    std::vector<std::string> headers;               // whole lines, as "X-Expected-Worker: i-1"
    Micros patience = seconds(1);                   // until the ask counts as unanswered
};

// One end of a TCP connection.
struct SocketAddress {
    std::string address;  // numeric, as "10.0.0.4"
    int port = 0;
    auto operator<=>(const SocketAddress&) const = default;
};

// Both ends of a TCP connection. Only together they name it: the system gives one local port to several connections at
// once as long as their peers differ.
struct ConnectionEnds {
    SocketAddress local, peer;
    auto operator<=>(const ConnectionEnds&) const = default;
};

// The local sockets of a loop's connections. libcurl shows a connection by its ends only; a connection at rest is
// looked at by its socket before it is used again.
class SocketTable {
public:
    enum class Rest { clean, unclean };

    // `peer`: what the socket is about to be connected to.
    void opened(curl_socket_t socket, const sockaddr& peer);
    void closed(curl_socket_t socket);
    // `unclean`: bytes lie there that no request asked for, or the peer has ended the connection. A connection that
    // is not known here is clean: it has just been made.
    Rest look(const ConnectionEnds& ends);

private:
    std::optional<curl_socket_t> find(const ConnectionEnds& ends);

    // Opened and with their peers; their own ends are known only after they are connected.
    std::map<curl_socket_t, SocketAddress> unnamed_;
    std::map<ConnectionEnds, curl_socket_t> by_ends_;
    std::map<curl_socket_t, ConnectionEnds> ends_of_;  // the same, the other way round
};

// Sends requests and runs timers. Each ask is on the wire at most once: libcurl's own repeat on a kept connection that
// ended without an answer is stopped, since the first copy may have been read. Asks and timers may come from any
// thread; answers and timers run on the thread that called `run`.
// Example: loop.ask({.url = "http://10.0.0.4:7720/inner/news", .body = pack(ask)}, [](Answer answer) { ... });
//          loop.after(milliseconds(200), [] { beat(); });
class Loop {
public:
    using Then = std::function<void(Answer)>;

    // `connections_most`: kept open at rest.
    explicit Loop(long connections_most = 128);
    Loop(const Loop&) = delete;
    virtual ~Loop() = default;

    // Virtual, so that a loop of hollow workers can answer within the process.
    virtual void ask(Ask ask, Then then);
    void after(Micros wait, std::function<void()> act);
    // Doesn't return.
    [[noreturn]] void run();

private:
    // Asks without bytes on the wire begin again on another connection; after so many times on a new one.
    static constexpr size_t restarts_on_kept = 3;
    static constexpr size_t handles_kept_most = 24;

    struct Call {
        Loop* loop = nullptr;
        CURL* easy = nullptr;
        Ask ask;
        Then then;
        std::string body, kind;
        curl_slist* headers = nullptr;
        Micros until = 0;
        size_t restarts = 0;
        bool sent = false;     // a request may have left: at most one does
        bool unclean = false;  // the connection offered last was not fit for use
    };
    // A handle at rest, made ready for one kind of call: only body and patience change from call to call.
    struct Kept {
        CURL* easy = nullptr;
        curl_slist* headers = nullptr;
    };

    void wake();
    int wait_ms();

    void begin_asks();
    void begin(Ask ask, Then then);
    // Hands the call to libcurl with the patience that is left.
    void start(std::unique_ptr<Call> call);
    void make_ready(Call& call);
    void keep(Call& call);
    static void drop(Kept kept);
    static bool has_body(const Ask& ask) { return ask.method != "GET" && ask.method != "DELETE"; }

    void finish_asks();
    void finish(std::unique_ptr<Call> call, CURLcode result);
    // Nothing was sent, and another connection may do: false when there is no time left.
    bool restart(std::unique_ptr<Call>& call);
    void run_timers();

    // Callbacks of libcurl.
    static size_t take_bytes(char* data, size_t size, size_t count, void* body);
    static curl_socket_t open_socket(void* loop, curlsocktype purpose, curl_sockaddr* peer);
    static int close_socket(void* loop, curl_socket_t socket);
    static int before_request(void* call, char* peer_address, char* local_address, int peer_port, int local_port);

    CURLM* multi_ = nullptr;
    SocketTable sockets_;
    std::mutex lock_;
    std::deque<std::pair<Ask, Then>> asks_;
    std::multimap<Micros, std::function<void()>> timers_;
    std::unordered_map<CURL*, std::unique_ptr<Call>> calls_;
    std::unordered_multimap<std::string, Kept> kept_;  // by kind of call
    Micros sleeps_until_ = 0;
    std::atomic<bool> woken_{false};
    std::atomic<std::thread::id> runner_{};  // read by whoever asks, also before `run`
};

}  // namespace calicostall
