// Runs and holds of the workers: orders, results, reports, ends and lapses.
#pragma once
#include "control/jobs/runs/judge.hpp"

namespace calicostall {

class Runs {
public:
    explicit Runs(State& state) : state_(state), judge_(state) {}

    // --- sides ---

    // What a side says; the answer is made by `answer` when there is something to tell.
    void take(const SideAsk& ask, Micros now, Micros wall) {
        if (!newest(ask)) return;
        for (const std::string& life : ask.over)
            end_life(life, now, wall), ended_.insert(life);
        if (!ask.worker) {
            state_.nodes.erase(ask.node);
            return;
        }
        const std::string& life = ask.worker->life;
        if (ended_.contains(life)) return;
        // One machine has one worker: another life there means that the earlier one is over.
        end_other_lives(ask.node, life, now, wall);
        state_.nodes[ask.node] = life;
        auto [place, fresh] = state_.workers.try_emplace(life);
        WorkerEntry& worker = place->second;
        worker.heard_at = now;
        if (fresh) watch(worker, life, now);
        bool restarted = worker.incarnation != ask.incarnation;
        if (worker.placeholder || restarted) {
            // Orders given to an earlier process of the side are given again: a start is the same start.
            worker.placeholder = false;
            worker.reconciled = false;
            worker.look = true;
            worker.incarnation = ask.incarnation;
            worker.orders.clear();
        }
        bool was_usable = state_.usable(worker, now), was_leaving = worker.account.draining;
        if (worker.node != ask.node) state_.touch(worker);
        worker.node = ask.node;
        state_.account_changed(worker, *ask.worker);
        worker.silent = ask.silent;
        worker.leaves_at = ask.worker->leaves_in < 0 ? -1 : now + ask.worker->leaves_in;
        if (worker.account.draining && !was_leaving)
            for (auto& [name, run] : worker.runs)
                state_.looks_due.emplace(now, std::pair(life, name));
        // Without news a worker is slowly trusted again.
        if (now - worker.paced_at >= milliseconds(250)) {
            if (worker.paced_at != 0)
                worker.pace.forget(1 - std::pow(0.98, double(std::min(now - worker.paced_at, seconds(60))) /
                                                          double(milliseconds(250))));
            worker.paced_at = now;
        }
        if (ask.epoch == state_.epoch)
            while (!worker.orders.empty() && worker.orders.front().number <= ask.taken)
                worker.orders.pop_front();
        for (const OrderResult& result : ask.results)
            take_result(worker, result, now);
        if (ask.report && ask.report->life == life && ask.report->fence == state_.epoch)
            take_report(worker, *ask.report, now, wall);
        if (ask.report || !ask.results.empty()) state_.touch(worker);
        if (!was_usable && state_.usable(worker, now)) state_.plan_wanted = true;
    }
    // `confirmed_at`: when a majority surely still followed this owner.
    SideAnswer answer(const std::string& node, Micros confirmed_at, Micros now) {
        SideAnswer answer;
        answer.served = true;
        answer.epoch = state_.epoch;
        auto known = state_.nodes.find(node);
        if (known == state_.nodes.end()) return answer;
        WorkerEntry& worker = state_.workers.at(known->second);
        answer.life = known->second;
        answer.era = worker.era;
        // A worker that answers nobody gets no longer hold: what runs there must lapse.
        answer.allowance = worker.silent ? 0 : std::max<Micros>(0, confirmed_at + state_.settings.hold - now);
        if (answer.allowance > 0)
            worker.lapses_at = std::max(worker.lapses_at, state_.settings.lapse_after(confirmed_at));
        answer.seen = worker.seen;
        answer.look = worker.look;
        answer.orders.assign(worker.orders.begin(), worker.orders.end());
        return answer;
    }

    // --- the record ---

    // A worker that only the record names, at the beginning of an ownership.
    WorkerEntry& recorded_worker(const LifeName& name, Micros now) {
        auto [place, fresh] = state_.workers.try_emplace(name.life);
        WorkerEntry& worker = place->second;
        if (!fresh) return worker;
        worker.node = name.node;
        worker.account.life = name.life;
        worker.placeholder = true;
        worker.lapses_at = state_.settings.lapse_after(now);
        lives_[name.node].insert(name.life);
        watch(worker, name.life, now);
        return worker;
    }
    void recorded_run(WorkerEntry& worker, JobEntry& entry, const Time& time, const RunName& name, Micros now) {
        RunEntry& run = state_.add_run(worker, entry, name, RunState::ordered, now);
        state_.looks_due.emplace(now + milliseconds(250), std::pair(worker.account.life, name));
        if (!entry.job.wanted(time, name.step, name.index, name.run))
            run.stop_wanted = true, run.state = RunState::stopping;
    }
    void clear() {
        incarnations_.clear(), ended_.clear(), lives_.clear(), deadlines_.clear(), strangers_.clear();
        last_order_ = 0;
    }

