// All jobs and workers as the owner sees them, with what is counted from them. Every count changes with an event;
// none is made by a walk. Pure.
#pragma once
#include "control/jobs/durations/durations.hpp"
#include "control/jobs/history/recorder.hpp"
#include "control/jobs/judging/conduct.hpp"
#include "control/jobs/settings.hpp"
#include "control/jobs/state/backlog.hpp"
#include "control/jobs/state/load.hpp"
#include "control/plan/worth.hpp"
#include "shared/record/log.hpp"
#include "shared/record/run_line.hpp"
#include "shared/settings/config.hpp"

namespace calicostall {

// One step of one time of a job.
struct StepKey {
    std::string job;
    std::uint64_t time = 0;
    std::uint32_t step = 0;
    auto operator<=>(const StepKey&) const = default;
};

class State {
public:
    explicit State(SchedulerSettings settings) : settings(std::move(settings)), history(this->settings.history_span) {}

    SchedulerSettings settings;
    Epoch epoch;
    Config config;
    std::unordered_map<std::string, JobEntry> jobs;
    std::map<std::string, WorkerEntry> workers;
    std::map<std::string, std::string> nodes;  // side machine -> life of its worker
    std::map<std::string, Load> loads;         // by service
    Backlog backlog;                           // by queue
    std::set<StepKey> ready;                   // steps with waiting tasks whose turn has come
    std::set<StepKey> steps_touched;           // what the planner is to look at again
    std::set<std::string> workers_touched;
    std::set<std::string> sides_with_news;                             // side machines that may be owed an answer
    std::multimap<Micros, std::string> turns_due;                      // when the hope of a job changes next (wall)
    std::multimap<Micros, std::string> expiries;                       // when an ended job may be forgotten (steady)
    std::multimap<Micros, std::pair<std::string, RunName>> looks_due;  // when a run is judged next
    std::vector<std::string> dirty;
    Micros now = 0;  // steady, of the event that is dealt with
    Durations durations;
    MeanWork mean_work;  // of the jobs of each queue
    SizeTurns size_turns;
    HistoryRecorder history;
    Conducts conducts;
    std::function<void(RunLine)> tell;  // what is accepted, starts and ends, when somebody wants to know
    bool plan_wanted = false;
    std::uint64_t last_serial = 0;
    size_t held = 0;  // runs that take room anywhere
    size_t open_jobs = 0;
    std::uint64_t operations = 0;  // what the work of an event is measured by

    void clear() {
        jobs.clear(), dirty.clear(), workers.clear(), nodes.clear(), loads.clear(), backlog.clear(), ready.clear();
        steps_touched.clear(), workers_touched.clear(), sides_with_news.clear();
        turns_due.clear(), expiries.clear(), looks_due.clear();
        history.clear(), conducts.clear();
        config = Config{};
        epoch = Epoch{};
        held = open_jobs = 0;
    }

    // --- what a job's queue says ---

    const Queue* queue_of(const Job& job) const { return config.find_exact(job.fixed.host, job.fixed.prefix); }
    std::uint32_t attempts_most(const Job& job) const {
        const Queue* queue = queue_of(job);
        return queue ? queue->attempts_most : job.fixed.attempts_most;
    }
    const std::string& service_of(const Job& job) const {
        const Queue* queue = queue_of(job);
        return queue ? queue->service : job.fixed.service;
    }
    std::int64_t least_priority() const {
        std::int64_t least = std::numeric_limits<std::int64_t>::max();
        for (const Queue& queue : config.queues)
            least = std::min(least, queue.priority);
        return least;
    }
    // From now on `next` is in force: it moves queues to other services and priorities.
    void put_in_force(const Config& next, Micros wall) {
        const Config before = std::exchange(config, next);
        std::map<std::string, bool> moved;  // by queue
        for (auto& [id, entry] : jobs) {
            if (!entry.open) continue;
            count_turn(entry, wall);
            auto [place, fresh] = moved.try_emplace(entry.queue());
            if (fresh) place->second = route_service(before, entry.job) != route_service(config, entry.job);
            if (place->second) touch_steps(entry);
        }
        for (auto& [queue, each] : backlog)
            for (const Queue& known : config.queues)
                if (known.host + "|" + known.prefix == queue)
                    each.service = known.service, each.priority = known.priority;
        plan_wanted = true;
    }

