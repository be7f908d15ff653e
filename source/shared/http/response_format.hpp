// The bytes of a response on the wire. Pure.
#pragma once
#include "common.hpp"
#include "shared/http/response.hpp"

namespace calicostall {

// The complete response of HTTP/1.1, from the status line to the end of the body.
// `closes_connection` adds the header that says so.
std::string format_response(const Response& response, bool closes_connection);

}  // namespace calicostall
