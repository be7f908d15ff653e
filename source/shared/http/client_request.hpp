// A request that a process sends by its EventLoop, and how it ended.
#pragma once
#include "common.hpp"

namespace calicostall {

// How a request ended, as its sender sees it.
struct ClientResponse {
    // answered: this very request was answered. not_sent: no byte of it was sent. unknown: it may have been read and
    // may be carried out, now or later.
    enum class Outcome { answered, not_sent, unknown } outcome = Outcome::unknown;
    int status = 0;  // of HTTP; 0 without a response
    std::string body;

    bool is_ok() const { return outcome == Outcome::answered && status == 200; }
};

// One request to send. A body goes with every method but GET and DELETE.
struct ClientRequest {
    std::string method = "POST";
    std::string url;
    std::string body;
    const char* content_type = "application/octet-stream";
    std::vector<std::string> headers;  // complete lines, as "X-Expected-Worker: i-1"
    Micros timeout = seconds(1);       // from the call of `send` to the complete response, in microseconds

    bool has_body() const { return method != "GET" && method != "DELETE"; }
};

// Takes what became of a request; called once, on the loop's thread.
using ResponseHandler = std::function<void(ClientResponse)>;

}  // namespace calicostall
