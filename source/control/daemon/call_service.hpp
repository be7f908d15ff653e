// Calls of operators and clients. A serving leader carries them out by its scheduler; another daemon relays them to the
// leader, or sends a reader there. Owns the operators' calls that are pending at this daemon.
#pragma once
#include "common.hpp"
#include "control/clock/quorum_clock.hpp"
#include "control/daemon/iteration_scheduler.hpp"
#include "control/daemon/leadership.hpp"
#include "control/daemon/membership_tracker.hpp"
#include "control/daemon/record_ledger.hpp"
#include "control/jobs/calls/pending_calls.hpp"
#include "shared/http/listener.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

// All functions are to be called under the daemon's mutex; callbacks may come from any thread.
// Example: calls.on_operator_request(std::move(request)); ... calls.dispatch(now);
class CallService {
public:
    using CallCallback = std::function<void(CallResponse)>;

    // What a call depends on; all of it outlives the service.
    struct Context {
        EventLoop& loop;
        std::recursive_mutex& mutex;
        Scheduler<RecordLedger>& scheduler;
        const Leader& leader;
        const Leadership& leadership;
        const MembershipTracker& membership;
        const QuorumClock& clock;
        Election& election;
        IterationScheduler& iterations;
        const Settings& machine;
        std::function<bool(Micros now)> is_in_contact;  // whether this daemon is in contact with the majority
    };

    // `relay_timeout`, in microseconds: until the response to a call that is relayed to the leader counts as lost.
    CallService(Context context, Micros relay_timeout);

    // An operator's PUT or GET of the configuration at this daemon; it gets its response in any case.
    void on_operator_request(Request request, Micros now);
    // Sends the operators' pending calls to wherever they can be served now, and responds to those whose time is up.
    void dispatch(Micros now);
    // When `dispatch` has something to do by time alone.
    std::optional<Micros> next_due_at() const { return pending_calls_.next_due_at(); }

    // A call, of an operator or a client, that came from another process: carries it out or relays it once.
    void on_call(const CallRequest& request, CallCallback respond);

    // This daemon ends: from now on pending calls are turned away instead of being dispatched.
    void begin_shutdown() { is_shutting_down_ = true; }
    void release_all() { pending_calls_.expire_all(); }

private:
    void send_attempt(PendingCalls::Attempt& attempt);
    void execute(const CallRequest& request, Micros now, CallCallback respond);
    void relay(CallRequest request, const std::string& leader, Micros timeout, CallCallback respond);
    // `base`: the version that a change builds on; empty for a read.
    void log_operator_call(std::string_view call, const std::string& base, const Response& response,
                           Micros requested_at) const;

    Context context_;
    Micros relay_timeout_;
    PendingCalls pending_calls_;
    bool is_shutting_down_ = false;
};

}  // namespace calicostall
