// What the role `control` may be configured with.
#pragma once
#include "common.hpp"
#include "control/detector/detector.hpp"
#include "control/detector/suspicion.hpp"
#include "control/jobs/settings.hpp"
#include "control/membership/core_keeper.hpp"
#include "control/store/owner.hpp"
#include "preview/record_view.hpp"
#include "shared/news/pace.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

// All times are microseconds.
struct ControlSettings {
    Settings machine;
    DetectorSettings detector;
    OwnerSettings owner;
    SchedulerSettings scheduler;
    SuspicionSettings suspicion;

    // Until the answer to a store message counts as lost.
    Micros write_timeout = milliseconds(700);
    // How long a side's poll may wait for news, and how long a poll that is relayed to the owner may take beyond that.
    Micros side_poll_timeout = seconds(1);
    Micros side_relay_slack = milliseconds(600);
    // Until the answer to a call that is relayed to the owner counts as lost.
    Micros call_relay_timeout = milliseconds(900);
    // The longest that one asker of news may wait.
    Micros news_wait_max = seconds(30);
    PaceSettings side_pause;

    // An acting owner confirms its term with a majority at least so often, with and without anything running.
    Micros probe_interval_busy = milliseconds(300), probe_interval_idle = milliseconds(800);
    Micros probe_interval_min = milliseconds(150);
    // After a start a daemon is silent until it is level with the present owner, but no longer than this.
    Micros catch_up_timeout = milliseconds(1200);
    // Without a majority for so long a daemon suspects itself.
    Micros isolation_timeout = milliseconds(1000);
    // A disk that has kept a change waiting for so long makes its daemon suspect itself.
    Micros disk_stall_timeout = milliseconds(600);
    // Between two attempts to become owner.
    Micros takeover_interval = milliseconds(150);
    // Between announcing a planned stop and ending.
    Micros leave_pause = milliseconds(400);

    CoreKeeperSettings membership;
    // Between two requests to join.
    Micros join_interval = milliseconds(400);

    // A turn's rounds end after this time; what is left waits for the next turn. Between two turns the daemon pauses
    // for as long as the last turn took, at most `turn_pause_max`.
    Micros turn_duration_max = milliseconds(20), turn_pause_max = milliseconds(8);
    size_t turn_rounds_max = 8;
    Micros counters_interval = seconds(5);

    // Whether a preview may read a snapshot of the record.
    bool preview_reads = false;
    SnapshotLimits snapshot;
    // Whether what is accepted, starts and ends goes to the log.
    bool run_lines = false;
    // How often the owner writes a snapshot to its log, for trials; 0: never.
    Micros snapshot_lines = 0;
};

}  // namespace calicostall
