// A planned stop: what this daemon holds is elsewhere before it ends, and the others hear of it.
#include "control/daemon/control_daemon.hpp"

namespace calicostall {

void ControlDaemon::begin_graceful_shutdown(std::function<void()> on_complete) {
    std::lock_guard guard(mutex_);
    if (graceful_shutdown_.is_shutting_down()) return;
    const Micros now = steady_now();
    log_line("control", "graceful shutdown started");
    on_shutdown_complete_ = std::move(on_complete);
    graceful_shutdown_.begin(now + settings_.election.shutdown_timeout);
    election_.begin_shutdown(now);
    if (!membership_.is_member()) graceful_shutdown_.on_leadership_transferred();
    iterations_.run();
    prepare_shutdown();
}

// Until it may stop: a leader hands over by its iterations, a follower asks the leader.
void ControlDaemon::prepare_shutdown() {
    std::lock_guard guard(mutex_);
    if (is_shutdown_announced_) return;
    if (graceful_shutdown_.is_due(steady_now())) return announce_shutdown();
    auto leader = leadership_.other_leader_address();
    if (!leader_.leading() && leader) return request_shutdown(*leader);
    loop_.run_after(settings_.shutdown_request_interval, [this] { prepare_shutdown(); });
}

void ControlDaemon::request_shutdown(const std::string& leader) {
    const GracefulShutdownRequest request{replica_.replica_id, graceful_shutdown_.term, graceful_shutdown_.sequence};
    loop_.send({.url = "http://" + leader + "/inner/leave",
                .body = encode(request),
                .timeout = settings_.shutdown_request_timeout},
               [this, phase = graceful_shutdown_.phase()](const ClientResponse& response) {
                   std::lock_guard guard(mutex_);
                   on_shutdown_response(
                       phase, response.is_ok() ? decode<GracefulShutdownResponse>(response.body) : std::nullopt);
               });
}

// `phase`: of the request; `response`: none when it had none.
void ControlDaemon::on_shutdown_response(GracefulShutdown::Phase phase,
                                         const std::optional<GracefulShutdownResponse>& response) {
    const bool is_caught_up = response && response->is_caught_up;
    if (response && graceful_shutdown_.phase() == phase) {
        graceful_shutdown_.term = response->term;
        graceful_shutdown_.sequence = response->sequence;
        graceful_shutdown_.on_response(is_caught_up);
    }
    if (is_caught_up) return prepare_shutdown();
    loop_.run_after(settings_.shutdown_request_interval, [this] { prepare_shutdown(); });
}

void ControlDaemon::announce_shutdown() {
    is_shutdown_announced_ = true;
    calls_.begin_shutdown();
    const bool is_complete = graceful_shutdown_.phase() == GracefulShutdown::Phase::complete;
    log_line("control", "graceful shutdown announced outcome={}", is_complete ? "replicated" : "timed_out");
    leader_.step_down();
    if (leadership_.has_begun()) end_leadership();
    for (size_t rank = 0; rank < membership_.membership().members.size(); ++rank)
        if (std::optional(rank) != membership_.rank()) send_heartbeat(rank, true);
    release_waiting_requests();
    loop_.run_after(settings_.shutdown_announcement_delay, std::move(on_shutdown_complete_));
}

void ControlDaemon::release_waiting_requests() {
    agents_.release_all();
    calls_.release_all();
    watch_.expire_all();
    respond_to_watches(steady_now());
}

GracefulShutdownResponse ControlDaemon::shutdown_response(const GracefulShutdownRequest& request) {
    std::lock_guard guard(mutex_);
    if (!leadership_.is_leading()) return {};
    return answer_graceful_shutdown(leader_, request);
}

}  // namespace calicostall
