#include "shared/http/response_format.hpp"

#include <boost/beast/http/status.hpp>

namespace calicostall {

namespace {

// The header line for a body of this type; empty without a body.
std::string_view content_type_line(Response::ContentType type) {
    switch (type) {
        case Response::ContentType::json:
            return "Content-Type: application/json\r\n";
        case Response::ContentType::cbor:
            return "Content-Type: application/octet-stream\r\n";
        case Response::ContentType::text:
            return "Content-Type: text/plain\r\n";
        case Response::ContentType::none:
            break;
    }
    return {};
}

std::string_view reason_phrase(int code) {
    return boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(unsigned(code)));
}

}  // namespace

std::string format_response(const Response& response, bool closes_connection) {
    std::string bytes = fmt::format("HTTP/1.1 {} {}\r\n", response.code, reason_phrase(response.code));
    bytes += content_type_line(response.content_type);
    auto end = std::back_inserter(bytes);
    if (response.retry_after_s > 0) fmt::format_to(end, "Retry-After: {}\r\n", response.retry_after_s);
    if (!response.location.empty()) fmt::format_to(end, "Location: {}\r\n", response.location);
    if (closes_connection) bytes += "Connection: close\r\n";
    fmt::format_to(end, "Content-Length: {}\r\n\r\n", response.body.size());
    bytes += response.body;
    return bytes;
}

}  // namespace calicostall