    // --- starts and stops ---

    // The run is intended from now on; its order leaves once the record has it.
    RunEntry& intend(JobEntry& entry, const Time& time, std::uint32_t step, std::uint32_t index, std::uint32_t run,
                     WorkerEntry& worker, Micros now, Micros wall) {
        RunName name{entry.job.fixed.id, time.number, step, index, run};
        RunEntry& run_entry = state_.add_run(worker, entry, name, RunState::intended, now);
        state_.task_changed(entry, time.number, step, index, wall);
        entry.after.push_back([this, life = worker.account.life, name, now] { order_start(life, name, now); });
        counters().add("runs_intended");
        state_.mark(entry);
        return run_entry;
    }
    // A run makes way for work that goes before it.
    void push_out(WorkerEntry& worker, RunEntry& run) {
        counters().add("runs_pushed_out");
        want_stop(worker, run);
    }
    // The job has ended: nothing of it goes on.
    void stop_job(JobEntry& entry) {
        for (auto& [name, worker] : entry.runs)
            if (auto run = worker->runs.find(name); run != worker->runs.end()) want_stop(*worker, run->second);
    }
    void after_change(JobEntry& entry) {
        state_.mark(entry);
        if (!entry.job.ended()) return;
        state_.close(entry);
        if (state_.tell)
            state_.tell({RunLine::Event::job_ended, 0, entry.job.fixed.id, {}, entry.queue(), entry.job.phase()});
        state_.keep_ended(entry.job.fixed.id);
        stop_job(entry);
    }

    // --- time ---

