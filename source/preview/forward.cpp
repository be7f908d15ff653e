#include "preview/forward.hpp"

namespace calicostall {

Forward::Forward(const Snapshot& snapshot, const ProposedChange& change, const ForwardSettings& settings,
                 PlannerFunction planner)
    : snapshot_(snapshot),
      change_(change),
      settings_(settings),
      planner_(std::move(planner)),
      planner_settings_(settings_of(snapshot, change)),
      items_(planner_settings_),
      demand_(planner_settings_) {}

Outlook Forward::look() {
    start_ = now_ = snapshot_.wall;
    outlook_.horizon = settings_.horizon;
    take_config();
    take_jobs();
    take_workers();
    take_changes();
    list_waiting();
    for (std::uint32_t job = 0; job < jobs_.size(); ++job)
        refresh_job(job);
    Micros end = start_ + settings_.horizon, last_change = now_;
    bool first = true;
    while (now_ <= end) {
        bool changed = take_events() || first;
        if (outlook_.plans >= settings_.plans_most) {
            outlook_.cut = true;
            break;
        }
        bool unfinished = false;
        changed = plan(first, unfinished) || changed;
        first = false;
        if (changed) last_change = now_;
        Micros next = std::numeric_limits<Micros>::max();
        if (!events_.empty()) next = std::max(events_.begin()->at, now_ + settings_.plan_apart);
        if (!items_.empty() && now_ - last_change < settings_.idle_most)
            next = std::min(next, now_ + (unfinished || changed ? settings_.plan_apart : settings_.plan_again));
        if (next == std::numeric_limits<Micros>::max()) break;
        now_ = next;
    }
    finish();
    return std::move(outlook_);
}

PlannerSettings Forward::settings_of(const Snapshot& snapshot, const ProposedChange& change) {
    PlannerSettings settings;
    for (const PlannerField& field : snapshot.planner)
        set_planner_field(settings, field.name, double(field.thousandths) / 1000);
    for (const auto& [name, value] : change.planner)
        set_planner_field(settings, name, value);
    return settings;
}

void Forward::take_config() {
    Findings ignored;
    if (change_.config)
        config_ = *change_.config;
    else if (!snapshot_.config.empty())
        config_ = parse_config(snapshot_.config, ignored);
    urgent_level_ = std::numeric_limits<std::int64_t>::max();
    for (const Queue& queue : config_.queues)
        urgent_level_ = std::min(urgent_level_, queue.priority);
}

void Forward::take_jobs() {
    for (std::uint32_t place = 0; place < snapshot_.jobs.size(); ++place) {
        const SnapshotJob& job = snapshot_.jobs[place];
        JobState state;
        state.job = &job;
        const Queue* queue = config_.find_exact(job.host, job.prefix);
        state.service = names_.of(queue ? queue->service : job.service);
        state.level = queue ? queue->priority : job.priority;
        state.attempts_most = queue ? queue->attempts_most : job.attempts_most;
        double extension = queue ? queue->extension : double(job.extension_thousandths) / 1000;
        std::vector<Micros> whole(job.steps.size());
        Micros chain = 0;
        for (size_t step = 0; step < job.steps.size(); ++step) {
            Micros before = 0;
            for (std::uint32_t earlier : job.steps[step].wanted.depends)
                before = std::max(before, whole[earlier]);
            whole[step] = before + job.steps[step].expected;
            chain = std::max(chain, whole[step]);
        }
        state.aim = Micros(extension * double(chain)) + (queue ? queue->target : job.target);
        state.next_time = job.next_time;
        for (const SnapshotTime& time : job.times) {
            std::vector<StepState>& steps = state.times[time.number];
            steps.resize(job.steps.size());
            for (size_t step = 0; step < time.steps.size(); ++step)
                for (const SnapshotTasks& range : time.steps[step])
                    for (std::uint32_t each = 0; each < range.count; ++each) {
                        steps[step].tasks.push_back({range.done, range.failures});
                        steps[step].open += !range.done;
                    }
        }
        jobs_.push_back(std::move(state));
        by_id_[job.id] = place;
        for (const SnapshotFailed& failed : job.failed)
            failed_on_[{place, failed.time, failed.step, failed.index}].insert(failed.nodes.begin(),
                                                                               failed.nodes.end());
        schedule_due(place);
    }
    for (const SnapshotDemand& each : snapshot_.demand)
        demand_.restore(names_.of(each.service), each.level, double(each.cpu), double(each.memory));
}

void Forward::schedule_due(std::uint32_t place) {
    const JobState& state = jobs_[place];
    if (state.job->repeats == 0 || state.next_time >= state.job->repeats) return;
    Micros due = state.job->first_at + Micros(state.next_time) * state.job->interval;
    events_.insert({std::max(due, start_), Kind::time_due, place});
}

void Forward::take_workers() {
    for (const SnapshotWorker& said : snapshot_.workers)
        add_worker(said);
    // Runs of a gang belong together by their task and run number.
    for (size_t place = 0; place < snapshot_.workers.size(); ++place)
        for (const SnapshotRun& run : snapshot_.workers[place].runs)
            take_run(place, run);
    for (auto& [id, run] : runs_)
        same_end_of_gang(run.gang);
    for (const auto& [key, ids] : live_) {
        if (ids.size() < 2) continue;
        outlook_.twice.push_back({key, lives_of(ids), 0, jobs_[key.job].job->steps[key.step].wanted.duplicate_ok});
    }
    for (size_t place = 0; place < workers_.size(); ++place) {
        const SnapshotWorker& said = workers_[place].said;
        if ((said.placeholder || said.silent) && !said.runs.empty())
            events_.insert({start_ + said.lapses_in, Kind::worker_lapses, place});
        if (said.leaves_in < 0) continue;
        events_.insert({start_ + said.leaves_in, Kind::worker_leaves, place});
        move_off(place, start_ + said.leaves_in);
    }
}

size_t Forward::add_worker(const SnapshotWorker& said) {
    WorkerState state;
    state.said = said;
    state.there = true;
    state.draining = said.draining;
    state.usable = !said.silent && !said.placeholder && !said.paused &&
                   (snapshot_.fresh == 0 || said.heard_ago <= snapshot_.fresh);
    // A worker that is heard of and has not reported under this owner's fence is about to.
    Micros opens_in = std::max(said.avoided_for, said.reconciled ? 0 : report_soon);
    state.avoided_until = now_ + opens_in;
    PlanWorker worker;
    worker.service = names_.of(said.service);
    for (const std::string& label : said.labels)
        worker.labels.push_back(names_.of(label));
    worker.rack = said.labels.size() > 1 ? names_.of(said.labels[1]) : 0;
    worker.capacity = {said.cpu, said.memory, said.gpu};
    // What is known from the record only offers no room.
    state.in_fleet = !said.placeholder;
    if (state.in_fleet) {
        state.place = fleet_.add(std::move(worker));
        at_place_[state.place] = workers_.size();
    }
    workers_.push_back(std::move(state));
    judge(workers_.size() - 1);
    if (opens_in > 0) events_.insert({now_ + opens_in, Kind::worker_opens, workers_.size() - 1});
    return workers_.size() - 1;
}

void Forward::judge(size_t place) {
    const WorkerState& state = workers_[place];
    bool open = state.there && state.usable && !state.draining && now_ >= state.avoided_until;
    double trust = double(state.said.trust_thousandths) / 1000;
    if (state.in_fleet)
        fleet_.judge(state.place, open, double(state.said.pace_thousandths) / 1000,
                     std::max(trust, planner_settings_.trust_least), trust < trial_trust ? 1 : 0);
}

void Forward::take_run(size_t place, const SnapshotRun& said) {
    RunState run;
    run.worker = place;
    run.room = {said.cpu, said.memory, said.gpu};
    run.was_running = true;
    run.service = names_.of(workers_[place].said.service);
    run.level = said.priority;
    run.stopping = said.state == SnapshotRunState::stopping;
    run.backfill = said.backfill;
    Micros elapsed = std::max<Micros>(said.elapsed, 0);
    run.started = start_ - elapsed;
    auto job = by_id_.find(said.job);
    JobState* state = job == by_id_.end() ? nullptr : &jobs_[job->second];
    auto time = state ? state->times.find(said.time) : decltype(state->times.find(0)){};
    run.room_only = !state || time == state->times.end();
    Standing standing;
    bool lasting = false;
    const Step* wanted = nullptr;
    if (!run.room_only) {
        run.key = {job->second, said.time, said.step, said.index};
        wanted = &state->job->steps[said.step].wanted;
        lasting = wanted->long_running;
        Micros expected = duration_on(*state, said.step, place);
        if (lasting)
            run.ends = endless;
        else {
            // As the daemons reckon; what is overdue takes a quarter of its time longer.
            if (said.percent >= 10 && said.shown > 0) expected = said.shown * 100 / said.percent;
            run.ends = run.started + expected > start_ ? run.started + expected
                                                       : start_ + std::max<Micros>(milliseconds(20), elapsed / 4);
        }
        if (wanted->gang) run.gang = gang_of(run.key, said.run);
        run.copy = said.doubled;
        standing = standing_of(*state, said.step);
    }
    if (run.stopping) run.ends = start_ + stop_takes();
    std::uint64_t id = next_run_++;
    bool in_doubt = workers_[place].said.placeholder || workers_[place].said.silent;
    if (!run.room_only) {
        run.running = std::int64_t(outlook_.running.size());
        outlook_.running.push_back(
            {run.key, workers_[place].said.life, run.ends == endless ? -1 : run.ends - start_, run.stopping, in_doubt});
    }
    begin(id, run, standing, wanted);
    // What is known from the record only goes on, but nobody can say until when.
    if (in_doubt) forget_end(id);
    if (said.doubled && !run.room_only) doubled_.insert(run.key);
}

void Forward::take_changes() {
    for (size_t place = 0; place < change_.workers.size(); ++place) {
        const WorkerChange& change = change_.workers[place];
        if (change.move == WorkerMove::join) {
            events_.insert({start_ + change.after, Kind::worker_joins, place});
            continue;
        }
        for (size_t worker = 0; worker < workers_.size(); ++worker)
            if (workers_[worker].said.life == change.name)
                events_.insert({start_ + change.after,
                                change.move == WorkerMove::drain ? Kind::worker_drains : Kind::worker_leaves, worker});
    }
}

Micros Forward::duration_on(const JobState& state, std::uint32_t step, size_t worker) const {
    const SnapshotStep& wanted = state.job->steps[step];
    double slowdown = double(workers_[worker].said.pace_thousandths) / 1000;
    double length = double(wanted.expected) * (slowdown > planner_settings_.slow_pace ? slowdown : 1);
    const auto& labels = workers_[worker].said.labels;
    if (!wanted.wanted.affinity.empty() &&
        std::find(labels.begin(), labels.end(), wanted.wanted.affinity) == labels.end())
        length *= planner_settings_.remote_factor;
    return std::max<Micros>(1, Micros(length));
}

Standing Forward::standing_of(const JobState& state, std::uint32_t step) const {
    const std::vector<StepState>* first = nullptr;
    std::uint64_t number = 0;
    for (const auto& [time, steps] : state.times) {
        first = &steps, number = time;
        if (std::any_of(steps.begin(), steps.end(), [](const StepState& each) { return each.open > 0; })) break;
    }
    std::vector<Micros> left(state.job->steps.size());
    Standing standing;
    for (size_t place = 0; place < left.size(); ++place) {
        Micros before = 0;
        for (std::uint32_t earlier : state.job->steps[place].wanted.depends)
            before = std::max(before, left[earlier]);
        left[place] = before + (first && (*first)[place].open == 0 ? 0 : state.job->steps[place].expected);
        standing.rest = std::max(standing.rest, left[place]);
    }
    standing.level = state.level;
    standing.begun =
        state.job->repeats ? state.job->first_at + Micros(number) * state.job->interval : state.job->accepted_wall;
    standing.due = standing.begun + state.aim;
    standing.lasting = state.job->steps[step].wanted.long_running;
    return standing;
}

void Forward::begin(std::uint64_t id, RunState run, const Standing& standing, const Step* wanted) {
    PlanRun one;
    one.id = id;
    one.standing = standing;
    one.room = run.room;
    one.started = run.started;
    one.expected_end = run.ends;
    one.gang = run.gang;
    one.checkpoints = wanted && wanted->checkpoints;
    one.stopping = run.stopping;
    one.backfill = run.backfill;
    one.preemptable = wanted && !run.stopping && !wanted->long_running;
    if (workers_[run.worker].in_fleet) {
        fleet_.begin_run(workers_[run.worker].place, std::move(one));
        demand_.add(run.service, run.level, run.room);
    }
    if (!run.room_only) {
        live_[run.key].insert(id);
        task(run.key).live++;
    }
    if (run.ends != endless) events_.insert({run.ends, run.stopping ? Kind::run_over : Kind::run_ends, id});
    if (run.gang) gangs_[run.gang].insert(id);
    runs_.emplace(id, std::move(run));
}

void Forward::forget_end(std::uint64_t id) {
    RunState& run = runs_.at(id);
    events_.erase({run.ends, run.stopping ? Kind::run_over : Kind::run_ends, id});
    run.ends = endless;
    if (run.running >= 0) outlook_.running[size_t(run.running)].ends = -1;
}

void Forward::set_end(std::uint64_t id, Micros at, bool stopping) {
    RunState& run = runs_.at(id);
    if (run.ends != endless) events_.erase({run.ends, run.stopping ? Kind::run_over : Kind::run_ends, id});
    run.ends = at;
    run.stopping = stopping;
    if (at != endless) events_.insert({at, stopping ? Kind::run_over : Kind::run_ends, id});
    if (PlanRun* seen = workers_[run.worker].in_fleet ? fleet_.find_run(workers_[run.worker].place, id) : nullptr)
        seen->expected_end = at, seen->stopping = stopping;
    std::int64_t ends = at == endless ? -1 : at - start_;
    if (run.running >= 0) outlook_.running[size_t(run.running)].ends = ends;
    if (run.listed >= 0 && !stopping) outlook_.tasks[size_t(run.listed)].ends = ends;
}

void Forward::same_end_of_gang(std::uint64_t gang) {
    if (!gang) return;
    Micros last = 0;
    for (std::uint64_t id : gangs_[gang])
        last = std::max(last, runs_.at(id).ends);
    for (std::uint64_t id : std::set<std::uint64_t>(gangs_[gang]))
        if (!runs_.at(id).stopping && runs_.at(id).ends != last) set_end(id, last, false);
}

void Forward::remove(std::uint64_t id) {
    RunState run = runs_.at(id);
    if (run.ends != endless) events_.erase({run.ends, run.stopping ? Kind::run_over : Kind::run_ends, id});
    if (workers_[run.worker].in_fleet) {
        fleet_.end_run(workers_[run.worker].place, id);
        demand_.remove(run.service, run.level, run.room);
    }
    if (run.gang) gangs_[run.gang].erase(id);
    if (!run.room_only) {
        task(run.key).live--;
        live_[run.key].erase(id);
        if (live_[run.key].empty()) live_.erase(run.key);
    }
    runs_.erase(id);
}

void Forward::done(std::uint64_t id) {
    RunState run = runs_.at(id);
    if (run.room_only) return remove(id);
    StepState& step = step_of(run.key);
    std::set<std::uint64_t> over{id};
    if (run.gang) over.insert(gangs_[run.gang].begin(), gangs_[run.gang].end());
    for (std::uint64_t each : over) {
        TaskState& state = task(runs_.at(each).key);
        step.open -= !state.done;
        state.done = true;
        remove(each);
    }
    // The copies of a task that is done are stopped.
    if (auto others = live_.find(run.key); others != live_.end())
        for (std::uint64_t other : std::set<std::uint64_t>(others->second))
            set_end(other, now_ + stop_takes(), true);
    doubled_.erase(run.key);
    if (step.open == 0)
        refresh_time(run.key.job, run.key.time);
    else
        refresh(run.key.job, run.key.time, run.key.step);
}

void Forward::over(std::uint64_t id) {
    RunState run = runs_.at(id);
    remove(id);
    if (run.room_only || task(run.key).done) return;
    if (task(run.key).live == 0) list(run.key, run.pushed ? "pushed aside" : "in doubt");
    refresh(run.key.job, run.key.time, run.key.step);
}

void Forward::push_aside(std::uint64_t id, const std::string& by) {
    RunState& run = runs_.at(id);
    if (run.stopping || run.room_only) return;
    run.pushed = true;
    const Step& wanted = jobs_[run.key.job].job->steps[run.key.step].wanted;
    Micros worked = std::max<Micros>(0, now_ - run.started), kept = 0;
    if (wanted.checkpoints && planner_settings_.checkpoint_every > 0)
        kept = worked / planner_settings_.checkpoint_every * planner_settings_.checkpoint_every;
    task(run.key).kept = std::max(task(run.key).kept, run.kept + kept);
    outlook_.pushed.push_back({run.key, workers_[run.worker].said.life, now_ - start_, run.was_running, by,
                               double(wanted.cpu + 8000 * wanted.gpu) / 1000 * double(worked - kept) / 1e6});
}

void Forward::stop(std::uint64_t id, const std::string& by) {
    push_aside(id, by);
    set_end(id, now_ + stop_takes(), true);
}

void Forward::move_off(size_t worker, Micros leaves) {
    for (auto& [id, run] : std::map<std::uint64_t, RunState>(runs_))
        if (run.worker == worker && !run.stopping && !run.room_only && !run.gang && run.ends > leaves)
            stop(id, "its worker leaves");
}

std::vector<std::string> Forward::lives_of(const std::set<std::uint64_t>& ids) const {
    std::vector<std::string> lives;
    for (std::uint64_t id : ids)
        lives.push_back(workers_[runs_.at(id).worker].said.life);
    return lives;
}

std::uint64_t Forward::gang_of(const TaskKey& key, std::uint32_t run) {
    return gang_ids_.try_emplace({key.job, key.time, key.step, run}, gang_ids_.size() + 1).first->second;
}

std::uint64_t Forward::item_id(const ItemOf& of) {
    auto [found, fresh] = item_ids_.try_emplace(of, item_ids_.size() + 1);
    if (fresh) items_of_[found->second] = of;
    return found->second;
}

bool Forward::turn_has_come(const JobState& state, const std::vector<StepState>& steps, std::uint32_t step) const {
    for (std::uint32_t earlier : state.job->steps[step].wanted.depends)
        if (steps[earlier].open > 0) return false;
    return true;
}

void Forward::refresh_job(std::uint32_t place) {
    for (auto& [number, steps] : jobs_[place].times)
        refresh_time(place, number);
}

void Forward::refresh_time(std::uint32_t place, std::uint64_t number) {
    for (std::uint32_t step = 0; step < jobs_[place].job->steps.size(); ++step)
        refresh(place, number, step);
}

void Forward::refresh(std::uint32_t place, std::uint64_t number, std::uint32_t step) {
    JobState& state = jobs_[place];
    std::vector<StepState>& steps = state.times.at(number);
    StepState& at = steps[step];
    const Step& wanted = state.job->steps[step].wanted;
    at.waiting.clear();
    std::set<std::uint32_t> singles;
    bool turn = turn_has_come(state, steps, step);
    for (std::uint32_t index = 0; turn && index < at.tasks.size(); ++index) {
        TaskKey key{place, number, step, index};
        if (at.tasks[index].done || at.tasks[index].failures >= state.attempts_most) continue;
        if (at.tasks[index].live == 1 && doubled_.contains(key) && wanted.duplicate_ok && !wanted.gang)
            singles.insert(index);
        if (at.tasks[index].live > 0) continue;
        if (!wanted.gang && failed_on_.contains(key))
            singles.insert(index);
        else
            at.waiting.push_back(index);
    }
    if (wanted.gang && at.waiting.size() != at.tasks.size()) at.waiting.clear();
    if (at.waiting.empty())
        items_.erase(item_id({place, number, step, -1}));
    else
        put(place, number, step, -1, std::uint32_t(at.waiting.size()));
    for (std::uint32_t index : at.singles)
        if (!singles.contains(index)) items_.erase(item_id({place, number, step, std::int64_t(index)}));
    for (std::uint32_t index : singles)
        put(place, number, step, std::int64_t(index), 1);
    at.singles = std::move(singles);
}

void Forward::put(std::uint32_t place, std::uint64_t number, std::uint32_t step, std::int64_t single,
                  std::uint32_t count) {
    const JobState& state = jobs_[place];
    const SnapshotStep& wanted = state.job->steps[step];
    Item item;
    item.id = item_id({place, number, step, single});
    item.standing = standing_of(state, step);
    item.service = state.service;
    item.room = {wanted.wanted.cpu, wanted.wanted.memory, wanted.wanted.gpu};
    item.count = count;
    item.duration = std::max<Micros>(1, wanted.expected);
    item.needs = names_.of(wanted.wanted.needs), item.affinity = names_.of(wanted.wanted.affinity);
    item.anti_affinity = wanted.wanted.anti_affinity;
    item.gang = wanted.wanted.gang, item.same_rack = wanted.wanted.same_rack,
    item.checkpoints = wanted.wanted.checkpoints;
    item.preemptable = !wanted.wanted.long_running;
    for (std::uint32_t index = 0; item.anti_affinity && index < wanted.wanted.count; ++index)
        for (std::uint32_t there : places_of({place, number, step, index}))
            item.on_worker.emplace_back(there, 1);
    if (single >= 0) {
        TaskKey key{place, number, step, std::uint32_t(single)};
        item.away = places_of(key);
        if (auto failed = failed_on_.find(key); failed != failed_on_.end())
            for (const WorkerState& worker : workers_)
                if (worker.in_fleet && failed->second.contains(worker.said.node)) item.disliked.push_back(worker.place);
    }
    Fleet::ServiceSum sum = fleet_.service(item.service);
    double mean = sum.count ? double(sum.capacity.cpu) / double(sum.count) : 0;
    items_.put(std::move(item), now_, mean > 0 ? double(wanted.wanted.cpu) / mean : 0);
}

std::vector<std::uint32_t> Forward::places_of(const TaskKey& key) const {
    std::vector<std::uint32_t> places;
    if (auto live = live_.find(key); live != live_.end())
        for (std::uint64_t run : live->second)
            if (const WorkerState& worker = workers_[runs_.at(run).worker]; worker.in_fleet)
                places.push_back(worker.place);
    return places;
}

void Forward::list(const TaskKey& key, std::string why) {
    TaskState& state = task(key);
    if (state.listed >= 0) return;
    state.listed = std::int64_t(outlook_.tasks.size());
    TaskOutlook each;
    each.key = key;
    each.why = std::move(why);
    outlook_.tasks.push_back(std::move(each));
}

void Forward::list_waiting() {
    for (std::uint32_t place = 0; place < jobs_.size(); ++place)
        for (auto& [number, steps] : jobs_[place].times)
            list_time(place, number, {});
}

void Forward::list_time(std::uint32_t place, std::uint64_t number, const std::string& why) {
    JobState& state = jobs_[place];
    std::vector<StepState>& steps = state.times.at(number);
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        std::string nowhere = lands_nowhere(state, step);
        bool turn = turn_has_come(state, steps, step);
        for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
            TaskState& each = steps[step].tasks[index];
            if (each.done || each.live > 0) continue;
            list({place, number, step, index}, !why.empty() ? why : turn ? "" : "dependency");
            std::string reason = each.failures >= state.attempts_most ? "attempts used up" : nowhere;
            if (reason.empty()) continue;
            TaskOutlook& said = outlook_.tasks[size_t(each.listed)];
            said.landing = Landing::nowhere, said.why = reason;
        }
    }
}