    // --- open jobs ---

    // The job counts from now on; to be called once a majority has it.
    void open(JobEntry& entry, Micros wall) {
        if (entry.open || entry.job.ended()) return;
        entry.open = true;
        ++open_jobs;
        QueueBacklog& queue = backlog[entry.queue()];
        queue.service = service_of(entry.job);
        const double work = work_of(entry, room_of(entry.job)).core_seconds;
        mean_work.note(entry.queue(), work);
        entry.turn = size_turns.takes_turn(entry.queue(), work);
        queue.priority = turn_of(entry, wall).standing.level;
        ++queue.pending;
        for (const Time& time : entry.job.moving.times)
            add_progress(entry, time);
        count_turn(entry, wall);
    }
    // An ended job stays known for its whole time from now on. By the steady clock: the time of day may leap, and would
    // take with it what clients may still ask for. A new owner, which can't know when a job ended, gives it all its
    // time again.
    void keep_ended(const std::string& id) { expiries.emplace(now + settings.ended_kept(), id); }
    // An ended job takes part in nothing any more.
    void close(JobEntry& entry) {
        if (!entry.open) return;
        for (auto& [number, steps] : entry.progress)
            for (std::uint32_t step = 0; step < steps.size(); ++step) {
                unlist(entry, number, step);
                count_backlog(entry, steps[step], 0);
            }
        entry.progress.clear();
        entry.open = false;
        --open_jobs;
        --backlog[entry.queue()].pending;
    }
    // A time of the job has begun.
    void time_added(JobEntry& entry, Micros wall) {
        if (!entry.open) return;
        add_progress(entry, entry.job.moving.times.back());
        count_turn(entry, wall);
    }
    // A task has changed: it was placed, or a run of it ended. Costs nothing that grows with the job but for gangs.
    void task_changed(JobEntry& entry, std::uint64_t number, std::uint32_t step, std::uint32_t index, Micros wall) {
        if (!entry.open) return;
        auto found = entry.progress.find(number);
        if (found == entry.progress.end()) return;
        const Time* time = entry.job.find_time(number);
        if (!time) {
            for (std::uint32_t each = 0; each < found->second.size(); ++each) {
                unlist(entry, number, each);
                count_backlog(entry, found->second[each], 0);
            }
            entry.progress.erase(found);
            count_turn(entry, wall);
            return;
        }
        StepProgress& progress = found->second[step];
        std::uint32_t before = progress.unfinished;
        const Step& wanted = entry.job.fixed.spec.steps[step];
        if (wanted.gang)
            for (std::uint32_t member = 0; member < progress.bits.size(); ++member)
                count_task(entry, *time, step, member, progress);
        else
            count_task(entry, *time, step, index, progress);
        list(entry, *time, step);
        if (before != 0 && progress.unfinished == 0) {
            for (std::uint32_t later = step + 1; later < found->second.size(); ++later)
                if (!found->second[later].turn_come) list(entry, *time, later);
            count_turn(entry, wall);
        }
    }
    // What the job can earn has changed, or may have.
    void count_turn(JobEntry& entry, Micros wall) {
        if (!entry.open) return;
        Turn turn = turn_of(entry, wall);
        if (turn.next != 0) turns_due.emplace(turn.next, entry.job.fixed.id);
        if (turn.hope == entry.hope && turn.standing == entry.standing) return;
        entry.hope = turn.hope, entry.priority = turn.standing.level, entry.standing = turn.standing;
        for (const Time& time : entry.job.moving.times)
            if (entry.progress.contains(time.number))
                for (std::uint32_t step = 0; step < time.steps.size(); ++step)
                    list(entry, time, step);
    }
    // How the job stands at its first open time, by the wall clock.
    // Example: Standing standing = state.standing_of(entry);
    Standing standing_of(const JobEntry& entry) {
        const Job& job = entry.job;
        const Queue* queue = queue_of(job);
        Micros target = queue ? queue->target : job.fixed.target;
        double extension = queue ? queue->extension : job.fixed.extension;
        const ServiceRoom room = room_of(job);
        // The longest chain of the whole job, and of what is left of its first open time.
        size_t count = job.fixed.spec.steps.size();
        std::vector<Micros> whole(count), left(count);
        Micros chain = 0;
        Standing standing;
        for (std::uint32_t step = 0; step < count; ++step) {
            ++operations;
            const Step& wanted = job.fixed.spec.steps[step];
            Micros before = 0, before_left = 0;
            for (std::uint32_t earlier : wanted.depends)
                before = std::max(before, whole[earlier]), before_left = std::max(before_left, left[earlier]);
            const Micros usual = durations.expect(entry, step);
            const std::uint64_t open_tasks = unfinished(entry, step);
            const StepTimes whole_step{usual, durations.longest(entry, step, wanted.count)};
            const StepTimes rest{usual, durations.longest(entry, step, open_tasks)};
            whole[step] = before + time_in_share(wanted, wanted.count, whole_step, room, aim_share);
            left[step] = before_left + time_in_share(wanted, open_tasks, rest, room, whole_share);
            chain = std::max(chain, whole[step]);
            standing.rest = std::max(standing.rest, left[step]);
            standing.lasting = standing.lasting || wanted.long_running;
        }
        const Time* time = present_time(entry);
        standing.level = queue ? queue->priority : job.fixed.priority;
        standing.begun = job.timed()
                             ? job.fixed.spec.first_at + Micros(time ? time->number : 0) * job.fixed.spec.interval
                             : job.fixed.accepted_wall;
        standing.due = standing.begun + Micros(extension * double(chain)) + target;
        standing.density = density(entry);
        return standing;
    }
    // What the job earns for each second of its service's room that the rest of it takes.
    double density(const JobEntry& entry) const {
        const ServiceRoom room = room_of(entry.job);
        double worth = job_worth(work_of(entry, room).core_seconds, mean_work.mean(entry.queue()));
        JobWork rest;
        for (std::uint32_t step = 0; step < entry.job.fixed.spec.steps.size(); ++step)
            rest.add(entry.job.fixed.spec.steps[step], unfinished(entry, step), durations.expect(entry, step), room);
        return log_density(worth, rest.room_seconds) + (entry.turn ? turn_bonus : 0);
    }
    void turns_changed(Micros wall) {
        while (!turns_due.empty() && turns_due.begin()->first <= wall) {
            std::string id = turns_due.begin()->second;
            turns_due.erase(turns_due.begin());
            auto found = jobs.find(id);
            if (found == jobs.end() || !found->second.open) continue;
            ++operations;
            count_turn(found->second, wall);
        }
    }

