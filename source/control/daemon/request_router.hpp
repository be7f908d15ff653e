// Requests by path. Owns the table of paths; what is done with a request is its handler's matter.
#pragma once
#include "common.hpp"
#include "shared/http/listener.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

// Example: RequestRouter router;
//          router.add<JoinRequest>("/inner/join", [this](JoinRequest request, Responder responder) { ... });
//          router.route(std::move(request));
class RequestRouter {
public:
    using Handler = std::function<void(Request)>;
    template <class Frame>
    using FrameHandler = std::function<void(Frame, Responder)>;

    // Requests for exactly this path go to `handler`.
    void add(std::string path, Handler handler) { handlers_[std::move(path)] = std::move(handler); }

    // The same for requests whose body is a frame; other bodies are answered 400 and counted.
    template <class Frame>
    void add(std::string path, FrameHandler<Frame> handler) {
        add(std::move(path), Handler([handler = std::move(handler)](Request request) {
                auto frame = decode<Frame>(request.body);
                if (!frame) return reject_frame(request.responder);
                handler(std::move(*frame), std::move(request.responder));
            }));
    }

    // Requests for other paths are answered 404.
    void route(Request request) const;

private:
    static void reject_frame(Responder& responder);

    std::unordered_map<std::string, Handler> handlers_;
};

// A callback that sends a frame as the response; it may be called from any thread.
template <class Frame>
std::function<void(Frame)> respond_with(Responder responder) {
    auto shared_responder = std::make_shared<Responder>(std::move(responder));
    return [shared_responder](Frame frame) { shared_responder->send(Response::cbor(encode(frame))); };
}

}  // namespace calicostall