std::string Forward::lands_nowhere(const JobState& state, std::uint32_t step) const {
    const Step& wanted = state.job->steps[step].wanted;
    const std::string& service = names_.text(state.service);
    // An owner that has just begun knows some workers from the record only, or none: they may be what is asked for.
    if (workers_.empty() || std::any_of(workers_.begin(), workers_.end(),
                                        [](const WorkerState& worker) { return worker.said.placeholder; }))
        return {};
    std::vector<const SnapshotWorker*> there;
    for (size_t place = 0; place < workers_.size(); ++place)
        if (!workers_[place].said.placeholder && !leaves(place)) there.push_back(&workers_[place].said);
    for (const WorkerChange& change : change_.workers)
        if (change.move == WorkerMove::join) there.push_back(&change.joins);
    std::erase_if(there, [&](const SnapshotWorker* worker) { return worker->service != service; });
    if (there.empty()) return "service gone";
    auto has = [](const SnapshotWorker* worker, const std::string& label) {
        return std::find(worker->labels.begin(), worker->labels.end(), label) != worker->labels.end();
    };
    if (!wanted.needs.empty())
        std::erase_if(there, [&](const SnapshotWorker* worker) { return !has(worker, wanted.needs); });
    if (there.empty()) return "label missing";
    std::erase_if(there, [&](const SnapshotWorker* worker) {
        return worker->cpu < wanted.cpu || worker->memory < wanted.memory || worker->gpu < wanted.gpu;
    });
    if (there.empty()) return "no worker is large enough";
    if (!wanted.gang) return {};
    std::uint64_t fit = 0;
    std::map<std::string, std::uint64_t> racks;
    for (const SnapshotWorker* worker : there) {
        std::uint64_t most = wanted.anti_affinity ? wanted.anti_affinity : wanted.count;
        if (wanted.cpu > 0) most = std::min<std::uint64_t>(most, std::uint64_t(worker->cpu / wanted.cpu));
        if (wanted.memory > 0) most = std::min<std::uint64_t>(most, std::uint64_t(worker->memory / wanted.memory));
        if (wanted.gpu > 0) most = std::min<std::uint64_t>(most, std::uint64_t(worker->gpu / wanted.gpu));
        fit += most;
    }
    return fit < wanted.count ? "gang too wide" : std::string();
}

