#include "shared/http/socket_table.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cerrno>

namespace calicostall {

namespace {

SocketAddress to_socket_address(const sockaddr& address) {
    char text[INET6_ADDRSTRLEN] = "";
    if (address.sa_family == AF_INET) {
        const auto& ipv4 = reinterpret_cast<const sockaddr_in&>(address);
        return {inet_ntop(AF_INET, &ipv4.sin_addr, text, sizeof text), ntohs(ipv4.sin_port)};
    }
    if (address.sa_family == AF_INET6) {
        const auto& ipv6 = reinterpret_cast<const sockaddr_in6&>(address);
        return {inet_ntop(AF_INET6, &ipv6.sin6_addr, text, sizeof text), ntohs(ipv6.sin6_port)};
    }
    return {};
}

// Works also after the peer has reset the connection, when the system no longer tells the peer.
SocketAddress local_address_of(int socket) {
    sockaddr_storage storage{};
    auto* address = reinterpret_cast<sockaddr*>(&storage);
    socklen_t size = sizeof storage;
    if (getsockname(socket, address, &size) != 0) return {};
    return to_socket_address(*address);
}

}  // namespace

void SocketTable::on_opened(int socket, const sockaddr& peer) {
    on_closed(socket);
    connecting_[socket] = to_socket_address(peer);
}

void SocketTable::on_closed(int socket) {
    connecting_.erase(socket);
    auto known = endpoints_of_.find(socket);
    if (known == endpoints_of_.end()) return;
    auto owner = by_endpoints_.find(known->second);
    if (owner != by_endpoints_.end() && owner->second == socket) by_endpoints_.erase(owner);
    endpoints_of_.erase(known);
}

SocketTable::Reusability SocketTable::check(const ConnectionEndpoints& endpoints) {
    std::optional<int> socket = find(endpoints);
    if (!socket) return Reusability::reusable;
    char byte;
    const ssize_t received = recv(*socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool is_quiet = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return is_quiet ? Reusability::reusable : Reusability::unusable;
}

std::optional<int> SocketTable::find(const ConnectionEndpoints& endpoints) {
    // The new ones first: after a reset the system may give both ends to another connection.
    for (const auto& [socket, peer] : connecting_) {
        if (peer != endpoints.peer || local_address_of(socket) != endpoints.local) continue;
        const int found = socket;
        connecting_.erase(found);
        by_endpoints_[endpoints] = found;
        endpoints_of_[found] = endpoints;
        return found;
    }
    auto known = by_endpoints_.find(endpoints);
    if (known == by_endpoints_.end()) return std::nullopt;
    return known->second;
}

}  // namespace calicostall