    void lapses_due(Micros now, Micros wall) {
        while (!deadlines_.empty() && deadlines_.begin()->first < now) {
            auto [at, life] = *deadlines_.begin();
            deadlines_.erase(deadlines_.begin());
            ++state_.operations;
            auto found = state_.workers.find(life);
            if (found == state_.workers.end() || found->second.watched_at != at) continue;
            WorkerEntry& worker = found->second;
            if (!worker.runs.empty() && now > worker.lapses_at)
                lapse(worker, now, wall);
            else if (worker.reconciled && now - worker.heard_at > state_.settings.lapse_after(0))
                doubt(worker);
            auto known = state_.nodes.find(worker.node);
            if (worker.runs.empty() && now - worker.heard_at > seconds(30) && !worker.node.empty() &&
                (known == state_.nodes.end() || known->second != life)) {
                forget(found);
                continue;
            }
            watch(worker, life, std::max(now + milliseconds(50), deadline(worker)));
        }
    }
    void looks_due(Micros now) {
        while (!state_.looks_due.empty() && state_.looks_due.begin()->first <= now) {
            auto [life, name] = state_.looks_due.begin()->second;
            state_.looks_due.erase(state_.looks_due.begin());
            auto found = state_.workers.find(life);
            if (found == state_.workers.end()) continue;
            WorkerEntry& worker = found->second;
            auto place = worker.runs.find(name);
            if (place == worker.runs.end() || place->second.stop_wanted) continue;
            RunEntry& run = place->second;
            switch (judge_.judge(worker, run, now)) {
                case Advice::none:
                    break;
                case Advice::copy:
                    counters().add("runs_doubled");
                    run.doubled = true;
                    if (auto job = state_.jobs.find(name.job); job != state_.jobs.end())
                        state_.task_changed(job->second, name.time, name.step, name.index, 0);
                    break;
                case Advice::leave:
                    counters().add("runs_moved_off_leaving");
                    [[fallthrough]];
                case Advice::move:
                    want_stop(worker, run);
                    break;
            }
            if (!run.stop_wanted) state_.looks_due.emplace(judge_.next_look(run, now), std::pair(life, name));
        }
    }

private:
    void end_other_lives(const std::string& node, const std::string& life, Micros now, Micros wall) {
        const std::set<std::string>& here = lives_[node];
        if (here.size() == 1 && *here.begin() == life) return;
        for (const std::string& other : std::set<std::string>(here))
            if (other != life) end_life(other, now, wall);
        lives_[node].insert(life);
    }
    struct Incarnation {
        std::uint64_t present = 0, number = 0;
        std::deque<std::uint64_t> past;
    };
    // What an earlier process of the side said late, or an ask that was overtaken, tells nothing new.
    bool newest(const SideAsk& ask) {
        Incarnation& incarnation = incarnations_[ask.node];
        if (ask.incarnation != incarnation.present) {
            if (std::find(incarnation.past.begin(), incarnation.past.end(), ask.incarnation) != incarnation.past.end())
                return false;
            incarnation.past.push_back(incarnation.present);
            if (incarnation.past.size() > 32) incarnation.past.pop_front();
            incarnation.present = ask.incarnation;
            incarnation.number = 0;
        }
        if (ask.number < incarnation.number) return false;
        incarnation.number = ask.number;
        return true;
    }
    // When the worker is to be looked at again for a lapse; it may move on meanwhile.
    Micros deadline(const WorkerEntry& worker) const {
        Micros unheard = worker.heard_at + (worker.reconciled ? state_.settings.lapse_after(0) : seconds(30));
        return worker.runs.empty() ? std::min(unheard, worker.heard_at + seconds(30))
                                   : std::min(unheard, worker.lapses_at);
    }
    void watch(WorkerEntry& worker, const std::string& life, Micros at) {
        worker.watched_at = at;
        deadlines_.emplace(at, life);
    }
    void forget(std::map<std::string, WorkerEntry>::iterator place) {
        if (auto here = lives_.find(place->second.node); here != lives_.end()) {
            here->second.erase(place->first);
            if (here->second.empty()) lives_.erase(here);
        }
        state_.uncount(place->second);
        state_.workers.erase(place);
    }
    // What runs there is not known for sure any more: the side is to look.
    void doubt(WorkerEntry& worker) {
        worker.reconciled = false;
        worker.look = true;
        state_.note_side_news(worker);
    }
    void give_order(WorkerEntry& worker, Order order) {
        // One counter for all workers: a side that meets a new life has taken none of its orders yet.
        order.number = ++last_order_;
        order.life = worker.account.life;
        worker.orders.push_back(std::move(order));
        state_.note_side_news(worker);
    }
    void order_start(const std::string& life, const RunName& name, Micros now) {
        auto found = state_.workers.find(life);
        auto job = state_.jobs.find(name.job);
        if (found == state_.workers.end() || job == state_.jobs.end()) return;
        auto run = found->second.runs.find(name);
        if (run == found->second.runs.end() || run->second.stop_wanted) return;
        Task* task = job->second.job.find_task(name);
        if (!task) return;
        // A configuration has moved the queue since this run was intended: the new service's workers are to run it.
        if (found->second.account.service != state_.service_of(job->second.job))
            return want_stop(found->second, run->second);
        run->second.state = RunState::ordered;
        run->second.ordered_at = now;
        if (state_.tell) state_.tell({RunLine::Event::start, 0, name.task(), life, job->second.queue(), {}, name.run});
        state_.looks_due.emplace(judge_.next_look(run->second, now), std::pair(life, name));
        give_order(found->second,
                   {0, OrderKind::start, {}, name.task(), name.run, job->second.job.fixed.spec.text, task->saved});
    }
    void want_stop(WorkerEntry& worker, RunEntry& run) {
        if (run.stop_wanted) return;
        run.stop_wanted = true;
        state_.touch(worker);
        // An intent that has not become an order is stopped all the same: the order is not given any more.
        run.state = RunState::stopping;
        give_order(worker, {0, OrderKind::stop, {}, run.name.task(), run.name.run, {}, {}});
        counters().add("stops_ordered");
    }
    // What an end says of the worker that made it: failing what goes well elsewhere speaks against it.
    void note_conduct(const WorkerEntry& worker, JobEntry& entry, const RunName& name, End how, Micros now) {
        if (how == End::done) return state_.conducts.note(worker.node, false, 0.12, now);
        if (how != End::failed) return;
        state_.conducts.note(worker.node, true, 0.2, now);
        entry.failed_on[{name.time, name.step, name.index}].insert(worker.node);
    }
    // The one place where a run leaves a worker; returns the job it changed.
    JobEntry* end_run(WorkerEntry& worker, const RunName& name, End how, const std::string& saved, Micros wall,
                      Micros now) {
        auto found = state_.jobs.find(name.job);
        if (auto run = worker.runs.find(name); run != worker.runs.end() && found != state_.jobs.end()) {
            if (how == End::done) judge_.note_done(worker, run->second, found->second, now);
            note_conduct(worker, found->second, name, how, now);
            state_.history.note_use(found->second, run->second, now);
        }
        state_.drop_run(worker, name);
        if (found == state_.jobs.end()) return nullptr;
        JobEntry& entry = found->second;
        bool had_ended = entry.job.ended();
        if (!entry.job.end(name, worker.account.life, how, saved, state_.attempts_most(entry.job), wall))
            return nullptr;
        if (state_.tell)
            state_.tell(
                {RunLine::Event::end, 0, name.task(), worker.account.life, entry.queue(), end_text(how), name.run});
        counters().add(how == End::done      ? "runs_done"
                       : how == End::failed  ? "runs_failed"
                       : how == End::stopped ? "runs_stopped"
                       : how == End::lapsed  ? "runs_lapsed"
                       : how == End::broken  ? "runs_broken"
                       : how == End::alone   ? "runs_alone"
                                             : "runs_lost");
        state_.mark(entry);
        const Step& step = entry.job.fixed.spec.steps[name.step];
        if (entry.job.ended()) {
            if (had_ended) return &entry;
            after_change(entry);
            counters().add(entry.job.moving.ending == Ending::done ? "jobs_done" : "jobs_failed");
            return &entry;
        }
        state_.task_changed(entry, name.time, name.step, name.index, wall);
        if (how == End::done) entry.failed_on.erase({name.time, name.step, name.index});
        if (step.gang || step.duplicate_ok) stop_rest(entry, name);
        return &entry;
    }
    // The other members of a gang's run, or the other copies of a task that is done.
    void stop_rest(JobEntry& entry, const RunName& name) {
        const Step& step = entry.job.fixed.spec.steps[name.step];
        RunName first{name.job, name.time, name.step, step.gang ? 0 : name.index, 0};
        for (auto place = entry.runs.lower_bound(first); place != entry.runs.end(); ++place) {
            const RunName& other = place->first;
            if (other.time != name.time || other.step != name.step || (!step.gang && other.index != name.index)) break;
            ++state_.operations;
            bool member = step.gang && other.run <= name.run;
            const Task* task = entry.job.find_task(other);
            if (!member && !(other.index == name.index && task && task->done)) continue;
            if (auto run = place->second->runs.find(other); run != place->second->runs.end())
                want_stop(*place->second, run->second);
        }
    }
    void take_result(WorkerEntry& worker, const OrderResult& result, Micros now) {
        auto name = RunName::parse(result.task, result.run);
        if (!name) return;
        auto found = worker.runs.find(*name);
        if (found == worker.runs.end()) return;
        RunEntry& run = found->second;
        if (result.fate == OrderFate::started) {
            if (run.state == RunState::ordered) {
                run.state = RunState::running;
                run.since = now - result.ago;
                run.ordered_at = run.since;
            }
        } else {
            counters().add(result.reason == "room" ? "starts_without_room" : "starts_turned_away");
            if (result.reason != "old" && result.reason != "draining") worker.avoided_until = now + milliseconds(500);
            // A sick worker turns starts away though it has room.
            if (result.reason != "old" && result.reason != "draining" && result.reason != "room")
                state_.conducts.note(worker.node, true, 0.1, now);
            // What was turned away may have had an earlier try: only a stop and a look make it sure.
            want_stop(worker, run);
        }
    }
    void take_report(WorkerEntry& worker, const HoldReport& report, Micros now, Micros wall) {
        worker.look = false;
        worker.measurable = !report.after_gap;
        std::set<RunName> shown;
        for (const ActiveRun& active : report.active) {
            auto name = RunName::parse(active.task, active.run);
            if (!name) continue;
            shown.insert(*name);
            auto found = worker.runs.find(*name);
            if (found == worker.runs.end()) {
                stop_stranger(worker, *name, now);
                continue;
            }
            RunEntry& run = found->second;
            if (run.state == RunState::ordered) run.state = RunState::running, run.since = now;
            if (run.state == RunState::running || run.state == RunState::stopping)
                judge_.note_shown(worker, run, active, now);
            run.missing = 0;
        }
        for (const FinishedRun& finished : report.finished) {
            if (finished.number <= worker.noted) continue;
            worker.noted = finished.number;
            worker.ends[finished.number] = false;
            auto name = RunName::parse(finished.task, finished.run);
            auto how = parse_end(finished.how);
            JobEntry* entry = name && how ? end_run(worker, *name, *how, finished.saved, wall, now) : nullptr;
            if (name) shown.insert(*name);
            if (entry)
                entry->after.push_back(
                    [this, life = worker.account.life, number = finished.number] { commit_end(life, number); });
            else
                commit_end(worker.account.life, finished.number);
        }
        std::set<std::string> stopped(report.stops.begin(), report.stops.end());
        std::vector<RunName> gone;
        for (auto& [name, run] : worker.runs) {
            if (shown.contains(name)) continue;
            if (run.state == RunState::stopping && stopped.contains(fmt::format("{} {}", name.task(), name.run)))
                gone.push_back(name);
            else if (run.state == RunState::ordered && !worker.reconciled)
                order_start(worker.account.life, name, now);
            else if (run.state == RunState::stopping &&
                     (!worker.reconciled || ++run.missing % 8 == 0))  // the answer to a stop may be lost
                give_order(worker, {0, OrderKind::stop, {}, name.task(), name.run, {}, {}});
            else if (run.state == RunState::running && ++run.missing >= 3)
                counters().add("runs_missing"), want_stop(worker, run);
        }
        // A stop that was answered and a later look without it: it never began, or its end was noted.
        for (const RunName& name : gone)
            end_run(worker, name, End::stopped, {}, wall, now);
        if (!worker.reconciled) watch(worker, worker.account.life, now);
        worker.reconciled = true;
    }
    // A run that the record does not know here (any more).
    void stop_stranger(WorkerEntry& worker, const RunName& name, Micros now) {
        Micros& last = strangers_[{worker.account.life, name}];
        if (last != 0 && now - last < milliseconds(500)) return;
        last = now;
        if (strangers_.size() > 10000) strangers_.clear();
        counters().add("strangers_stopped");
        give_order(worker, {0, OrderKind::stop, {}, name.task(), name.run, {}, {}});
    }
    void commit_end(const std::string& life, std::uint64_t number) {
        auto found = state_.workers.find(life);
        if (found == state_.workers.end()) return;
        WorkerEntry& worker = found->second;
        worker.ends[number] = true;
        while (!worker.ends.empty() && worker.ends.begin()->second) {
            worker.seen = worker.ends.begin()->first;
            worker.ends.erase(worker.ends.begin());
        }
        state_.note_side_news(worker);
    }
    // Everything that ran on this life is over.
    void clear_runs(WorkerEntry& worker, End how, Micros wall, Micros now) {
        std::vector<RunName> names;
        for (const auto& [name, run] : worker.runs)
            names.push_back(name);
        for (const RunName& name : names) {
            auto found = worker.runs.find(name);
            if (found == worker.runs.end()) continue;
            std::string saved = found->second.saved;
            end_run(worker, name, how, saved, wall, now);
        }
        worker.orders.clear();
        state_.plan_wanted = true;
    }
    void end_life(std::string life, Micros now, Micros wall) {
        auto found = state_.workers.find(life);
        if (found == state_.workers.end()) return;
        if (!found->second.runs.empty() && !found->second.account.draining)
            state_.conducts.note_lapse(found->second.node, now);
        if (state_.tell) state_.tell({RunLine::Event::worker_over, 0, {}, life, {}, "ended"});
        clear_runs(found->second, End::lost, wall, now);
        if (auto known = state_.nodes.find(found->second.node); known != state_.nodes.end() && known->second == life)
            state_.nodes.erase(known);
        forget(found);
        if (ended_.size() > 4000) ended_.clear();
        ended_.insert(life);
        counters().add("lives_ended");
    }
    void lapse(WorkerEntry& worker, Micros now, Micros wall) {
        log_line("scheduler", "the hold of {} on {} has lapsed with {} runs", worker.account.life, worker.node,
                 worker.runs.size());
        doubt(worker);
        ++worker.era;
        // A side that is heard all the while lost its hold by the owner's doing, not by its worker's.
        if (worker.silent || now - worker.heard_at > seconds(1)) state_.conducts.note_lapse(worker.node, now);
        if (state_.tell) state_.tell({RunLine::Event::worker_over, 0, {}, worker.account.life, {}, "lapsed"});
        clear_runs(worker, End::lapsed, wall, now);
    }

    State& state_;
    RunJudge judge_;
    std::map<std::string, Incarnation> incarnations_;
    std::set<std::string> ended_;                         // lives known to be over
    std::map<std::string, std::set<std::string>> lives_;  // side machine -> lives known there
    std::multimap<Micros, std::string> deadlines_;        // when a worker is looked at for a lapse
    std::map<std::pair<std::string, RunName>, Micros> strangers_;
    std::uint64_t last_order_ = 0;
};

}  // namespace calicostall
