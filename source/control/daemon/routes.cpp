// Requests by path: frames of other daemons and agents on the replica's port, operators' calls on the control port.
#include "control/daemon/control_daemon.hpp"

namespace calicostall {

void ControlDaemon::add_internal_routes() {
    add_store_routes();
    add_membership_routes();
    add_discovery_routes();
    add_cluster_state_routes();
    internal_router_.add<CallRequest>("/inner/call", [this](const CallRequest& request, Responder responder) {
        std::lock_guard guard(mutex_);
        calls_.on_call(request, respond_with<CallResponse>(std::move(responder)));
        iterations_.request();
    });
    internal_router_.add<AgentPollRequest>("/inner/side", [this](AgentPollRequest request, Responder responder) {
        std::lock_guard guard(mutex_);
        const Micros now = steady_now();
        election_.record_activity(now);
        agents_.on_poll(std::move(request), std::move(responder), now);
        iterations_.request();
    });
    internal_router_.add(
        preview_path, [this](Request request) { request.responder.send(snapshots_.respond(mutex_, request.method)); });
}

void ControlDaemon::add_store_routes() {
    internal_router_.add<WriteRequest>("/inner/write", [this](const WriteRequest& request, Responder responder) {
        std::lock_guard guard(mutex_);
        on_write_request(request, respond_with<WriteResponse>(std::move(responder)));
        iterations_.run_if_requested();
    });
    internal_router_.add<PrepareRequest>("/inner/prepare", [this](const PrepareRequest& request, Responder responder) {
        std::lock_guard guard(mutex_);
        on_prepare_request(request, respond_with<PrepareResponse>(std::move(responder)));
        iterations_.run();
    });
}

void ControlDaemon::add_membership_routes() {
    internal_router_.add<LeaderHeartbeat>("/inner/alive", [this](LeaderHeartbeat heartbeat, Responder responder) {
        {
            std::lock_guard guard(mutex_);
            on_heartbeat(heartbeat, steady_now());
        }
        responder.send(Response::plain(200));
    });
    internal_router_.add<GracefulShutdownRequest>(
        "/inner/leave", [this](GracefulShutdownRequest request, Responder responder) {
            responder.send(Response::cbor(encode(shutdown_response(request))));
        });
    internal_router_.add<JoinRequest>("/inner/join", [this](const JoinRequest& request, Responder responder) {
        responder.send(Response::cbor(encode(JoinResponse{true})));
        std::lock_guard guard(mutex_);
        on_join_request(request);
        iterations_.run_if_requested();
    });
    internal_router_.add<BootstrapRequest>(
        "/inner/found", [this](const BootstrapRequest& request, Responder responder) {
            std::lock_guard guard(mutex_);
            bootstrap_.on_request(request, respond_with<BootstrapResponse>(std::move(responder)));
            iterations_.run();
        });
}

void ControlDaemon::add_cluster_state_routes() {
    internal_router_.add<WatchRequest>("/inner/news", [this](const WatchRequest& request, Responder responder) {
        std::lock_guard guard(mutex_);
        const Micros now = steady_now();
        watch_.add(std::move(responder), request, now);
        respond_to_watches(now);
    });
    internal_router_.add<ConfigTextRequest>("/inner/config", [this](ConfigTextRequest request, Responder responder) {
        responder.send(Response::cbor(encode(config_text_response(request))));
    });
}

void ControlDaemon::add_operator_routes() {
    operator_router_.add("/config", [this](Request request) { on_operator_request(std::move(request)); });
}

void ControlDaemon::on_operator_request(Request request) {
    if (request.method != "PUT" && request.method != "GET") return request.responder.send(Response::plain(405));
    std::lock_guard guard(mutex_);
    const Micros now = steady_now();
    election_.record_activity(now);
    // Before what the iterations do for everybody else.
    calls_.on_operator_request(std::move(request), now);
    iterations_.run();
}

}  // namespace calicostall
