// What a preview forecasts: where pending tasks are placed, and what that costs. Plain data; all times are microseconds
// after the snapshot.
#pragma once
#include "common.hpp"

namespace calicostall {

// One task of one occurrence of a job of the snapshot.
struct TaskKey {
    std::uint32_t job_index = 0;  // in the snapshot's list of jobs
    std::uint64_t occurrence = 0;
    std::uint32_t step = 0, task_index = 0;
    auto operator<=>(const TaskKey&) const = default;
};

// What becomes of a pending task. The texts are those of the published JSON.
enum class PlacementOutcome { placed, pending, infeasible };
constexpr const char* placement_outcome_text(PlacementOutcome outcome) {
    constexpr std::array<const char*, 3> texts{"lands", "waits", "nowhere"};
    return texts[size_t(outcome)];
}

// A task that was pending at the time of the snapshot or became pending later.
struct TaskForecast {
    TaskKey key;
    PlacementOutcome outcome = PlacementOutcome::pending;
    bool is_copy = false;      // a second run of a task that may run twice
    std::string worker;        // the ID of the worker it is placed on
    Micros starts_after = -1;  // -1: not within the horizon
    Micros ends_after = -1;    // its expected end; -1: not within the horizon, or unknown
    std::string reason;        // why it does not start at once, or why it is infeasible
};

// A run that reserves resources at the time of the snapshot.
struct RunForecast {
    TaskKey key;
    std::string worker;
    Micros ends_after = -1;
    bool is_stopping = false, is_in_doubt = false;
};

// A run that is preempted, and what that costs.
struct Preemption {
    TaskKey key;
    std::string worker;
    Micros after = 0;
    bool was_running = false;      // it ran at the time of the snapshot
    std::string preempted_by;      // "JOB.OCCURRENCE.STEP" of the preempting work, or the reason its worker is lost
    double lost_core_seconds = 0;  // work that has to be done again
};

// A task with more than one run.
struct DuplicateRun {
    TaskKey key;
    std::vector<std::string> workers;
    Micros after = 0;
    bool is_allowed = false;  // a copy of a duplicate_ok step
};

// The forecast of one simulation.
struct PlacementForecast {
    std::vector<TaskForecast> tasks;
    std::vector<RunForecast> running;
    std::vector<Preemption> preemptions;
    std::vector<DuplicateRun> duplicate_runs;
    Micros horizon = 0;         // how far ahead it was simulated
    bool is_truncated = false;  // ended before the horizon: the limit of plans was reached
    size_t plan_count = 0;
    // Tasks that could run twice at once without being allowed to: anything but 0 is a fault of the planner.
    size_t alarm_count() const;
};

}  // namespace calicostall
