#include "control/daemon/request_router.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

void RequestRouter::route(Request request) const {
    auto found = handlers_.find(request.path);
    if (found == handlers_.end()) return request.responder.send(Response::plain(404));
    found->second(std::move(request));
}

void RequestRouter::reject_frame(Responder& responder) {
    counters().add("frames_refused");
    responder.send(Response::plain(400));
}

}  // namespace calicostall
