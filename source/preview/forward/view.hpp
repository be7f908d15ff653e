// The view from a snapshot: fills the state of a forward simulation with what the owner knew at that moment, and
// schedules what is known to come.
#pragma once
#include "preview/forward/account.hpp"
#include "preview/forward/runs.hpp"
#include "preview/forward/state.hpp"
#include "preview/forward/workers.hpp"

namespace calicostall {

// Example: ForwardView(state, account, runs, workers).take();
class ForwardView {
public:
    ForwardView(ForwardState& state, ForwardAccount& account, ForwardRuns& runs, ForwardWorkers& workers)
        : state_(state), account_(account), runs_(runs), workers_(workers) {}

    void take();

private:
    struct RecordedGang {
        std::uint32_t job = 0;
        std::uint64_t time = 0;
        std::uint32_t step = 0, run = 0;
        auto operator<=>(const RecordedGang&) const = default;
    };

    void take_config();
    void take_jobs();
    void take_job(std::uint32_t place);
    void take_workers();
    void take_departure(size_t worker);
    void take_run(size_t worker, const SnapshotRun& said);
    // What only a run of a known job has: its gang, its end, its copy.
    void describe_run(ForwardRun& run, const SnapshotRun& said);
    Micros end_of(const ForwardRun& run, const SnapshotRun& said) const;
    void note_twice();
    void take_changes();
    // Runs of a gang belong together by their task and run number.
    std::uint64_t gang_of(const TaskKey& key, std::uint32_t run);

    ForwardState& state_;
    ForwardAccount& account_;
    ForwardRuns& runs_;
    ForwardWorkers& workers_;
    std::map<RecordedGang, std::uint64_t> gangs_;
};

// Schedules the next time of a job that repeats, if there is one.
void schedule_next_time(ForwardState& state, std::uint32_t job);

}  // namespace calicostall
