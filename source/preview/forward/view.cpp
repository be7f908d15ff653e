#include "preview/forward/view.hpp"

#include "preview/forward/estimates.hpp"

namespace calicostall {

namespace {

std::vector<ForwardStep> steps_of(const SnapshotJob& job, const SnapshotTime& time) {
    std::vector<ForwardStep> steps(job.steps.size());
    for (size_t step = 0; step < time.steps.size(); ++step)
        for (const SnapshotTasks& range : time.steps[step]) {
            ForwardTask task;
            task.done = range.done;
            task.failures = range.failures;
            steps[step].tasks.insert(steps[step].tasks.end(), range.count, task);
            if (!range.done) steps[step].open += range.count;
        }
    return steps;
}

}  // namespace

void ForwardView::take() {
    take_config();
    take_jobs();
    take_workers();
    take_changes();
}

void ForwardView::take_config() {
    Findings ignored;
    if (state_.change.config)
        state_.config = *state_.change.config;
    else if (!state_.snapshot.config.empty())
        state_.config = parse_config(state_.snapshot.config, ignored);
    state_.urgent_level = std::numeric_limits<std::int64_t>::max();
    for (const Queue& queue : state_.config.queues)
        state_.urgent_level = std::min(state_.urgent_level, queue.priority);
}

void ForwardView::take_jobs() {
    for (std::uint32_t place = 0; place < state_.snapshot.jobs.size(); ++place)
        take_job(place);
    for (const SnapshotDemand& each : state_.snapshot.demand)
        state_.demand.restore(state_.names.of(each.service), each.level, double(each.cpu), double(each.memory));
}

void ForwardView::take_job(std::uint32_t place) {
    const SnapshotJob& said = state_.snapshot.jobs[place];
    const Queue* queue = state_.config.find_exact(said.host, said.prefix);
    ForwardJob job;
    job.job = &said;
    job.service = state_.names.of(queue ? queue->service : said.service);
    job.level = queue ? queue->priority : said.priority;
    job.attempts_most = queue ? queue->attempts_most : said.attempts_most;
    const double extension = queue ? queue->extension : double(said.extension_thousandths) / 1000;
    const Micros target = queue ? queue->target : said.target;
    job.aim = Micros(extension * double(longest_chain(said))) + target;
    job.next_time = said.next_time;
    for (const SnapshotTime& time : said.times)
        job.times[time.number] = steps_of(said, time);
    state_.jobs.push_back(std::move(job));
    state_.job_by_id[said.id] = place;
    for (const SnapshotFailed& failed : said.failed) {
        const TaskKey key{place, failed.time, failed.step, failed.index};
        state_.failed_on[key].insert(failed.nodes.begin(), failed.nodes.end());
    }
    schedule_next_time(state_, place);
}

void ForwardView::take_workers() {
    for (const SnapshotWorker& said : state_.snapshot.workers)
        workers_.add(said);
    for (size_t worker = 0; worker < state_.snapshot.workers.size(); ++worker)
        for (const SnapshotRun& run : state_.snapshot.workers[worker].runs)
            take_run(worker, run);
    for (const auto& [id, run] : state_.runs)
        runs_.same_end_of_gang(run.gang);
    note_twice();
    for (size_t worker = 0; worker < state_.workers.size(); ++worker)
        take_departure(worker);
}

void ForwardView::take_departure(size_t worker) {
    const SnapshotWorker& said = state_.workers[worker].said;
    if ((said.placeholder || said.silent) && !said.runs.empty())
        state_.events.schedule({state_.start + said.lapses_in, ForwardEventKind::worker_lapses, worker});
    if (said.leaves_in < 0) return;
    const Micros leaves = state_.start + said.leaves_in;
    state_.events.schedule({leaves, ForwardEventKind::worker_leaves, worker});
    workers_.move_off(worker, leaves);
}

void ForwardView::take_run(size_t worker, const SnapshotRun& said) {
    const SnapshotWorker& on = state_.workers[worker].said;
    ForwardRun run;
    run.worker = worker;
    run.room = {said.cpu, said.memory, said.gpu};
    run.was_running = true;
    run.service = state_.names.of(on.service);
    run.level = said.priority;
    run.stopping = said.state == SnapshotRunState::stopping;
    run.backfill = said.backfill;
    run.started = state_.start - std::max<Micros>(said.elapsed, 0);
    auto job = state_.job_by_id.find(said.job);
    run.room_only = job == state_.job_by_id.end() || !state_.jobs[job->second].times.contains(said.time);
    if (!run.room_only) {
        run.key = {job->second, said.time, said.step, said.index};
        describe_run(run, said);
    }
    if (run.stopping) run.ends = state_.start + state_.stop_takes();
    const bool in_doubt = on.placeholder || on.silent;
    if (!run.room_only) account_.was_running(run, in_doubt);
    if (said.doubled && !run.room_only) state_.doubled.insert(run.key);
    const std::uint64_t id = runs_.begin(std::move(run));
    // What is known from the record only goes on, but nobody can say until when.
    if (in_doubt) runs_.forget_end(id);
}

void ForwardView::describe_run(ForwardRun& run, const SnapshotRun& said) {
    const Step& wanted = state_.wanted(run.key);
    if (!wanted.long_running) run.ends = end_of(run, said);
    if (wanted.gang) run.gang = gang_of(run.key, said.run);
    run.copy = said.doubled;
}

Micros ForwardView::end_of(const ForwardRun& run, const SnapshotRun& said) const {
    // As the daemons reckon; what is overdue takes a quarter of its time longer.
    constexpr std::int64_t percent_least = 10;
    constexpr Micros overdue_least = milliseconds(20);
    Micros expected = expected_duration(state_, state_.jobs[run.key.job], run.key.step, run.worker);
    if (said.percent >= percent_least && said.shown > 0) expected = said.shown * 100 / said.percent;
    if (run.started + expected > state_.start) return run.started + expected;
    const Micros elapsed = std::max<Micros>(said.elapsed, 0);
    return state_.start + std::max<Micros>(overdue_least, elapsed / 4);
}

void ForwardView::note_twice() {
    for (const auto& [key, ids] : state_.live)
        if (ids.size() > 1) account_.twice(key, 0, state_.wanted(key).duplicate_ok);
}

void ForwardView::take_changes() {
    for (size_t place = 0; place < state_.change.workers.size(); ++place) {
        const WorkerChange& change = state_.change.workers[place];
        const Micros at = state_.start + change.after;
        if (change.move == WorkerMove::join) {
            state_.events.schedule({at, ForwardEventKind::worker_joins, place});
            continue;
        }
        const ForwardEventKind kind =
            change.move == WorkerMove::drain ? ForwardEventKind::worker_drains : ForwardEventKind::worker_leaves;
        for (size_t worker = 0; worker < state_.workers.size(); ++worker)
            if (state_.workers[worker].said.life == change.name) state_.events.schedule({at, kind, worker});
    }
}

std::uint64_t ForwardView::gang_of(const TaskKey& key, std::uint32_t run) {
    auto [found, fresh] = gangs_.try_emplace({key.job, key.time, key.step, run}, state_.next_gang);
    if (fresh) ++state_.next_gang;
    return found->second;
}

void schedule_next_time(ForwardState& state, std::uint32_t place) {
    const ForwardJob& job = state.jobs[place];
    if (job.job->repeats == 0 || job.next_time >= job.job->repeats) return;
    const Micros due = job.job->first_at + Micros(job.next_time) * job.job->interval;
    state.events.schedule({std::max(due, state.start), ForwardEventKind::time_due, place});
}

}  // namespace calicostall
