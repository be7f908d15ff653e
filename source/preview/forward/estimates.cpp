#include "preview/forward/estimates.hpp"

namespace calicostall {

namespace {

struct OpenTime {
    std::uint64_t number = 0;
    const std::vector<ForwardStep>* steps = nullptr;  // none: the job has had no time yet
};

// The first time that isn't done, else the last.
OpenTime first_open_time(const ForwardJob& job) {
    OpenTime first;
    for (const auto& [number, steps] : job.times) {
        first = {number, &steps};
        if (std::any_of(steps.begin(), steps.end(), [](const ForwardStep& step) { return step.open > 0; })) break;
    }
    return first;
}

// The longest chain, given what each step adds to it: `left(step)`.
template <class Left>
Micros longest_chain_of(const SnapshotJob& job, Left left) {
    std::vector<Micros> until(job.steps.size());
    Micros longest = 0;
    for (size_t step = 0; step < until.size(); ++step) {
        Micros before = 0;
        for (std::uint32_t earlier : job.steps[step].wanted.depends)
            before = std::max(before, until[earlier]);
        until[step] = before + left(step);
        longest = std::max(longest, until[step]);
    }
    return longest;
}

}  // namespace

Micros expected_duration(const ForwardState& state, const ForwardJob& job, std::uint32_t step, size_t worker) {
    const SnapshotStep& wanted = job.job->steps[step];
    const SnapshotWorker& said = state.workers[worker].said;
    double slowdown = double(said.pace_thousandths) / 1000;
    double length = double(wanted.expected) * (slowdown > state.planner.slow_pace ? slowdown : 1);
    const std::string& affinity = wanted.wanted.affinity;
    if (!affinity.empty() && std::find(said.labels.begin(), said.labels.end(), affinity) == said.labels.end())
        length *= state.planner.remote_factor;
    return std::max<Micros>(1, Micros(length));
}

Standing standing_of(const ForwardJob& job, std::uint32_t step) {
    const SnapshotJob& of = *job.job;
    OpenTime first = first_open_time(job);
    Standing standing;
    standing.rest = longest_chain_of(of, [&](size_t each) {
        bool over = first.steps && (*first.steps)[each].open == 0;
        return over ? Micros(0) : of.steps[each].expected;
    });
    standing.level = job.level;
    standing.begun = of.repeats ? of.first_at + Micros(first.number) * of.interval : of.accepted_wall;
    standing.due = standing.begun + job.aim;
    standing.lasting = of.steps[step].wanted.long_running;
    return standing;
}

Micros longest_chain(const SnapshotJob& job) {
    return longest_chain_of(job, [&](size_t step) { return job.steps[step].expected; });
}

}  // namespace calicostall
