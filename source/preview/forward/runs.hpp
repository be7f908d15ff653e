// The runs of a forward simulation: how they begin, end, and give way.
#pragma once
#include "preview/forward/account.hpp"
#include "preview/forward/state.hpp"
#include "preview/forward/waiting.hpp"

namespace calicostall {

// Example: std::uint64_t id = runs.begin(run); ... runs.done(id);
class ForwardRuns {
public:
    ForwardRuns(ForwardState& state, ForwardAccount& account, ForwardWaiting& waiting)
        : state_(state), account_(account), waiting_(waiting) {}

    // Takes its room and schedules its end. Returns its ID.
    std::uint64_t begin(ForwardRun run);
    // It goes on until it is heard of, but nobody can say until when.
    void forget_end(std::uint64_t id);
    void set_end(std::uint64_t id, Micros at, bool stopping);
    // The members of a gang end together, when the slowest does. Gang 0 is none.
    void same_end_of_gang(std::uint64_t gang);

    // Its work is done, with that of its gang; copies are stopped.
    void done(std::uint64_t id);
    // A stop was carried out, or nothing can run there any more: the task waits again.
    void over(std::uint64_t id);

    // Notes that a run gives way. `by`: what it makes room for, or what takes its worker away.
    void push_aside(std::uint64_t id, const std::string& by);
    // The same, and tells it to stop.
    void stop(std::uint64_t id, const std::string& by);

private:
    PlanRun plan_run(std::uint64_t id, const ForwardRun& run) const;
    void remove(std::uint64_t id);

    ForwardState& state_;
    ForwardAccount& account_;
    ForwardWaiting& waiting_;
};

}  // namespace calicostall
