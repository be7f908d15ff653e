// HTTP in, by Boost.Beast: one Listener for each address that a role serves, all on one thread of the process.
// (Pistache 0.0.5 would not do: it names a connection by its descriptor's number when an answer is written, so an
// answer for a client that has gone reaches whoever has got the number since.)
#pragma once
#include "common.hpp"
#include "shared/http/response.hpp"

namespace calicostall {

class Session;
struct ListenerShared;

// The one place that writes an answer; moved into a slab while a request waits. It is bound to its own connection and
// request: an answer whose client has gone is dropped, and a reply that is dropped ends its connection.
// Example: waiting.insert(std::move(reply)); ... reply.send(Response::plain(200));
class Reply {
public:
    Reply() = default;
    Reply(std::shared_ptr<Session> session, std::uint64_t number, bool closing);
    Reply(Reply&& other) noexcept;
    Reply& operator=(Reply&& other) noexcept;
    // Errors: an answer that can't be delivered is dropped and counted (`answers_undeliverable`).
    void send(const Response& response);
    bool open() const { return open_; }

private:
    std::shared_ptr<Session> session_;  // kept by its reply alone while the answer is waited for
    std::uint64_t number_ = 0;
    bool closing_ = false, open_ = false;
};

// A request that came in whole.
struct Request {
    std::string method;
    std::string path;
    std::string host;
    std::string if_match;
    std::string deadline_ms;
    std::string body;
    size_t head_bytes = 0;  // of the request line and the headers
    Reply reply;
};

// What bounds a request; larger or slower ones are refused or cut.
struct ListenerLimits {
    size_t body_bytes = 1 << 20;
    size_t head_bytes = 65536;
    Micros head_wait = seconds(5);    // for a request, from its first byte to its last
    Micros idle_wait = seconds(120);  // between two requests of one connection
};

// Accepts connections on one address. All connections of the process live on one thread of their own, which begins with
// the first listener; `Take` is called on it.
class Listener {
public:
    using Take = std::function<void(Request)>;
    using Limits = ListenerLimits;

    // Throws std::exception when the address can't be had.
    // Example: Listener listener("10.0.0.4:8161", limits, [](Request request) { ... });
    Listener(const std::string& address, const Limits& limits, Take take);
    // Accepts no more, and `take` is not called any more, nor is it under way. Not to be destroyed with a lock held
    // that `take` needs.
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    void open();
    // From now on each answer asks its client to leave, unless the client's next request was read with this one.
    void close_gently();
    // Ends the process's connections in order, on all listeners: every request that was read whole, or in part, is
    // answered first, but none is waited for longer than `patience`. `then` is called on the connection thread, so
    // nothing more is read from there on; it should end the process.
    // Example: Listener::finish(milliseconds(300), [] { _exit(0); });
    static void finish(Micros patience, std::function<void()> then);

private:
    struct Accepting;
    std::shared_ptr<ListenerShared> shared_;
    std::shared_ptr<Accepting> accepting_;
};

}  // namespace calicostall