bool Forward::leaves(size_t place) const {
    return std::any_of(change_.workers.begin(), change_.workers.end(), [&](const WorkerChange& change) {
        return change.move == WorkerMove::leave && change.name == workers_[place].said.life;
    });
}

bool Forward::take_events() {
    bool any = false;
    while (!events_.empty() && events_.begin()->at <= now_) {
        Event event = *events_.begin();
        events_.erase(events_.begin());
        any = true;
        take(event);
    }
    return any;
}

void Forward::take(const Event& event) {
    switch (event.kind) {
        case Kind::run_ends:
            runs_.at(event.which).ends = endless;
            return done(event.which);
        case Kind::run_over:
            runs_.at(event.which).ends = endless;
            return over(event.which);
        case Kind::worker_opens:
            return judge(event.which);
        case Kind::worker_drains:
            workers_[event.which].draining = true;
            return judge(event.which);
        case Kind::worker_leaves:
            return leave(event.which);
        case Kind::worker_joins:
            add_worker(change_.workers[event.which].joins);
            return;
        case Kind::worker_lapses:
            return lapse(event.which);
        case Kind::time_due:
            return begin_time(std::uint32_t(event.which));
        case Kind::time_check:
            return;
    }
}

void Forward::leave(size_t place) {
    WorkerState& worker = workers_[place];
    if (!worker.there) return;
    worker.there = false;
    judge(place);
    bool any = false;
    for (auto& [id, run] : std::map<std::uint64_t, RunState>(runs_)) {
        if (run.worker != place) continue;
        push_aside(id, "its worker leaves");
        set_end(id, endless, true);
        any = true;
    }
    events_.insert({any ? now_ + snapshot_.lapse : now_, Kind::worker_lapses, place});
}

