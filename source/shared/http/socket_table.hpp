// The local sockets of an event loop's connections, by which an idle connection is checked before it is used again.
#pragma once
#include <sys/socket.h>

#include "common.hpp"

namespace calicostall {

// One end of a TCP connection.
struct SocketAddress {
    std::string address;  // numeric, as "10.0.0.4"; empty for a family that is not of the internet
    int port = 0;
    auto operator<=>(const SocketAddress&) const = default;
};

// Both ends of a TCP connection. Only together they name it: the system gives one local port to several connections at
// once as long as their peers differ.
struct ConnectionEndpoints {
    SocketAddress local;
    SocketAddress peer;
    auto operator<=>(const ConnectionEndpoints&) const = default;
};

// libcurl names a connection by its endpoints only; this table finds its socket. Owns no socket.
// Not thread-safe: only the loop's thread uses it.
class SocketTable {
public:
    enum class Reusability { reusable, unusable };

    // `peer`: what the socket is about to be connected to.
    void on_opened(int socket, const sockaddr& peer);
    void on_closed(int socket);
    // Checks a connection without reading from it.
    // Returns `unusable` when bytes wait there that no request asked for, or the peer has ended the connection. A
    // connection that is not known here is reusable: it has just been made.
    Reusability check(const ConnectionEndpoints& endpoints);

private:
    std::optional<int> find(const ConnectionEndpoints& endpoints);

    // Opened, with their peers; their own ends are known only after they are connected.
    std::map<int, SocketAddress> connecting_;
    std::map<ConnectionEndpoints, int> by_endpoints_;
    std::map<int, ConnectionEndpoints> endpoints_of_;  // the inverse of `by_endpoints_`
};

}  // namespace calicostall
