#include "control/daemon/cluster_state_watch.hpp"

namespace calicostall {

void ClusterStateWatch::add(Responder responder, const WatchRequest& request, Micros now) {
    const Micros expires_at = now + std::min(request.max_wait, settings_.max_wait);
    pending_.push_back({std::move(responder), request, now, expires_at});
    next_due_at_ = 0;
}

void ClusterStateWatch::respond(const ClusterState& state, const ResponseFactory& make_response, Micros now) {
    if (state == last_state_ && now < next_due_at_) return;
    last_state_ = state;
    next_due_at_ = std::numeric_limits<Micros>::max();
    std::optional<std::string> response;
    for (auto watch = pending_.begin(); watch != pending_.end();) {
        if (!is_due(*watch, state, now)) {
            next_due_at_ = std::min(next_due_at_, state.is_in_contact ? watch->expires_at : now);
            ++watch;
            continue;
        }
        if (!response) response = encode(make_response());
        watch->responder.send(Response::cbor(*response));
        watch = pending_.erase(watch);
    }
}

bool ClusterStateWatch::is_due(const PendingWatch& watch, const ClusterState& state, Micros now) const {
    const WatchRequest& request = watch.request;
    const bool has_newer_state = state.term > request.term || state.config_revision > request.config_revision ||
                                 state.membership_version > request.membership_version;
    const bool contact_wait_is_over =
        !state.is_in_contact && now >= watch.received_at + settings_.max_wait_without_contact;
    return has_newer_state || contact_wait_is_over || now >= watch.expires_at;
}

void ClusterStateWatch::expire_all() {
    for (PendingWatch& watch : pending_)
        watch.expires_at = 0;
    next_due_at_ = 0;
}

}  // namespace calicostall
