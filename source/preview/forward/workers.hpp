// The workers of a forward simulation: how they come, are judged, drain and leave.
#pragma once
#include "preview/forward/runs.hpp"
#include "preview/forward/state.hpp"

namespace calicostall {

// Example: size_t worker = workers.add(said); ... workers.leave(worker);
class ForwardWorkers {
public:
    ForwardWorkers(ForwardState& state, ForwardRuns& runs) : state_(state), runs_(runs) {}

    void add(const SnapshotWorker& said);
    // Tells the fleet whether the worker takes starts now, and how it is thought of.
    void judge(size_t worker);
    void drain(size_t worker);
    // It goes without another word: its runs are in doubt until its hold has surely lapsed.
    void leave(size_t worker);
    // What ran there is over. A worker that has left is forgotten.
    void lapse(size_t worker);
    // Runs that cannot end before their worker leaves are moved off, as the daemons do.
    void move_off(size_t worker, Micros leaves);

private:
    PlanWorker plan_worker(const SnapshotWorker& said);

    ForwardState& state_;
    ForwardRuns& runs_;
};

}  // namespace calicostall
