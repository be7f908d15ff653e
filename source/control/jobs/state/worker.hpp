// What the owner knows of one worker and of what takes room there.
#pragma once
#include "common.hpp"
#include "control/jobs/job.hpp"
#include "control/plan/sense.hpp"
#include "control/plan/view.hpp"
#include "shared/wire/frames.hpp"

namespace calicostall {

enum class RunState { intended, ordered, running, stopping };

// A run that takes room on a worker.
struct RunEntry {
    RunName name;
    std::int64_t cpu = 0, memory = 0, gpu = 0;
    RunState state = RunState::intended;
    bool stop_wanted = false;
    Micros since = 0, ordered_at = 0;
    Micros estimate = 0;
    std::string saved;
    std::int64_t percent = 0;
    std::uint64_t missing = 0;  // reports in a row that did not show it
    std::int64_t priority = 0;
    bool remote = false;       // away from its data
    Micros moved_at = 0;       // when its percent was last seen to rise
    Micros shown_at = 0;       // when a report last showed it
    std::uint64_t shown = 0;   // reports since its percent last rose
    bool doubled = false;      // a copy may run beside it
    bool judged = false;       // it has counted against its worker's pace
    std::uint64_t serial = 0;  // its number for the planner
    bool backfill = false;     // started into a gap before a reservation
};

struct WorkerEntry {
    WorkerAccount account;
    std::string node;
    std::uint64_t incarnation = 0;
    bool placeholder = false;  // known from the record only
    bool reconciled = false;   // it has reported under this owner's fence
    Micros heard_at = 0;
    Micros lapses_at = 0;  // its hold has surely lapsed after this
    Micros avoided_until = 0;
    Micros watched_at = 0;  // when it is looked at next for a lapse
    Micros leaves_at = -1;
    std::uint64_t noted = 0, seen = 0;
    std::map<std::uint64_t, bool> ends;  // numbers noted and whether they are committed
    std::map<RunName, RunEntry> runs;
    std::deque<Order> orders;
    bool look = true;
    Pace pace;
    Micros paced_at = 0;     // when its pace was last drawn back to the usual
    std::uint64_t era = 1;   // rises with each lapse: orders of an earlier era are void
    bool measurable = true;  // its last report came without a gap before it
    bool silent = false;     // its side gets no answer from it
    std::int64_t cpu_used = 0, memory_used = 0, gpu_used = 0;
    Resources free;           // kept up with each change
    bool counted = false;     // its account counts for its service
    std::uint32_t place = 0;  // in the planner's fleet, once it is there
};

}  // namespace calicostall
