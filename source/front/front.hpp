// The role `front`: takes clients' calls and passes each to the leader.
#pragma once
#include "common.hpp"
#include "front/forwarded_call.hpp"
#include "shared/discovery/leader_locator.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/http/listener.hpp"
#include "shared/http/slab.hpp"
#include "shared/settings/config.hpp"
#include "shared/settings/settings.hpp"
#include "shared/wire/call_messages.hpp"

namespace calicostall {

// The tunables of the role `front`; durations are in microseconds.
struct FrontSettings {
    Settings machine;
    Micros attempt_timeout = milliseconds(900);
    Micros max_call_timeout = milliseconds(1800);  // for one call, all attempts together
    Micros retry_interval = milliseconds(60);
    size_t max_pending_calls = 2000;
};

// One process of the role `front`. A pending call is sent to the leader until one response is final, or its time is up.
// Thread-safe: clients' calls come from the listener's thread, responses and timers from the loop's. It must live as
// long as the loop.
class Front {
public:
    Front(FrontSettings settings, EventLoop& loop);
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    // Opens the addresses for clients and for readiness, as far as the settings name them, and looks for the leader.
    // Returns a finding for each address that can't be opened.
    Findings open();
    // Whether clients may be sent here: with a configuration, in contact with the cluster and not draining.
    bool is_ready() const;
    // Drains: no new clients are sent here, those that are here are served to the end. When the time for that is up,
    // pending calls get their final responses, and whatever comes after that is rejected at once; then `on_drained` is
    // called.
    void begin_graceful_shutdown(const std::function<void()>& on_drained);
    // Takes over what may change while the front runs: the seeds.
    void apply_settings(const Settings& machine) { leader_locator_.add_seeds(machine.seed_replicas()); }

private:
    using Handle = Slab<ForwardedCall>::Handle;

    void handle_request(Request request);
    // Why a call is not accepted; nothing when it is.
    std::optional<Response> rejection_of(const Request& request) const;
    // How long the client of a call waits for its response, in microseconds.
    Micros call_timeout(const Request& request) const;
    void send_call(Handle handle);
    void on_call_response(Handle handle, const ClientResponse& http_response);
    // Whether the call is to be sent again after a pause; fails it when there is no time for that.
    bool prepare_retry(Handle handle, ForwardedCall& call, bool has_response);
    // Ends a call without a final response of the leader.
    void fail_call(Handle handle);
    void fail_all_calls();

    void on_cluster_state_change();
    // Sends what waits at an earlier leader to the new one; one job ID stays one job.
    void resend_pending_calls();
    void check_drain(const std::function<void()>& on_drained);

    FrontSettings settings_;
    EventLoop& loop_;
    std::recursive_mutex mutex_;  // protects all below but the locator, which has its own
    Config config_;
    std::uint64_t config_revision_ = 0;  // the newest text that was read
    Slab<ForwardedCall> pending_calls_;
    Term term_;
    LeaderLocator leader_locator_;
    std::unique_ptr<Listener> client_listener_;
    std::unique_ptr<Listener> readiness_listener_;
    std::atomic<bool> is_draining_{false};
    Micros last_call_at_ = 0;
    std::optional<Micros> drain_deadline_;  // no call is pending longer than this
    bool is_rejecting_calls_ = false;
};

}  // namespace calicostall
