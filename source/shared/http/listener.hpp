// HTTP in, by Pistache: one Listener for each address that a role serves.
#pragma once
#include <pistache/endpoint.h>

#include "common.hpp"
#include "shared/http/response.hpp"
#include "shared/record/log.hpp"

namespace calicostall {

// The one place that writes an answer; moved into a slab while a request waits.
// Example: waiting.insert(std::move(reply)); ... reply.send(Response::plain(200));
class Reply {
public:
    Reply() = default;
    explicit Reply(Pistache::Http::ResponseWriter writer, bool closing = false) : writer_(std::make_shared<Pistache::Http::ResponseWriter>(std::move(writer))), closing_(closing) {}

    void send(const Response& response) {
        if (!writer_) return;
        std::shared_ptr<Pistache::Http::ResponseWriter> writer = std::move(writer_);
        try {
            if (response.form == Response::Form::json) writer->setMime(MIME(Application, Json));
            if (response.form == Response::Form::cbor) writer->setMime(MIME(Application, OctetStream));
            if (response.form == Response::Form::text) writer->setMime(MIME(Text, Plain));
            if (response.retry_after_s > 0)
                writer->headers().addRaw({"Retry-After", std::to_string(response.retry_after_s)});
            if (!response.location.empty()) writer->headers().add<Pistache::Http::Header::Location>(response.location);
            if (closing_) writer->headers().add<Pistache::Http::Header::Connection>(Pistache::Http::ConnectionControl::Close);
            writer->send(static_cast<Pistache::Http::Code>(response.code), response.body);
        } catch (const std::exception&) {
            counters().add("answers_undeliverable");
        }
    }
    bool open() const { return bool(writer_); }

private:
    std::shared_ptr<Pistache::Http::ResponseWriter> writer_;
    bool closing_ = false;
};

struct Request {
    std::string method;
    std::string path;
    std::string host;
    std::string if_match;
    std::string deadline_ms;
    std::string body;
    size_t head_bytes = 0;  // of the request line and the headers
    Reply reply;
};

class Listener {
public:
    using Take = std::function<void(Request)>;
    struct Limits {
        size_t body_bytes = 1 << 20;
        Micros head_wait = seconds(5);
        Micros idle_wait = seconds(120);
    };

    // Example: Listener listener("10.0.0.4:8161", limits, [](Request request) { ... });
    Listener(const std::string& address, const Limits& limits, Take take) : endpoint_(Pistache::Address(address)) {
        auto options = Pistache::Http::Endpoint::options()
                           .threads(1)
                           .backlog(512)
                           .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                           .maxRequestSize(limits.body_bytes + 65536)
                           .headerTimeout(std::chrono::microseconds(limits.head_wait))
                           .bodyTimeout(std::chrono::microseconds(limits.head_wait))
                           .keepaliveTimeout(std::chrono::microseconds(limits.idle_wait));
        endpoint_.init(options);
        auto handler = std::make_shared<Handler>();
        handler->take = std::make_shared<Take>(std::move(take));
        handler->closing = closing_;
        endpoint_.setHandler(handler);
    }
    void open() { endpoint_.serveThreaded(); }
    // From now on each answer asks its client to leave.
    void close_gently() { *closing_ = true; }

private:
    struct Handler : Pistache::Http::Handler {
        HTTP_PROTOTYPE(Handler)
        std::shared_ptr<Take> take;
        std::shared_ptr<std::atomic<bool>> closing;
        void onRequest(const Pistache::Http::Request& message, Pistache::Http::ResponseWriter writer) override {
            Request request;
            request.method = Pistache::Http::methodString(message.method());
            request.path = message.resource();
            if (auto host = message.headers().tryGet<Pistache::Http::Header::Host>()) request.host = host->host();
            if (auto raw = message.headers().tryGetRaw("If-Match")) request.if_match = raw->value();
            if (auto raw = message.headers().tryGetRaw("X-Deadline-Ms")) request.deadline_ms = raw->value();
            request.body = message.body();
            request.head_bytes = request.method.size() + request.path.size() + 12;
            for (const auto& [name, raw] : message.headers().rawList()) request.head_bytes += name.size() + raw.value().size() + 4;
            request.reply = Reply(std::move(writer), *closing);
            (*take)(std::move(request));
        }
    };
    std::shared_ptr<std::atomic<bool>> closing_ = std::make_shared<std::atomic<bool>>(false);
    Pistache::Http::Endpoint endpoint_;
};

}  // namespace calicostall
