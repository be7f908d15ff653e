// What the role `control` may be configured with.
#pragma once
#include "common.hpp"
#include "control/daemon/turn_pace.hpp"
#include "control/detector/detector.hpp"
#include "control/detector/election.hpp"
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
    ElectionSettings election;
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
    // A daemon is in contact when a majority, or an owner that has one, was heard within this time.
    Micros contact_timeout = seconds(2);
    // Without contact a poll for news is kept only so long: its asker then goes to another daemon.
    Micros news_wait_without_contact = milliseconds(500);
    PaceSettings side_pause;

    // An acting owner confirms its term with a majority at least so often, with and without anything running.
    Micros probe_interval_busy = milliseconds(300), probe_interval_idle = milliseconds(800);
    Micros probe_interval_min = milliseconds(150);
    // A planned stop: between two requests to the owner whether this daemon may go, how long an answer to one is waited
    // for, and between announcing the stop and ending.
    Micros leave_interval = milliseconds(50), leave_request_timeout = milliseconds(300);
    Micros leave_pause = milliseconds(400);

    CoreKeeperSettings membership;
    // Between two requests to join.
    Micros join_interval = milliseconds(400);

    // A turn's rounds end after this time; what is left waits for the next turn.
    Micros turn_duration_max = milliseconds(20);
    TurnPaceSettings turn_pace;
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
