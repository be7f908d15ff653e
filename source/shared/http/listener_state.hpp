// What a listener shares with its connections: its limits and its handler.
#pragma once
#include "common.hpp"
#include "shared/http/request.hpp"

namespace calicostall {

// What bounds a request; larger or slower ones are rejected or cut off. Sizes in bytes, durations in microseconds.
struct ListenerLimits {
    size_t max_body_bytes = 1 << 20;
    size_t max_head_bytes = 65536;
    Micros request_timeout = seconds(5);  // for a request, from its first byte to its last
    Micros idle_timeout = seconds(120);   // between two requests of one connection
};

// What all connections of one listener share.
struct ListenerState {
    ListenerLimits limits;
    std::function<void(Request)> handler;  // empty once the listener is destroyed; on the connection thread only
    std::atomic<bool> is_draining{false};
};

}  // namespace calicostall
