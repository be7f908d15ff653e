// The node agents' polls at this daemon: what agents report goes to the scheduler, its orders go back; at a daemon that
// doesn't lead the polls are relayed. Owns the polls that wait, the known worker infos, and when responses are due.
#pragma once
#include "common.hpp"
#include "control/clock/quorum_clock.hpp"
#include "control/daemon/agent_polls.hpp"
#include "control/daemon/leadership.hpp"
#include "control/daemon/record_ledger.hpp"
#include "control/daemon/worker_info_cache.hpp"
#include "shared/discovery/poll_pacer.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/wire/agent_poll_messages.hpp"

namespace calicostall {

// All times are microseconds.
struct AgentPollServiceSettings {
    // How long a poll may wait for orders, and how long a poll that is relayed to the leader may take beyond that.
    Micros poll_timeout = seconds(1);
    Micros relay_slack = milliseconds(600);
    PollBackoffSettings backoff;
};

// All functions are to be called under the daemon's mutex.
// Example: agents.on_poll(std::move(request), std::move(responder), now); ... agents.respond(now, lateness);
class AgentPollService {
public:
    AgentPollService(AgentPollServiceSettings settings, EventLoop& loop, Scheduler<RecordLedger>& scheduler,
                     const Leader& leader, const Leadership& leadership, QuorumClock& clock);

    // Takes in what the agent reports; its poll waits for a response, or is relayed, or is turned away.
    void on_poll(AgentPollRequest request, Responder responder, Micros now);
    // Responds to those for whom there is something, and to those whose time is up. `timer_lateness`: how late this
    // daemon's own timers are; agents are told to poll less often when it is high.
    void respond(Micros now, Micros timer_lateness);
    // When responses are due that `respond` has put off; nothing when it hasn't.
    std::optional<Micros> next_due_at() const;
    // Turns all polls away: this daemon ends.
    void release_all();

private:
    void relay(AgentPollRequest request, const std::string& leader, Responder responder);
    void respond_to(AgentPoll& poll, Micros backoff, Micros now);

    AgentPollServiceSettings settings_;
    EventLoop& loop_;
    Scheduler<RecordLedger>& scheduler_;
    const Leader& leader_;
    const Leadership& leadership_;
    QuorumClock& clock_;
    AgentPolls polls_;
    WorkerInfoCache worker_infos_;
    Micros responses_due_at_ = 0;
    bool has_put_off_ = false;  // responses wait until that time
};

}  // namespace calicostall
