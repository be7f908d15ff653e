#include "preview/simulation/estimates.hpp"

namespace calicostall {

namespace {

struct OpenOccurrence {
    std::uint64_t number = 0;
    const std::vector<ProjectedStep>* steps = nullptr;  // nullptr: no occurrence has begun
};

// The first occurrence that isn't done, else the last.
OpenOccurrence first_open_occurrence(const ProjectedJob& job) {
    OpenOccurrence first;
    for (const auto& [number, steps] : job.occurrences) {
        first = {number, &steps};
        if (std::any_of(steps.begin(), steps.end(), [](const ProjectedStep& step) { return step.unfinished > 0; }))
            break;
    }
    return first;
}

// The longest chain of dependent steps, where a step takes duration_of(step).
template <class DurationOf>
Micros critical_path_of(const SnapshotJob& job, DurationOf duration_of) {
    std::vector<Micros> path_until(job.steps.size());
    Micros longest = 0;
    for (size_t step = 0; step < path_until.size(); ++step) {
        Micros before = 0;
        for (std::uint32_t earlier : job.steps[step].spec.dependencies)
            before = std::max(before, path_until[earlier]);
        path_until[step] = before + duration_of(step);
        longest = std::max(longest, path_until[step]);
    }
    return longest;
}

}  // namespace

Micros expected_duration(const SimulationState& state, const ProjectedJob& job, std::uint32_t step, size_t worker) {
    const SnapshotStep& snapshot_step = job.snapshot_job->steps[step];
    const SnapshotWorker& worker_snapshot = state.workers[worker].snapshot;
    double slowdown = double(worker_snapshot.slowdown_thousandths) / 1000;
    double duration =
        double(snapshot_step.expected_duration) * (slowdown > state.planner_settings.slow_threshold ? slowdown : 1);
    const std::string& affinity = snapshot_step.spec.affinity;
    if (!affinity.empty() && std::find(worker_snapshot.labels.begin(), worker_snapshot.labels.end(), affinity) ==
                                 worker_snapshot.labels.end())
        duration *= state.planner_settings.remote_factor;
    return std::max<Micros>(1, Micros(duration));
}

SchedulingPriority scheduling_priority_of(const ProjectedJob& job, std::uint32_t step) {
    const SnapshotJob& definition = *job.snapshot_job;
    OpenOccurrence first = first_open_occurrence(job);
    SchedulingPriority priority;
    priority.critical_path = critical_path_of(definition, [&](size_t each) {
        const bool is_done = first.steps && (*first.steps)[each].unfinished == 0;
        return is_done ? Micros(0) : definition.steps[each].expected_duration;
    });
    priority.level = job.priority;
    priority.submitted_at = definition.repeats ? definition.first_at + Micros(first.number) * definition.interval
                                               : definition.accepted_wall_clock;
    priority.deadline = priority.submitted_at + job.latency_target;
    priority.is_long_running = definition.steps[step].spec.long_running;
    return priority;
}

Micros critical_path(const SnapshotJob& job) {
    return critical_path_of(job, [&](size_t step) { return job.steps[step].expected_duration; });
}

}  // namespace calicostall
