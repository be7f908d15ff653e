// The runs that may be active on the worker, by what its answers to starts and to status queries prove.
#pragma once
#include "agent/worker_messages.hpp"
#include "common.hpp"

namespace calicostall {

// One attempt of a task; the worker names its runs by both.
struct RunKey {
    std::string task;
    std::uint32_t run = 0;
    auto operator<=>(const RunKey&) const = default;
};

// An answer speaks for the time at which its call was sent: a status query that was sent before a start was answered
// tells nothing of that run, however late its own answer comes. Answered starts and sent queries are numbered in one
// sequence for this. Pure; not thread-safe: the agent's mutex protects it.
// Example: const std::uint64_t query = runs.begin_query();
//          runs.on_started({task, 1});                // answered while the query is under way
//          runs.on_status(query, status_without_it);  // the run still counts as active
class ActiveRuns {
public:
    // The worker has answered that it has this run.
    void on_started(const RunKey& run) { runs_[run] = ++last_event_; }
    // A status query is sent now.
    // @return its number, for `on_status`
    std::uint64_t begin_query() { return ++last_event_; }
    // The worker's complete answer to the query with this number.
    void on_status(std::uint64_t query, const WorkerStatus& status);
    // Another incarnation of the worker: it runs nothing yet.
    void clear() { runs_.clear(); }

    bool empty() const { return runs_.empty(); }
    bool contains(const RunKey& run) const { return runs_.contains(run); }

private:
    std::uint64_t last_event_ = 0;
    std::map<RunKey, std::uint64_t> runs_;  // -> the newest event that showed it active
};

}  // namespace calicostall
