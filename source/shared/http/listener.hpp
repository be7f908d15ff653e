// HTTP in, by Boost.Beast: one Listener for each address that a role serves, all on one thread of the process.
// (Pistache 0.0.5 would not do: it names a connection by its descriptor's number when a response is written, so a
// response for a client that has gone reaches whoever has got the number since.)
#pragma once
#include "common.hpp"
#include "shared/http/listener_state.hpp"
#include "shared/http/request.hpp"

namespace calicostall {

// Accepts connections on one address. All connections of the process live on one thread of their own, which begins with
// the first listener; the handler is called on it.
class Listener {
public:
    using RequestHandler = std::function<void(Request)>;
    using Limits = ListenerLimits;

    // Binds to `address`, "IP:PORT". Throws std::exception when the address can't be had.
    // Example: Listener listener("10.0.0.4:8161", limits, [](Request request) { ... });
    Listener(const std::string& address, const Limits& limits, RequestHandler handler);
    // Accepts no more, and the handler is not called any more, nor is it under way. Not to be destroyed with a lock
    // held that the handler needs.
    ~Listener();  // NOLINT(bugprone-exception-escape): throws only without memory
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // Begins to accept connections.
    void open();
    // From now on each response asks its client to leave, unless the client's next request was read with this one.
    void begin_draining();
    // Ends the process's connections in order, on all listeners: every request that was read, completely or in part, is
    // answered first, but none is waited for longer than `timeout` microseconds. `on_drained` is called on the
    // connection thread, so nothing more is read from there on; it should end the process.
    // Example: Listener::drain_connections(milliseconds(300), [] { _exit(0); });
    static void drain_connections(Micros timeout, std::function<void()> on_drained);

private:
    class Acceptor;
    std::shared_ptr<ListenerState> state_;
    std::shared_ptr<Acceptor> acceptor_;
};

}  // namespace calicostall
