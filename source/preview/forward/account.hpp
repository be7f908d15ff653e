// The account of outcomes: writes into the outlook what becomes of the tasks, runs and copies of a forward simulation.
#pragma once
#include "preview/forward/state.hpp"

namespace calicostall {

// Example: account.list_all(); ... account.landed(id); ... account.finish();
class ForwardAccount {
public:
    explicit ForwardAccount(ForwardState& state) : state_(state) {}

    // Tasks that wait: of all jobs, of one time of a job, one. `why` says why one doesn't start at once; an empty one
    // is found out.
    void list_all();
    void list_time(std::uint32_t job, std::uint64_t number, const std::string& why);
    void list(const TaskKey& key, std::string why);
    // Why tasks wait, by the first plan.
    void waits(const TaskKey& key, Reason reason);

    // Runs: one that was there, one that begins, one whose end has moved, one that gives way.
    void was_running(ForwardRun& run, bool in_doubt);
    void landed(ForwardRun& run);
    void end_moved(const ForwardRun& run);
    void pushed_aside(const ForwardRun& run, Micros kept, const std::string& by);
    // A task with more than one run, or that is done and runs again.
    void twice(const TaskKey& key, Micros at, bool allowed);

    // Gives a reason to whatever waits without one, and the tasks their order.
    void finish();

private:
    void list_step(const TaskKey& first, const std::string& why);

    ForwardState& state_;
};

}  // namespace calicostall
