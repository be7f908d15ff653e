// A response of HTTP as a value. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

// What a handler answers; only a Responder writes it to a connection.
// Example: return Response::json(200, R"({"pending":3})");
struct Response {
    enum class ContentType { none, json, cbor, text };

    int code = 200;
    std::string body;
    ContentType content_type = ContentType::none;
    int retry_after_s = 0;  // seconds until the client may come again; 0: not said
    std::string location;   // where the client is to go instead; empty: nowhere

    // A status without a body.
    static Response plain(int code) { return {code, {}, ContentType::none, 0, {}}; }
    static Response json(int code, std::string body) { return {code, std::move(body), ContentType::json, 0, {}}; }
    static Response text(int code, std::string body) { return {code, std::move(body), ContentType::text, 0, {}}; }
    // An encoded frame, with status 200.
    static Response cbor(std::string body) { return {200, std::move(body), ContentType::cbor, 0, {}}; }
    // A rejection with the advice to come again after so many seconds.
    static Response retry_later(int code, int retry_after_s) {
        return {code, {}, ContentType::none, retry_after_s, {}};
    }
    // Sends the client to another address (307).
    static Response redirect(std::string location) { return {307, {}, ContentType::none, 0, std::move(location)}; }
};

}  // namespace calicostall
