// Keeps the planner's view of jobs and workers by what has changed, asks for a plan and carries it out.
#pragma once
#include "control/jobs/state/state.hpp"
#include "control/plan/planner.hpp"

namespace calicostall {

// What a plan came to.
struct PlanOutcome {
    bool finished = true;    // everything ready was looked at; else the next plan goes on where this one stopped
    bool crowded = false;    // a start was left out as another of the same plan had taken its place
    std::uint64_t work = 0;  // items and workers looked at
};

class Planning {
public:
    explicit Planning(State& state) : state_(state), items_(state.settings.planner), demand_(state.settings.planner) {}

    // `start` is called for each run that is to begin: start(entry, time, step, index, worker, first of its gang), and
    // answers its entry; `stop` for each that is to make way: stop(worker, run).
    template <class Start, class Stop>
    PlanOutcome plan(Micros now, Micros wall, Start start, Stop stop) {
        bring_up_to_date(now, wall);
        if (items_.empty()) return resume_.reset(), PlanOutcome{};
        items_.advance(now);
        demand_.advance(now);
        Plan plan =
            make_plan({state_.settings.planner, items_, fleet_, demand_, state_.least_priority(), now, resume_});
        const std::uint64_t work = plan.looked_at + plan.evaluations;
        state_.operations += work;
        resume_ = plan.resume;
        for (const calicostall::Stop& each : plan.stops)
            carry_out(each, stop);
        const bool crowded = carry_out_starts(plan, now, start);
        return {!plan.unfinished, crowded, work};
    }
    void clear() {
        resume_.reset();
        places_.clear(), workers_.clear(), steps_.clear(), keys_.clear();
        items_.clear(), demand_.clear();
        fleet_ = Fleet{};
    }
    const Fleet& fleet() const { return fleet_; }
    const WaitingItems& items() const { return items_; }
    const UrgentDemand& demand() const { return demand_; }
    // What urgent queues used lately: see(service, level, cpu, memory).
    template <class See>
    void each_demand(See see) const {
        demand_.each([&](Name service, std::int64_t level, double cpu, double memory) {
            see(names_.text(service), level, cpu, memory);
        });
    }

private:
    // What the planner knows a step's tasks by: most of them as one item, those that are particular each by itself.
    struct StepItems {
        std::uint64_t group = 0;
        std::map<std::uint32_t, std::uint64_t> single;
    };
    struct ItemPlace {
        StepKey step;
        std::vector<std::uint32_t> tasks;
    };
    // Whom a place in the fleet stands for; it is renewed with each change of the worker, before it is used.
    struct WorkerOfPlace {
        std::string life;
        WorkerEntry* entry = nullptr;      // none: the place is free
        const Conduct* conduct = nullptr;  // of its machine
    };

    void bring_up_to_date(Micros now, Micros wall) {
        // The planner's clock is the steady one; due times follow the wall clock, which may be set.
        if (std::abs(wall - now - offset_) > milliseconds(50)) {
            offset_ = wall - now;
            state_.steps_touched.insert(state_.ready.begin(), state_.ready.end());
        }
        for (const std::string& life : std::exchange(state_.workers_touched, {}))
            update_worker(life, now);
        for (std::uint32_t place = 0; place < workers_.size(); ++place)
            if (workers_[place].entry) judge(place, now);
        for (const StepKey& key : std::exchange(state_.steps_touched, {}))
            update_step(key, now);
    }
    Micros steady(Micros wall) const { return wall - offset_; }
    Standing steady(Standing standing) const {
        standing.begun = steady(standing.begun), standing.due = steady(standing.due);
        return standing;
    }

    // --- workers ---

