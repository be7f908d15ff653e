// Goes through what is ready, most urgent first, as far as its budget goes, and says what starts where.
#pragma once
#include "control/jobs/planning/selection.hpp"
#include "control/jobs/state/state.hpp"

namespace calicostall {

class Planning {
public:
    explicit Planning(State& state) : state_(state) {}

    // `start` is called for each run that is to begin: start(entry, time, step, index, worker, first of its gang).
    // Returns whether everything ready was looked at; otherwise the next call goes on where this one stopped.
    template <class Start>
    bool plan(Micros now, Start start) {
        std::vector<Candidate> candidates;
        for (auto& [life, worker] : state_.workers) {
            if (!state_.usable(worker, now)) continue;
            double trust = state_.conducts.trust(worker.node, now);
            candidates.push_back({&worker, trust, trust < 0.4});
        }
        if (candidates.empty()) return true;
        for (auto& [service, load] : state_.loads) load.measure(now, state_.settings.urgent_memory);
        full_.clear();
        const std::uint64_t begun = state_.operations, budget = state_.settings.plan_budget;
        // Half of the budget goes to the most urgent, the other half on from where the last plan stopped.
        ReadyKey resumed_at;
        bool resumed = stopped_at_.has_value();
        if (resumed) resumed_at = *stopped_at_;
        auto stopped = walk(state_.ready.begin(), resumed ? &resumed_at : nullptr, begun + (resumed ? budget / 2 : budget), candidates, now, start);
        if (stopped && !resumed) return stopped_at_ = stopped, false;
        if (resumed) {
            stopped = walk(state_.ready.lower_bound(resumed_at), nullptr, state_.operations + budget / 2, candidates, now, start);
            if (stopped) return stopped_at_ = stopped, false;
        }
        stopped_at_.reset();
        return true;
    }
    void clear() { stopped_at_.reset(); }

private:
    using Place = std::set<ReadyKey>::iterator;

    template <class Start>
    std::optional<ReadyKey> walk(Place place, const ReadyKey* until, std::uint64_t most, std::vector<Candidate>& candidates, Micros now, Start& start) {
        while (place != state_.ready.end()) {
            ReadyKey key = *place;
            if (until && !(key < *until)) return std::nullopt;
            if (state_.operations >= most) return key;
            ++state_.operations;
            place_step(key, candidates, now, start);
            place = state_.ready.upper_bound(key);
        }
        return std::nullopt;
    }
    template <class Start>
    void place_step(const ReadyKey& key, std::vector<Candidate>& candidates, Micros now, Start& start) {
        JobEntry& entry = state_.jobs.at(key.job);
        Job& job = entry.job;
        Time* time = job.find_time(key.time);
        const StepProgress& progress = entry.progress.at(key.time)[key.step];
        const Step& wanted = job.fixed.spec.steps[key.step];
        if (wanted.gang && (progress.placed != 0 || progress.waiting.size() != progress.bits.size())) return;
        const std::string& service = state_.service_of(job);
        if (is_full(service, wanted)) return;
        Load& load = state_.loads[service];
        std::vector<std::uint32_t> tasks(progress.waiting.begin(), progress.waiting.end());
        tasks.insert(tasks.end(), progress.copies.begin(), progress.copies.end());
        const std::int64_t urgent = state_.least_priority();
        if (key.priority > urgent) {
            auto use = load.used.find(key.priority);
            bool first = use == load.used.end() || use->second.runs == 0;  // a queue is never shut out wholly
            size_t most = load.tasks_open(state_.settings, key.priority, load.share_of(wanted.cpu, wanted.memory), state_.durations.expect(entry, key.step));
            if (wanted.gang && most < tasks.size() && !first) return;
            if (!wanted.gang && tasks.size() > most) tasks.resize(std::max<size_t>(most, first ? 1 : 0));
            if (tasks.empty()) return;
        }
        StepWish wish{&wanted, service, key.priority == urgent, {}, {}, {}};
        for (std::uint32_t index : progress.copies) wish.apart[index] = job.moving.workers[time->steps[key.step].tasks[index].placements[0].worker].life;
        if (wanted.anti_affinity)
            for (const Task& task : time->steps[key.step].tasks)
                for (const Placement& placement : task.placements) wish.on_worker[job.moving.workers[placement.worker].life]++;
        if (!entry.failed_on.empty())
            for (std::uint32_t index : tasks)
                if (auto found = entry.failed_on.find({key.time, key.step, index}); found != entry.failed_on.end()) wish.failed[index] = &found->second;
        std::vector<Choice> chosen = select_workers(wish, tasks, candidates, state_.operations);
        if (chosen.size() < tasks.size() && !wanted.gang && wanted.needs.empty() && wanted.anti_affinity == 0 && progress.copies.empty())
            full_.push_back({service, wanted.cpu, wanted.memory, wanted.gpu});
        bool first = true;
        for (const Choice& choice : chosen) {
            start(entry, *time, key.step, choice.index, *choice.worker, first, now);
            first = false;
        }
    }
    // Where a smaller task found no room in this plan, a larger one finds none either.
    struct Full {
        std::string service;
        std::int64_t cpu, memory, gpu;
    };
    bool is_full(const std::string& service, const Step& step) const {
        return std::any_of(full_.begin(), full_.end(), [&](const Full& each) {
            return each.service == service && step.cpu >= each.cpu && step.memory >= each.memory && step.gpu >= each.gpu;
        });
    }

    State& state_;
    std::optional<ReadyKey> stopped_at_;
    std::vector<Full> full_;
};

}  // namespace calicostall