void Forward::lapse(size_t place) {
    const bool gone = !workers_[place].there;
    for (auto& [id, run] : std::map<std::uint64_t, RunState>(runs_))
        if (run.worker == place && runs_.contains(id)) over(id);
    if (!gone || !workers_[place].in_fleet) return;
    workers_[place].in_fleet = false;
    at_place_.erase(workers_[place].place);
    fleet_.remove(workers_[place].place);
}

void Forward::begin_time(std::uint32_t place) {
    JobState& state = jobs_[place];
    std::uint64_t number = state.next_time++;
    auto [steps, fresh] = state.times.try_emplace(number);
    if (fresh) {
        for (const SnapshotStep& step : state.job->steps) {
            StepState each;
            each.tasks.resize(step.wanted.count);
            each.open = step.wanted.count;
            steps->second.push_back(std::move(each));
        }
        list_time(place, number, "due time");
        refresh_time(place, number);
    }
    schedule_due(place);
}

bool Forward::plan(bool first, bool& unfinished) {
    if (items_.empty()) return false;
    items_.advance(now_);
    demand_.advance(now_);
    Plan plan = planner_(PlanView{planner_settings_, items_, fleet_, demand_, urgent_level_, now_, resume_});
    ++outlook_.plans;
    resume_ = plan.resume;
    unfinished = plan.unfinished;
    if (first)
        for (const Wait& wait : plan.waits)
            note_reason(wait);
    std::set<ItemOf> touched;
    for (const Stop& each : plan.stops) {
        auto place = at_place_.find(each.worker);
        auto run = runs_.find(each.run);
        if (place == at_place_.end() || run == runs_.end() || run->second.worker != place->second) continue;
        auto item = items_of_.find(each.for_item);
        std::string by = item == items_of_.end() ? ""
                                                 : fmt::format("{}.{}.{}", jobs_[item->second.job].job->id,
                                                               item->second.time, item->second.step);
        std::set<std::uint64_t> ids{each.run};
        if (run->second.gang) ids = gangs_[run->second.gang];
        for (std::uint64_t id : ids)
            if (!runs_.at(id).stopping) stop(id, by);
    }
    std::map<std::uint64_t, std::uint64_t> gang_numbers;
    for (const Start& each : plan.starts) {
        auto found = items_of_.find(each.item);
        auto place = at_place_.find(each.worker);
        if (found == items_of_.end() || place == at_place_.end()) continue;
        start(found->second, each, place->second, gang_numbers[each.item]);
        touched.insert(found->second);
    }
    for (auto& [item, gang] : gang_numbers)
        same_end_of_gang(gang);
    for (const ItemOf& of : touched)
        refresh(of.job, of.time, of.step);
    return !plan.starts.empty() || !plan.stops.empty();
}