    // How the worker is thought of changes with time too: this is done for all of them before each plan.
    void judge(std::uint32_t place, Micros now) {
        const WorkerEntry& worker = *workers_[place].entry;
        const Conduct& conduct = *workers_[place].conduct;
        const double trust = state_.conducts.trust(conduct, now);
        fleet_.judge(place, state_.takes_starts(worker, now), worker.pace.value(),
                     std::max(trust, state_.settings.planner.trust_least), trust < 0.4 ? 1 : 0, conduct.paused(now));
    }
    void update_worker(const std::string& life, Micros now) {
        auto found = state_.workers.find(life);
        auto known = places_.find(life);
        if (found == state_.workers.end() || !found->second.counted) {
            if (known == places_.end()) return;
            for (const PlanRun& run : fleet_.at(known->second).runs)
                demand_.remove(fleet_.at(known->second).service, run.standing.level, run.room);
            fleet_.remove(known->second);
            workers_[known->second] = {};
            places_.erase(known);
            return;
        }
        WorkerEntry& worker = found->second;
        if (known != places_.end()) worker.place = known->second;
        Name service = names_.of(worker.account.service);
        std::vector<Name> labels;
        for (const std::string& label : worker.account.labels)
            labels.push_back(names_.of(label));
        Name rack = labels.size() > 1 ? labels[1] : 0;
        Resources capacity{worker.account.cpu, worker.account.memory, worker.account.gpu};
        if (known == places_.end()) {
            PlanWorker fresh;
            fresh.service = service, fresh.labels = labels, fresh.rack = rack, fresh.capacity = capacity;
            worker.place = fleet_.add(std::move(fresh));
            places_[life] = worker.place;
            if (workers_.size() <= worker.place) workers_.resize(worker.place + 1);
            workers_[worker.place].life = life;
        } else if (const PlanWorker& old = fleet_.at(worker.place);
                   old.service != service || old.labels != labels || old.capacity != capacity) {
            for (const PlanRun& run : old.runs)
                demand_.remove(old.service, run.standing.level, run.room);
            fleet_.renew_runs(worker.place, {});
            fleet_.describe(worker.place, service, labels, rack, capacity);
        }
        workers_[worker.place].entry = &worker;
        workers_[worker.place].conduct = &state_.conducts.of(worker.node);
        for (const PlanRun& run : fleet_.at(worker.place).runs)
            demand_.remove(service, run.standing.level, run.room);
        std::vector<PlanRun> runs;
        runs.reserve(worker.runs.size());
        for (const auto& [name, entry] : worker.runs)
            runs.push_back(run_of(entry, now));
        for (const PlanRun& run : runs)
            demand_.add(service, run.standing.level, run.room);
        fleet_.renew_runs(worker.place, std::move(runs));
    }
    PlanRun run_of(const RunEntry& entry, Micros now) {
        PlanRun run;
        run.id = entry.serial;
        run.room = {entry.cpu, entry.memory, entry.gpu};
        run.started = entry.ordered_at > 0 ? entry.ordered_at : entry.since;
        run.standing.level = entry.priority;
        run.stopping = entry.state == RunState::stopping;
        run.backfill = entry.backfill;
        run.preemptable = false;
        Micros length = seconds(1);
        if (auto job = state_.jobs.find(entry.name.job); job != state_.jobs.end()) {
            const Step& step = job->second.job.fixed.spec.steps[entry.name.step];
            length = state_.durations.expect(job->second, entry.name.step);
            if (entry.remote) length = Micros(double(length) * state_.settings.planner.remote_factor);
            run.standing = steady(job->second.standing);
            run.standing.level = entry.priority;
            run.checkpoints = step.checkpoints;
            run.preemptable = entry.state == RunState::running && !entry.stop_wanted && !step.long_running &&
                              !entry.doubled && !job->second.job.ended();
            if (step.gang)
                run.gang = 1 + std::hash<std::string>{}(fmt::format(
                                   "{} {}", RunName{entry.name.job, entry.name.time, entry.name.step, 0, 0}.task(),
                                   entry.name.run)) /
                                   2;
            if (step.long_running) length = never;
        }
        Micros shown = entry.shown_at - entry.ordered_at;
        if (entry.percent >= 10 && shown > 0 && entry.ordered_at > 0) length = shown * 100 / entry.percent;
        run.expected_end = run.stopping ? now + state_.settings.planner.stop_grace : run.started + length;
        return run;
    }

    // --- items ---

