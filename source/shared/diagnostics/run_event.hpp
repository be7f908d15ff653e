// What ran, as leaders write it to their logs under the component "run", one JSON object a line; and its reading.
#pragma once
#include "common.hpp"
#include "shared/diagnostics/finding.hpp"

namespace calicostall {

// One change: a job accepted or ended, a run started or ended, a worker that is over, a leader that begins.
struct RunEvent {
    enum class Kind { job_accepted, job_ended, run_started, run_ended, worker_ended, leadership_began };
    // The names in the log, by kind.
    static constexpr std::array<const char*, 6> kind_names{"accepted", "job_ended",   "start",
                                                           "end",      "worker_over", "owner"};

    Kind kind = Kind::run_started;
    Micros wall_clock = 0;
    std::string task;       // "ID.TIME.STEP.INDEX"; of a job: its ID
    std::string worker_id;  // the worker's incarnation
    std::string queue;      // "HOST|PREFIX"
    std::string outcome;    // how a run or a job ended; of a leader: its term
    std::uint32_t run = 0;
    std::string job_summary = {};  // of an accepted job: what it requests, see `requested_work_text`; not read back

    // Example:
    // {"event":"start","wall_us":1764645600000000,"task":"5c0e7a21d94b36f8.0.1.17","run":1,"worker":"i-3","queue":"a.example|/q/"}
    std::string to_json() const;
};

// Adds the events of one daemon's log. Other lines are passed over; a broken one is a finding at "NAME:LINE".
// Example: Findings findings; std::vector<RunEvent> events; parse_run_events(text, "control-1.log", events, findings);
void parse_run_events(std::string_view text, const std::string& name, std::vector<RunEvent>& events,
                      Findings& findings);

}  // namespace calicostall