void Forward::note_reason(const Wait& wait) {
    auto found = items_of_.find(wait.item);
    if (found == items_of_.end()) return;
    StepState& at = jobs_[found->second.job].times.at(found->second.time)[found->second.step];
    std::vector<std::uint32_t> tasks = at.waiting;
    if (found->second.single >= 0) tasks = {std::uint32_t(found->second.single)};
    for (std::uint32_t index : tasks) {
        if (at.tasks[index].listed < 0) continue;  // a copy
        TaskOutlook& each = outlook_.tasks[size_t(at.tasks[index].listed)];
        if (each.landing == Landing::waits) each.why = reason_text(wait.reason);
    }
}

void Forward::start(const ItemOf& of, const Start& planned, size_t worker, std::uint64_t& gang) {
    std::uint32_t number = planned.task;
    JobState& state = jobs_[of.job];
    StepState& at = state.times.at(of.time)[of.step];
    const SnapshotStep& wanted = state.job->steps[of.step];
    TaskKey key{of.job, of.time, of.step,
                of.single >= 0               ? std::uint32_t(of.single)
                : number < at.waiting.size() ? at.waiting[number]
                                             : 0};
    TaskState& each = task(key);
    bool copy = of.single >= 0 && doubled_.contains(key) && each.live == 1;
    RunState run;
    run.key = key;
    run.worker = worker;
    run.started = now_;
    run.kept = each.kept;
    run.room = {wanted.wanted.cpu, wanted.wanted.memory, wanted.wanted.gpu};
    run.service = state.service;
    run.level = state.level;
    run.copy = copy;
    run.backfill = planned.backfill;
    Micros length = duration_on(state, of.step, worker);
    if (each.kept > 0) length = std::max<Micros>(length / 20, length - each.kept) + planner_settings_.restore;
    run.ends = wanted.wanted.long_running ? endless : now_ + length;
    if (wanted.wanted.gang)
        run.gang = gang =
            gang ? gang
                 : gang_ids_.try_emplace({of.job, of.time, of.step, 1000000 + next_run_}, gang_ids_.size() + 1)
                       .first->second;
    if (!copy && each.listed >= 0 && outlook_.tasks[size_t(each.listed)].landing != Landing::lands)
        run.listed = each.listed;
    if (copy) {
        run.listed = std::int64_t(outlook_.tasks.size());
        outlook_.tasks.push_back({key, Landing::waits, true, {}, -1, -1, {}});
    }
    if (run.listed >= 0) {
        TaskOutlook& said = outlook_.tasks[size_t(run.listed)];
        said.landing = Landing::lands;
        said.worker = workers_[worker].said.life;
        said.at = now_ - start_;
        said.ends = run.ends == endless ? -1 : run.ends - start_;
        if (said.at == 0) said.why.clear();
    }
    std::uint64_t id = next_run_++;
    Standing standing = standing_of(state, of.step);
    begin(id, run, standing, &wanted.wanted);
    if (each.live > 1 || each.done)
        outlook_.twice.push_back(
            {key, lives_of(live_.at(key)), now_ - start_, wanted.wanted.duplicate_ok && !each.done});
}

void Forward::finish() {
    // What was in doubt at first, or lost its worker, waits for its hold to lapse.
    for (TaskOutlook& each : outlook_.tasks)
        if (each.landing != Landing::lands && each.why.empty()) each.why = "room";
    std::stable_sort(outlook_.tasks.begin(), outlook_.tasks.end(),
                     [&](const TaskOutlook& left, const TaskOutlook& right) {
                         return std::tuple(jobs_[left.key.job].level, left.key, left.copy) <
                                std::tuple(jobs_[right.key.job].level, right.key, right.copy);
                     });
}

}  // namespace calicostall
