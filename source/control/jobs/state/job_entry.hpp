// A job as the owner keeps it: the record's part and what is counted from it.
#pragma once
#include "common.hpp"
#include "control/jobs/job.hpp"
#include "control/jobs/state/worker.hpp"
#include "control/plan/waiting.hpp"

namespace calicostall {

// One step at one time: its tasks counted, so that nobody walks them.
struct StepProgress {
    std::set<std::uint32_t> waiting;  // not done and placed nowhere
    std::set<std::uint32_t> copies;   // placed once, and to get a copy elsewhere
    std::vector<std::uint8_t> bits;   // what was counted of each task
    std::uint32_t unfinished = 0, placed = 0;
    Micros idle_since = 0;  // of a lasting step: since when any of its tasks waits (steady); 0: none does
    bool turn_come = false;
    bool listed = false;                          // stands in the order of what is ready
    std::int64_t counted = 0, counted_ready = 0;  // waiting tasks that the backlog holds
    double cpu_each = 0, memory_each = 0;         // work of one task: thousandths of a core, MB, each times seconds
};

struct JobEntry {
    Job job;
    Micros moved_at = 0;     // when a run of it was last moved
    bool committed = false;  // a majority has it; only then anything starts
    bool dirty = false;
    std::vector<std::function<void()>> after;                        // run once the present change is committed
    std::map<std::uint32_t, std::pair<Micros, std::uint32_t>> took;  // step -> durations seen, in all and how many

    bool open = false;  // counted among the open jobs
    bool turn = false;  // a large job whose turn it is to go before its like
    Micros idle_since =
        0;  // since when a step's turn has come while nothing of the job runs; 0: not so, or not seen yet
    Hope hope = Hope::aim;
    std::int64_t priority = 0;
    Standing standing;                                            // by the wall clock
    std::map<std::uint64_t, std::vector<StepProgress>> progress;  // by number of the time
    std::map<RunName, WorkerEntry*> runs;                         // what takes room for it, and where
    std::map<std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>, std::set<std::string>>
        failed_on;  // task -> machines
    std::string queue() const { return job.fixed.host + "|" + job.fixed.prefix; }
};

}  // namespace calicostall
