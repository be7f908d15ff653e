// The tunables of the role `side` (the node agent); the machine's part comes from the settings file.
#pragma once
#include "agent/response_timeout.hpp"
#include "common.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

// All durations are in microseconds of the monotonic clock.
struct AgentSettings {
    Settings machine;
    Micros poll_timeout = milliseconds(1700);       // of a poll at the leader
    ResponseTimeout::Settings response_timeout;     // of a start, a stop or a short status query at the worker
    Micros status_query_wait = milliseconds(700);   // how long the worker may delay its response until a run ends
    Micros status_query_slack = milliseconds(250);  // beyond that wait, until a status query has timed out
    // After a call without a response, status queries are short for a while: a lost one hides the ends that came
    // meanwhile.
    Micros lossy_duration = seconds(6);
    Micros lossy_status_query_wait = milliseconds(60);
    // The worker is unresponsive after this many consecutive failed status queries, over at least this time.
    size_t unresponsive_after_failures = 3;
    Micros unresponsive_after_time = milliseconds(1200);
    Micros end_batching_delay = milliseconds(15);         // between a reported end and the next status query
    Micros unacknowledged_end_delay = milliseconds(300);  // no query while the leader has not acknowledged an end
    // A start without a response is retried until it has had both this many attempts and this much time.
    size_t max_attempts = 4;
    Micros min_attempt_duration = seconds(1);
};

}  // namespace calicostall