    void update_step(const StepKey& key, Micros now) {
        auto found = state_.jobs.find(key.job);
        JobEntry* entry = found == state_.jobs.end() || !found->second.open ? nullptr : &found->second;
        const StepProgress* progress = nullptr;
        if (entry)
            if (auto steps = entry->progress.find(key.time);
                steps != entry->progress.end() && steps->second[key.step].listed)
                progress = &steps->second[key.step];
        auto known = steps_.find(key);
        if (!progress) {
            if (known == steps_.end()) return;
            drop(known->second.group);
            for (const auto& [index, id] : known->second.single)
                drop(id);
            steps_.erase(known);
            return;
        }
        StepItems& items = steps_[key];
        const Step& step = entry->job.fixed.spec.steps[key.step];
        std::vector<std::uint32_t> group;
        std::map<std::uint32_t, std::uint64_t> single;
        if (step.gang) {
            if (progress->placed == 0 && progress->waiting.size() == progress->bits.size())
                group.assign(progress->waiting.begin(), progress->waiting.end());
        } else {
            for (std::uint32_t index : progress->waiting) {
                if (entry->failed_on.empty() || !entry->failed_on.contains({key.time, key.step, index}))
                    group.push_back(index);
                else
                    single[index] = 0;
            }
            for (std::uint32_t index : progress->copies)
                single[index] = 0;
        }
        if (group.empty())
            drop(std::exchange(items.group, 0));
        else
            put(items.group, key, *entry, std::move(group), now);
        for (const auto& [index, id] : items.single)
            if (single.contains(index))
                single[index] = id;
            else
                drop(id);
        for (auto& [index, id] : single)
            put(id, key, *entry, {index}, now);
        items.single = std::move(single);
    }
    void drop(std::uint64_t id) {
        if (id == 0) return;
        items_.erase(id);
        keys_.erase(id);
    }
    // Since when the step's tasks have waited as the planner counts it: each lasting step by itself, any other while
    // nothing of its job runs. 0: not so.
    static Micros idle_since(JobEntry& entry, const StepKey& key, Micros now) {
        const Step& step = entry.job.fixed.spec.steps[key.step];
        if (step.long_running) return entry.progress.at(key.time)[key.step].idle_since;
        if (!entry.runs.empty()) return 0;
        if (entry.idle_since == 0) entry.idle_since = now;
        return entry.idle_since;
    }
    void put(std::uint64_t& id, const StepKey& key, JobEntry& entry, std::vector<std::uint32_t> tasks, Micros now) {
        const Step& step = entry.job.fixed.spec.steps[key.step];
        if (id == 0) id = ++last_item_;
        Item item;
        item.id = id;
        item.standing = steady(entry.standing);
        item.standing.density = state_.density(entry);
        item.service = names_.of(state_.service_of(entry.job));
        item.room = {step.cpu, step.memory, step.gpu};
        item.count = std::uint32_t(tasks.size());
        item.duration = std::max<Micros>(1, state_.durations.expect(entry, key.step));
        item.needs = names_.of(step.needs), item.affinity = names_.of(step.affinity);
        item.anti_affinity = step.anti_affinity;
        item.idle_since = idle_since(entry, key, now);
        item.gang = step.gang, item.same_rack = step.same_rack, item.checkpoints = step.checkpoints;
        item.preemptable = !step.long_running;
        item.standing.lasting = step.long_running;
        const Time* time = entry.job.find_time(key.time);
        if (step.anti_affinity && time)
            for (const Task& task : time->steps[key.step].tasks)
                for (const Placement& placement : task.placements)
                    if (auto place = places_.find(entry.job.moving.workers[placement.worker].life);
                        place != places_.end())
                        item.on_worker.emplace_back(place->second, 1);
        if (tasks.size() == 1 && time && !step.gang) {
            for (const Placement& placement : time->steps[key.step].tasks[tasks[0]].placements)
                if (auto place = places_.find(entry.job.moving.workers[placement.worker].life); place != places_.end())
                    item.away.push_back(place->second);
            if (auto failed = entry.failed_on.find({key.time, key.step, tasks[0]}); failed != entry.failed_on.end())
                for (const std::string& node : failed->second)
                    if (auto life = state_.nodes.find(node); life != state_.nodes.end())
                        if (auto place = places_.find(life->second); place != places_.end())
                            item.disliked.push_back(place->second);
        }
        auto service = fleet_.service(item.service);
        double mean = service.count ? double(service.capacity.cpu) / double(service.count) : 0;
        items_.put(std::move(item), now, mean > 0 ? double(step.cpu) / mean : 0);
        keys_[id] = {key, std::move(tasks)};
    }

    // --- carrying out ---

    template <class Stop>
    void carry_out(const calicostall::Stop& each, Stop& stop) {
        WorkerEntry* worker = workers_[each.worker].entry;
        if (!worker) return;
        for (auto& [name, run] : worker->runs)
            if (run.serial == each.run) return stop(*worker, run);
    }
    // A step's tasks may be several items, which don't know of each other within one plan.
    static bool crowds(const JobEntry& entry, const Time& time, std::uint32_t step, const std::string& life) {
        const Step& wanted = entry.job.fixed.spec.steps[step];
        if (!wanted.anti_affinity || wanted.gang) return false;
        std::uint32_t there = 0;
        for (const Task& task : time.steps[step].tasks)
            for (const Placement& placement : task.placements)
                there += entry.job.moving.workers[placement.worker].life == life;
        return there >= wanted.anti_affinity;
    }
    // Whether a start was left out as another item of the same step has taken its place within this plan.
    template <class Start>
    bool carry_out_starts(const Plan& plan, Micros now, Start& start) {
        bool crowded = false;
        for (const calicostall::Start& each : plan.starts) {
            auto item = keys_.find(each.item);
            if (item == keys_.end()) continue;
            const ItemPlace& place = item->second;
            JobEntry& entry = state_.jobs.at(place.step.job);
            Time* time = entry.job.find_time(place.step.time);
            const auto& [life, worker, conduct] = workers_[each.worker];
            if (!time || !worker || each.task >= place.tasks.size()) continue;
            if (crowds(entry, *time, place.step.step, life)) {
                state_.steps_touched.insert(place.step);
                crowded = true;
                continue;
            }
            start(entry, *time, place.step.step, place.tasks[each.task], *worker, each.task == 0, now).backfill =
                each.backfill;
        }
        return crowded;
    }

    State& state_;
    Names names_;
    Fleet fleet_;
    WaitingItems items_;
    UrgentDemand demand_;
    std::map<std::string, std::uint32_t> places_;  // life -> place in the fleet
    std::vector<WorkerOfPlace> workers_;           // by place in the fleet
    std::map<StepKey, StepItems> steps_;
    std::unordered_map<std::uint64_t, ItemPlace> keys_;
    std::uint64_t last_item_ = 0;
    Micros offset_ = 0;
    std::optional<Cursor> resume_;
};

}  // namespace calicostall
