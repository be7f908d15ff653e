// A request that came in, and the way back to the client that sent it.
#pragma once
#include "common.hpp"
#include "shared/http/response.hpp"

namespace calicostall {

class ServerConnection;

// The one place that sends a response; moved into a slab while a request waits. It is bound to its own connection and
// request: a response whose client has gone is dropped, and a responder that is dropped ends its connection.
// Example: pending.insert(std::move(responder)); ... responder.send(Response::plain(200));
class Responder {
public:
    Responder() = default;
    // `closes_connection`: the response tells the client that the connection ends with it.
    Responder(std::shared_ptr<ServerConnection> connection, std::uint64_t request_number, bool closes_connection);
    Responder(Responder&& other) noexcept;
    Responder& operator=(Responder&& other) noexcept;

    // Sends the response, once; a second call does nothing. May be called from any thread.
    // Errors: a response that can't be delivered is dropped and counted (`answers_undeliverable`).
    void send(const Response& response);
    // Whether the request still waits for its response.
    bool is_open() const { return is_open_; }

private:
    std::shared_ptr<ServerConnection> connection_;  // kept alive by its responder alone while a response is awaited
    std::uint64_t request_number_ = 0;
    bool closes_connection_ = false;
    bool is_open_ = false;
};

// A complete request.
struct Request {
    std::string method;
    std::string path;  // without its query
    std::string host;  // without its port
    std::string if_match;
    std::string deadline_ms;  // the text of X-Deadline-Ms; empty when the client gives none
    std::string body;
    size_t head_bytes = 0;  // of the request line and the headers
    Responder responder;
};

}  // namespace calicostall
