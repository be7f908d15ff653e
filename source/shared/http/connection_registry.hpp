// All incoming HTTP connections of the process, so that it can end after the last response.
#pragma once
#include <unordered_set>

#include "common.hpp"

namespace calicostall {

class ServerConnection;

// Thread-safe, since a connection may be destroyed by any thread that drops its responder.
class ConnectionRegistry {
public:
    void add(ServerConnection* connection);
    void remove(ServerConnection* connection);
    // Whether a request that was read, completely or in part, has no complete response. On the connection thread only.
    bool has_unanswered_request();
    // Ends the connections that wait for a next request. On the connection thread only.
    void close_idle();
    // Whether there is a connection that isn't closed. On the connection thread only.
    bool has_open_connection();

private:
    std::mutex mutex_;
    std::unordered_set<ServerConnection*> connections_;
};

// The one registry of the process.
ConnectionRegistry& connection_registry();

// Calls `on_drained` on the connection thread once every request that was read has its response and every client has
// had a moment to read it, or after `timeout` microseconds. Nothing more is read from there on, as long as `on_drained`
// doesn't return.
void drain_all_connections(Micros timeout, std::function<void()> on_drained);

}  // namespace calicostall