    // --- workers and their room ---

    // The worker's account has changed: what it offers counts for its service.
    void account_changed(WorkerEntry& worker, const WorkerAccount& account) {
        if (worker.counted && worker.account.life == account.life && worker.account.service == account.service &&
            worker.account.cpu == account.cpu && worker.account.memory == account.memory &&
            worker.account.gpu == account.gpu && worker.account.labels == account.labels) {
            if (worker.account != account) worker.account = account;
            return;
        }
        uncount(worker);
        worker.account = account;
        worker.counted = true;
        touch(worker);
        Load& load = loads[account.service];
        load.whole_cpu += account.cpu, load.whole_memory += account.memory;
        for (auto& [name, run] : worker.runs)
            use(load, run, 1);
        count_room(worker);
    }
    // The worker and its runs no longer count for its service.
    void uncount(WorkerEntry& worker) {
        touch(worker);
        if (!worker.counted) return;
        Load& load = loads[worker.account.service];
        load.whole_cpu -= worker.account.cpu, load.whole_memory -= worker.account.memory;
        for (auto& [name, run] : worker.runs)
            use(load, run, -1);
        worker.counted = false;
    }
    RunEntry& add_run(WorkerEntry& worker, JobEntry& entry, const RunName& name, RunState state, Micros now) {
        const Step& step = entry.job.fixed.spec.steps[name.step];
        RunEntry run;
        run.name = name;
        run.cpu = step.cpu;
        run.memory = step.memory;
        run.gpu = step.gpu;
        run.serial = ++last_serial;
        run.state = state;
        run.since = now;
        run.estimate = step.estimate;
        run.priority = entry.job.fixed.priority;
        run.remote = !step.affinity.empty() && std::find(worker.account.labels.begin(), worker.account.labels.end(),
                                                         step.affinity) == worker.account.labels.end();
        worker.cpu_used += run.cpu;
        worker.memory_used += run.memory;
        worker.gpu_used += run.gpu;
        ++held;
        touch(worker);
        const bool was_idle = entry.runs.empty();
        entry.runs[name] = &worker;
        if (was_idle) note_idle_change(entry);
        if (worker.counted) use(loads[worker.account.service], run, 1);
        count_room(worker);
        return worker.runs[name] = run;
    }
    void drop_run(WorkerEntry& worker, const RunName& name) {
        auto found = worker.runs.find(name);
        if (found == worker.runs.end()) return;
        const RunEntry& run = found->second;
        worker.cpu_used -= run.cpu;
        worker.memory_used -= run.memory;
        worker.gpu_used -= run.gpu;
        --held;
        touch(worker);
        if (worker.counted) use(loads[worker.account.service], run, -1);
        if (auto job = jobs.find(name.job); job != jobs.end()) {
            job->second.runs.erase(name);
            if (job->second.runs.empty()) note_idle_change(job->second);
        }
        worker.runs.erase(found);
        count_room(worker);
        plan_wanted = true;
    }
    bool usable(const WorkerEntry& worker, Micros now) const {
        return takes_starts(worker, now) && !conducts.paused(worker.node, now);
    }
    // The same, whatever its machine did lately.
    bool takes_starts(const WorkerEntry& worker, Micros now) const {
        return worker.reconciled && !worker.silent && !worker.account.draining &&
               now - worker.heard_at <= settings.fresh && now >= worker.avoided_until;
    }
    // Whether a task that is placed once is to get a copy elsewhere: its only run is far behind.
    bool wants_copy(const JobEntry& entry, const Time& time, std::uint32_t step, std::uint32_t index) const {
        const Step& wanted = entry.job.fixed.spec.steps[step];
        const Task& task = time.steps[step].tasks[index];
        if (task.done || task.placements.size() != 1 || !wanted.duplicate_ok || wanted.gang) return false;
        RunName name{entry.job.fixed.id, time.number, step, index, task.placements[0].run};
        auto found = entry.runs.find(name);
        if (found == entry.runs.end()) return false;
        auto run = found->second->runs.find(name);
        return run != found->second->runs.end() && run->second.doubled;
    }

