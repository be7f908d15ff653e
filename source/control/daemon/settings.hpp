// What the role `control` may be configured with.
#pragma once
#include "common.hpp"
#include "control/daemon/agent_poll_service.hpp"
#include "control/daemon/cluster_state_watch.hpp"
#include "control/daemon/iteration_scheduler.hpp"
#include "control/daemon/snapshot_service.hpp"
#include "control/detector/detector.hpp"
#include "control/detector/election.hpp"
#include "control/detector/self_suspicion.hpp"
#include "control/jobs/settings.hpp"
#include "control/membership/membership_manager.hpp"
#include "control/store/leader.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

// All times are microseconds.
struct ControlSettings {
    Settings machine;
    DetectorSettings detector;
    ElectionSettings election;
    LeaderSettings leader;
    SchedulerSettings scheduler;
    SelfSuspicionSettings suspicion;
    MembershipManagerSettings membership;
    AgentPollServiceSettings agents;
    ClusterStateWatchSettings watch;
    IterationSettings iterations;
    SnapshotServiceSettings snapshots;

    // Until the response to a store message counts as lost.
    Micros write_timeout = milliseconds(700);
    // Until the response to a call that is relayed to the leader counts as lost.
    Micros call_relay_timeout = milliseconds(900);
    // A daemon is in contact when a majority, or a leader that has one, was heard within this time.
    Micros contact_timeout = seconds(2);

    // A leader confirms its term with a majority at least so often, with and without anything running.
    Micros confirm_interval_busy = milliseconds(300), confirm_interval_idle = milliseconds(800);
    Micros min_confirm_interval = milliseconds(150);
    // A graceful shutdown: between two requests to the leader whether this daemon may stop, how long a response to one
    // is waited for, and between announcing the shutdown and ending.
    Micros shutdown_request_interval = milliseconds(50), shutdown_request_timeout = milliseconds(300);
    Micros shutdown_announcement_delay = milliseconds(400);
    // Between two requests to join.
    Micros join_interval = milliseconds(400);
    // Between two lines of counters in the log.
    Micros counters_interval = seconds(5);

    // Whether what is accepted, starts and ends goes to the log.
    bool logs_run_events = false;
};

}  // namespace calicostall