    void touch(const WorkerEntry& worker) { workers_touched.insert(worker.account.life); }
    // There is something new to tell the worker's side: an order, an end that is in the record, or that it is to look.
    void note_side_news(const WorkerEntry& worker) {
        if (!worker.node.empty()) sides_with_news.insert(worker.node);
    }
    void mark(JobEntry& entry) {
        if (!entry.dirty) dirty.push_back(entry.job.fixed.id);
        entry.dirty = true;
    }

private:
    struct Turn {
        Hope hope;
        Standing standing;
        Micros next;  // when the hope changes by itself; 0: never
    };
    enum Bits : std::uint8_t { waits = 1, open_task = 2, placed = 4, copy = 8 };

    // Empty where the configuration has no such route.
    static std::string_view route_service(const Config& config, const Job& job) {
        const Queue* queue = config.find_exact(job.fixed.host, job.fixed.prefix);
        return queue ? std::string_view(queue->service) : std::string_view();
    }
    // The planner is to look again at all steps of the job that are ready.
    void touch_steps(const JobEntry& entry) {
        for (const auto& [number, steps] : entry.progress)
            for (std::uint32_t step = 0; step < steps.size(); ++step)
                if (steps[step].listed) steps_touched.insert({entry.job.fixed.id, number, step});
    }
    Turn turn_of(const JobEntry& entry, Micros wall) {
        Standing standing = standing_of(entry);
        Hope hope = hope_of(standing, wall);
        Micros aim = standing.due - standing.begun;
        Micros next = standing.lasting || hope == Hope::none
                          ? 0
                          : standing.begun + (hope == Hope::aim ? 1 : 3) * aim - standing.rest + 1;
        return {hope, standing, next};
    }
    // How many tasks of the step are not done at the job's first open time; all of them before it has one.
    static std::uint64_t unfinished(const JobEntry& entry, std::uint32_t step) {
        const std::uint64_t all = entry.job.fixed.spec.steps[step].count;
        const Time* time = present_time(entry);
        if (!time) return all;
        auto progress = entry.progress.find(time->number);
        if (progress != entry.progress.end()) return progress->second[step].unfinished;
        return time->steps[step].done() ? 0 : all;
    }
    ServiceRoom room_of(const Job& job) const {
        auto load = loads.find(service_of(job));
        if (load == loads.end()) return {};
        return {double(load->second.whole_cpu), double(load->second.whole_memory)};
    }
    // The whole of one occurrence.
    JobWork work_of(const JobEntry& entry, const ServiceRoom& room) const {
        JobWork work;
        for (std::uint32_t step = 0; step < entry.job.fixed.spec.steps.size(); ++step) {
            const Step& wanted = entry.job.fixed.spec.steps[step];
            work.add(wanted, wanted.count, durations.expect(entry, step), room);
        }
        return work;
    }
    // The earliest time that has unfinished tasks; else the latest. The last one before a pause stays in the list.
    static const Time* present_time(const JobEntry& entry) {
        const std::vector<Time>& times = entry.job.moving.times;
        for (const Time& time : times) {
            auto progress = entry.progress.find(time.number);
            if (progress == entry.progress.end()) continue;
            for (const StepProgress& step : progress->second)
                if (step.unfinished != 0) return &time;
        }
        return times.empty() ? nullptr : &times.back();
    }
    void add_progress(JobEntry& entry, const Time& time) {
        auto& steps = entry.progress[time.number];
        steps.assign(time.steps.size(), StepProgress{});
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            StepProgress& progress = steps[step];
            const Step& wanted = entry.job.fixed.spec.steps[step];
            progress.bits.assign(time.steps[step].tasks.size(), 0);
            if (!wanted.long_running) {
                double length = double(durations.expect(entry, step)) / 1e6;
                progress.cpu_each = double(wanted.cpu) * length;
                progress.memory_each = double(wanted.memory) * length;
            }
            for (std::uint32_t index = 0; index < progress.bits.size(); ++index)
                count_task(entry, time, step, index, progress);
        }
        for (std::uint32_t step = 0; step < steps.size(); ++step)
            list(entry, time, step);
    }
    void count_task(const JobEntry& entry, const Time& time, std::uint32_t step, std::uint32_t index,
                    StepProgress& progress) {
        ++operations;
        const Task& task = time.steps[step].tasks[index];
        std::uint8_t bits = 0;
        if (task.waiting()) bits |= waits;
        if (!task.done) bits |= open_task;
        if (!task.placements.empty()) bits |= placed;
        if (wants_copy(entry, time, step, index)) bits |= copy;
        std::uint8_t changed = bits ^ progress.bits[index];
        if (!changed) return;
        progress.bits[index] = bits;
        if (changed & waits) bits& waits ? void(progress.waiting.insert(index)) : void(progress.waiting.erase(index));
        if (changed & copy) bits& copy ? void(progress.copies.insert(index)) : void(progress.copies.erase(index));
        if (changed & open_task) bits& open_task ? ++progress.unfinished : --progress.unfinished;
        if (changed & placed) bits& placed ? ++progress.placed : --progress.placed;
    }
    // Puts the step into the order of what is ready, or takes it out, and counts what waits.
    void list(JobEntry& entry, const Time& time, std::uint32_t step) {
        auto& steps = entry.progress.at(time.number);
        StepProgress& progress = steps[step];
        if (!progress.turn_come)
            progress.turn_come = std::all_of(entry.job.fixed.spec.steps[step].depends.begin(),
                                             entry.job.fixed.spec.steps[step].depends.end(),
                                             [&](std::uint32_t earlier) { return steps[earlier].unfinished == 0; });
        count_backlog(entry, progress, std::int64_t(progress.waiting.size()));
        const bool lasting = entry.job.fixed.spec.steps[step].long_running;
        if (!lasting || !progress.turn_come || progress.waiting.empty())
            progress.idle_since = 0;
        else if (progress.idle_since == 0)
            progress.idle_since = now;
        bool ready_now = progress.turn_come && (!progress.waiting.empty() || !progress.copies.empty());
        if (!ready_now) return unlist(entry, time.number, step);
        StepKey key{entry.job.fixed.id, time.number, step};
        if (!progress.listed) ready.insert(key);
        progress.listed = true;
        steps_touched.insert(std::move(key));
        plan_wanted = true;
    }
    void unlist(JobEntry& entry, std::uint64_t number, std::uint32_t step) {
        StepProgress& progress = entry.progress.at(number)[step];
        if (!progress.listed) return;
        progress.listed = false;
        StepKey key{entry.job.fixed.id, number, step};
        ready.erase(key);
        steps_touched.insert(std::move(key));
    }
    // Work of jobs that can't earn any more keeps nobody out.
    void count_backlog(JobEntry& entry, StepProgress& progress, std::int64_t waiting) {
        QueueBacklog& queue = backlog[entry.queue()];
        std::int64_t was_ready = progress.counted_ready, is_ready = progress.turn_come ? waiting : 0;
        queue.ready += is_ready - was_ready;
        progress.counted_ready = is_ready;
        std::int64_t counts = entry.hope == Hope::none ? 0 : waiting;
        std::int64_t more = counts - progress.counted;
        progress.counted = counts;
        queue.tasks += more;
        queue.cpu += double(more) * progress.cpu_each;
        queue.memory += double(more) * progress.memory_each;
        if (queue.tasks == 0) queue.cpu = queue.memory = 0;  // no rounding stays behind
    }
    // The job's first run has begun, or its last one is over: how long its steps have waited counts from anew.
    void note_idle_change(JobEntry& entry) {
        entry.idle_since = 0;
        for (const auto& [number, steps] : entry.progress)
            for (std::uint32_t step = 0; step < steps.size(); ++step)
                if (steps[step].listed) steps_touched.insert({entry.job.fixed.id, number, step});
    }
    static void use(Load& load, const RunEntry& run, std::int64_t sign) {
        Load::Use& each = load.used[run.priority];
        each.cpu += sign * run.cpu, each.memory += sign * run.memory, each.runs += sign;
    }
    static void count_room(WorkerEntry& worker) {
        worker.free = {worker.account.cpu - worker.cpu_used, worker.account.memory - worker.memory_used,
                       worker.account.gpu - worker.gpu_used};
    }
};

}  // namespace calicostall
