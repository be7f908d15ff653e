// All jobs and workers as the owner sees them. Pure: it proposes to a ledger and is told the time.
// What it does is in the modules: calls (clients and operators), runs (workers, orders, reports, lapses),
// planning (what starts where), admission (which new jobs are taken), state (what all of them share).
#pragma once
#include "control/jobs/admission/admission.hpp"
#include "control/jobs/calls/calls.hpp"
#include "control/jobs/planning/planning.hpp"
#include "control/jobs/runs/runs.hpp"
#include "control/store/register.hpp"

namespace calicostall {

template <Ledger L>
class Scheduler {
public:
    Scheduler(SchedulerSettings settings, L& ledger)
        : settings_(settings),
          ledger_(ledger),
          state_(settings),
          runs_(state_),
          planning_(state_),
          admission_(settings),
          calls_(state_, runs_, ledger, [this](JobEntry& entry) { flush_one(entry); }) {}
    Scheduler(const Scheduler&) = delete;

    // --- ownership ---

    // A new owner begins with what the record says; nothing starts before the workers have reported.
    void begin(Epoch epoch, const std::map<std::string, Register>& registers, Micros now) {
        end_ownership();
        state_.epoch = epoch;
        state_.now = now;
        if (state_.tell) state_.tell({RunLine::Event::owner, 0, {}, {}, {}, std::to_string(epoch.value)});
        admission_.begin(now);
        for (const auto& [key, value] : registers) {
            if (key == "config" && !value.moving.empty()) calls_.begin(value);
            if (!key.starts_with("job/") || value.fixed.empty()) continue;
            auto job = Job::unpacked(value);
            if (!job) {
                counters().add("jobs_unreadable");
                continue;
            }
            JobEntry& entry = state_.jobs[job->fixed.id];
            entry.job = std::move(*job);
            entry.committed = true;
            recorded_.push_back(entry.job.fixed.id);
        }
        for (const std::string& id : recorded_)
            take_up(state_.jobs.at(id), now);
        recorded_.clear();
        state_.plan_wanted = true;
        auto published = registers.find("published");
        if (state_.config.revision == 0 ||
            (published != registers.end() && published->second.moving == state_.config.text))
            return;
        // A newer configuration, taken in the meantime, is published by its own commit.
        ledger_.confirm("config", [this, text = state_.config.text](bool sure) {
            if (sure && text == state_.config.text) calls_.publish(text);
        });
    }
    void end_ownership() {
        calls_.end_ownership();
        state_.clear();
        runs_.clear();
        planning_.clear();
        due_.clear();
        promised_ = 0;
    }
    // From now on `tell` hears of what is accepted, starts and ends; the time is its own matter.
    void tell_runs(std::function<void(RunLine)> tell) { state_.tell = std::move(tell); }
    const Config& config() const { return state_.config; }
    const State& state() const { return state_; }
    const Planning& planning() const { return planning_; }
    const std::map<std::string, WorkerEntry>& workers() const { return state_.workers; }
    size_t job_count() const { return state_.jobs.size(); }
    const Job* find_job(const std::string& id) const {
        auto found = state_.jobs.find(id);
        return found == state_.jobs.end() ? nullptr : &found->second.job;
    }
    // Example: "jobs_open=31 tasks_waiting=p0:12,p2:40 room_used=cpu:0.71,memory:0.55 workers=11"
    std::string gauges() const {
        std::string text = fmt::format("jobs_open={} tasks_waiting=", state_.open_jobs);
        for (const auto& [queue, each] : state_.backlog)
            text += fmt::format("p{}:{},", each.priority, each.ready);
        text += " tasks_placed=";
        std::int64_t cpu = 0, memory = 0, cpu_used = 0, memory_used = 0;
        for (const auto& [service, load] : state_.loads) {
            cpu += load.whole_cpu, memory += load.whole_memory;
            for (const auto& [priority, use] : load.used) {
                cpu_used += use.cpu, memory_used += use.memory;
                text += fmt::format("p{}:{},", priority, use.runs);
            }
        }
        size_t usable = 0;
        std::string slow, away, doubted;
        for (const auto& [life, worker] : state_.workers) {
            usable += worker.reconciled && !worker.silent && !worker.account.draining;
            if (!worker.reconciled)
                away += fmt::format("{}{}", away.empty() ? "" : ",",
                                    worker.node.empty() ? life
                                                        : worker.node + (worker.placeholder ? "(unheard)"
                                                                         : worker.silent    ? "(silent)"
                                                                                            : ""));
            if (double trust = state_.conducts.trust(worker.node, worker.heard_at); trust < 0.7)
                doubted += fmt::format("{}{}:{:.1f}", doubted.empty() ? "" : ",", worker.node, trust);
            if (worker.pace.slow())
                slow += fmt::format("{}{}:{:.1f}", slow.empty() ? "" : ",", worker.node, worker.pace.value());
        }
        text += fmt::format(" room_used=cpu:{:.2f},memory:{:.2f} workers={}/{}",
                            cpu > 0 ? double(cpu_used) / double(cpu) : 0,
                            memory > 0 ? double(memory_used) / double(memory) : 0, usable, state_.workers.size());
        if (!away.empty()) text += " unreconciled=" + away;
        if (!slow.empty()) text += " slow=" + slow;
        if (!doubted.empty()) text += " doubted=" + doubted;
        return text;
    }
    bool anything_held() const { return state_.held > 0; }

    // --- what a preview reads; const, and no way to change anything ---

    const SchedulerSettings& settings() const { return settings_; }
    const Conducts& conducts() const { return state_.conducts; }
    template <class See>
    void each_demand(See see) const {
        planning_.each_demand(std::move(see));
    }
    // Calls visit(job, expected, failed) for each open job: expected(step) as learnt, failed by task: the machines
    // where it failed.
    template <class Visit>
    void each_open_job(Visit visit) const {
        for (const auto& [id, entry] : state_.jobs)
            if (entry.committed && !entry.job.ended())
                visit(
                    std::as_const(entry.job), [&](std::uint32_t step) { return state_.durations.expect(entry, step); },
                    std::as_const(entry.failed_on));
    }

    // --- calls of clients ---

    using Done = CallDone;

    // One table row a call: method, path below the queue, what it does.
    void call(const CallAsk& ask, Micros now, Micros wall, Done done) {
        state_.now = now;
        const Queue* queue = state_.config.find(ask.host, ask.path);
        if (!queue) return calls_.confirmed("config", Response::plain(404), std::move(done));
        std::string id = ask.path.substr(queue->prefix.size());
        if (size_t mark = id.find('?'); mark != std::string::npos) id.resize(mark);
        if (id.empty()) {
            if (ask.method != "GET") return calls_.confirmed("config", Response::plain(405), std::move(done));
            return calls_.count_pending(*queue, std::move(done));
        }
        // Of what is no ID here a newer configuration may make one, by a longer prefix.
        if (!valid_job_id(id))
            return calls_.confirmed("config", problem(400, "id: must be 16 hex digits"), std::move(done));
        if (ask.method == "POST") return accept(*queue, id, ask.body, now, wall, std::move(done));
        if (ask.method == "GET") return calls_.show(*queue, id, std::move(done));
        if (ask.method == "DELETE") return calls_.cancel(*queue, id, wall, std::move(done));
        done(CallFate::settled, Response::plain(405));
    }
    void put_config(const CallAsk& ask, Done done) { calls_.put_config(ask, wall_, std::move(done)); }
    void get_config(Done done) { calls_.get_config(std::move(done)); }

    // --- sides ---

    void take_side(const SideAsk& ask, Micros now, Micros wall) {
        state_.now = now;
        runs_.take(ask, now, wall);
    }
    SideAnswer answer_side(const std::string& node, Micros confirmed_at, Micros now) {
        return runs_.answer(node, confirmed_at, now);
    }
    // The sides for which something new has come up since the last call; whether it is news to them, `has_news` tells.
    std::set<std::string> take_sides_with_news() { return std::exchange(state_.sides_with_news, {}); }
    // Whether a waiting ask should be answered now.
    bool has_news(const std::string& node, Epoch epoch, std::uint64_t taken, std::uint64_t seen_told) const {
        auto known = state_.nodes.find(node);
        if (known == state_.nodes.end()) return false;
        const WorkerEntry& worker = state_.workers.at(known->second);
        if (epoch != state_.epoch || worker.seen > seen_told || worker.look) return true;
        return !worker.orders.empty() && worker.orders.back().number > taken;
    }

    // --- time ---

    // Lapses, due times and placements; to be called at least every few milliseconds while anything moves. Until `wall`
    // is settled nothing is begun by it.
    void tick(Micros now, Micros wall, Micros confirmed_at, bool wall_settled = true) {
        wall_ = wall;
        state_.now = now;
        wall_settled_ = wall_settled;
        confirmed_at_ = confirmed_at;
        admission_.lag.note_tick(promised_, now);
        promised_ = 0;
        runs_.lapses_due(now, wall);
        if (now >= next_upkeep_) upkeep(now, wall);
        if (wall_settled) begin_due(wall);
        if (state_.plan_wanted && now >= next_plan_) {
            next_plan_ = now + plan(now, wall, confirmed_at);
        }
        flush();
    }
    // When `tick` has something to do at the latest.
    Micros next_tick(Micros now, Micros wall) {
        Micros next = now + milliseconds(50);
        if (state_.plan_wanted) next = std::min(next, std::max(now, next_plan_));
        if (wall_settled_ && !due_.empty())
            next = std::min(next, now + std::max<Micros>(0, due_.begin()->first - wall));
        promised_ = next;
        return next;
    }

private:
    // --- new jobs ---

    void accept(const Queue& queue, const std::string& id, const std::string& body, Micros now, Micros wall,
                Done done) {
        if (auto found = state_.jobs.find(id); found != state_.jobs.end()) {
            if (!same_queue(found->second.job, queue))
                return calls_.confirmed(job_key(id), problem(409, "id: is taken by another queue"), std::move(done));
            ledger_.confirm(job_key(id), [done](bool sure) {
                done(sure ? CallFate::settled : CallFate::doubtful, Response::plain(sure ? 200 : 504));
            });
            return;
        }
        if (state_.jobs.size() >= settings_.jobs_most) return refuse(id, Admitted::full, seconds(1), std::move(done));
        Findings findings;
        JobSpec spec = parse_job(body, {}, findings);
        if (!findings.empty()) {
            counters().add("jobs_invalid");
            return done(CallFate::settled, problem(400, findings.text()));
        }
        JobFixed fixed;
        fixed.id = id;
        fixed.host = queue.host;
        fixed.prefix = queue.prefix;
        fixed.service = queue.service;
        fixed.priority = queue.priority;
        fixed.attempts_most = queue.attempts_most;
        fixed.extension = queue.extension;
        fixed.extension_thousandths = std::uint64_t(queue.extension * 1000);
        fixed.target = queue.target;
        fixed.accepted_wall = wall;
        fixed.spec = std::move(spec);
        // Without its majority the owner knows nothing of its own pace: the proposal waits, or is given up.
        const NewJob asked = asked_of(queue, fixed);
        const Load& load = state_.loads[queue.service];
        const Admitted admitted = admission_.admit(asked, state_.jobs.size(), load, state_.backlog, now);
        const bool sure = now - confirmed_at_ < seconds(1);
        if (admitted == Admitted::full || (admitted != Admitted::yes && sure))
            return refuse(id, admitted, admission_.retry_after(asked, load, state_.backlog), std::move(done));
        JobEntry& entry = state_.jobs[id];
        entry.job = Job::accept(std::move(fixed));
        counters().add("jobs_accepted");
        if (calls_.take_early_cancel(id, now)) {
            entry.job.cancel(wall);
            runs_.after_change(entry);
        }
        admission_.lag.proposed(now);
        ledger_.propose(job_key(id), entry.job.packed_fixed(), entry.job.packed_changes(),
                        [this, id, now, wall, done](bool committed) {
                            admission_.lag.committed(now);
                            if (committed) commit_new(id, wall);
                            done(committed ? CallFate::settled : CallFate::doubtful,
                                 Response::plain(committed ? 200 : 504));
                        });
    }
    NewJob asked_of(const Queue& queue, const JobFixed& fixed) {
        JobEntry trial;
        trial.job.fixed = fixed;
        const Standing standing = state_.standing_of(trial);
        return {queue.host + "|" + queue.prefix,
                queue.service,
                queue.priority,
                standing.rest,
                standing.due - standing.begun,
                standing.lasting || fixed.spec.repeats > 0};
    }
    // Rounded up: a client that comes sooner would be refused again.
    static int whole_seconds(Micros time) { return int((time + seconds(1) - 1) / seconds(1)); }
    // Nothing of this job was ever proposed here; that no later owner has taken it either is confirmed by a majority.
    void refuse(const std::string& id, Admitted why, Micros retry_after, Done done) {
        counters().add("jobs_refused");
        counters().add(why == Admitted::full     ? "jobs_refused_full"
                       : why == Admitted::behind ? "jobs_refused_behind"
                                                 : "jobs_refused_no_room");
        calls_.confirmed(job_key(id), Response::later(429, whole_seconds(retry_after)), std::move(done));
    }
    void commit_new(const std::string& id, Micros wall) {
        auto found = state_.jobs.find(id);
        if (found == state_.jobs.end()) return;
        JobEntry& entry = found->second;
        entry.committed = true;
        if (!entry.job.timed()) note_arrival(entry);
        take_in(entry, wall);
        if (state_.tell) tell_accepted(entry);
        state_.plan_wanted = true;
    }
    void tell_accepted(const JobEntry& entry) {
        RunLine line{RunLine::Event::accepted, 0, entry.job.fixed.id, {}, entry.queue(), {}};
        const Standing standing = state_.standing_of(entry);
        line.job = asked_text(entry.job.fixed.spec, standing.due - standing.begun);
        state_.tell(std::move(line));
    }
    void take_in(JobEntry& entry, Micros wall) {
        state_.open(entry, wall);
        if (auto due = entry.job.next_due()) due_.emplace(*due, entry.job.fixed.id);
    }
    // A job of the record: its runs may be on their workers.
    void take_up(JobEntry& entry, Micros now) {
        Job& job = entry.job;
        for (const Time& time : job.moving.times)
            for (std::uint32_t step = 0; step < time.steps.size(); ++step)
                for (std::uint32_t place = 0; place < time.steps[step].tasks.size(); ++place)
                    for (const Placement& placement : time.steps[step].tasks[place].placements)
                        runs_.recorded_run(runs_.recorded_worker(job.moving.workers[placement.worker], now), entry,
                                           time, {job.fixed.id, time.number, step, place, placement.run}, now);
        take_in(entry, wall_);
        if (job.ended()) state_.keep_ended(job.fixed.id);
    }

    // --- time ---

    void begin_due(Micros wall) {
        while (!due_.empty() && due_.begin()->first <= wall) {
            std::string id = due_.begin()->second;
            due_.erase(due_.begin());
            auto found = state_.jobs.find(id);
            if (found == state_.jobs.end() || found->second.job.ended()) continue;
            JobEntry& entry = found->second;
            auto due = entry.job.next_due();
            if (!due) continue;
            if (*due <= wall) {
                entry.job.add_time();
                note_arrival(entry);
                state_.time_added(entry, wall);
                state_.mark(entry);
                state_.plan_wanted = true;
                due = entry.job.next_due();
            }
            if (due) due_.emplace(*due, id);
        }
    }
    void upkeep(Micros now, Micros wall) {
        next_upkeep_ = now + milliseconds(250);
        if (state_.history.on())
            for (const auto& [queue, each] : state_.backlog)
                if (each.ready > 0) state_.history.note_waiting(queue, each.priority, each.ready, milliseconds(250));
        state_.history.tell(wall, state_.config, [this] {
            double fleet = 0;
            for (const auto& [life, worker] : state_.workers)
                if (!worker.placeholder)
                    fleet += double(worker.account.gpu) + double(worker.account.cpu) / 1000 / cores_per_accelerator;
            return fleet;
        });
        runs_.looks_due(now);
        state_.turns_changed(wall);
        admission_.learn(state_.loads, state_.backlog);
        while (!state_.expiries.empty() && state_.expiries.begin()->first < now) {
            std::string id = state_.expiries.begin()->second;
            state_.expiries.erase(state_.expiries.begin());
            auto found = state_.jobs.find(id);
            if (found == state_.jobs.end()) continue;
            // Nor while a change of it is under way: what is to follow its commit would never be done.
            if (found->second.job.has_placements() || found->second.dirty) {
                state_.expiries.emplace(now + seconds(1), id);
                continue;
            }
            state_.jobs.erase(found);
            ledger_.bury(job_key(id));
        }
        state_.plan_wanted = true;
    }
    void note_arrival(JobEntry& entry) {
        if (!state_.history.on()) return;
        for (std::uint32_t step = 0; step < entry.job.fixed.spec.steps.size(); ++step)
            state_.history.note_arrival(entry, step, state_.durations.expect(entry, step));
    }
    // Returns how long the next plan is to wait.
    Micros plan(Micros now, Micros wall, Micros confirmed_at) {
        state_.plan_wanted = false;
        if (confirmed_at < 0 || now - confirmed_at > settings_.hold / 2) return settings_.plan_pause_least;
        auto start = [this, wall](JobEntry& entry, Time& time, std::uint32_t step, std::uint32_t index,
                                  WorkerEntry& worker, bool first, Micros at) -> RunEntry& {
            bool gang = entry.job.fixed.spec.steps[step].gang;
            if (!gang || first) run_ = entry.job.next_run(time, step, index);
            entry.job.place(time, step, index, run_, {worker.account.life, worker.node});
            return runs_.intend(entry, time, step, index, run_, worker, at, wall);
        };
        PlanOutcome outcome = planning_.plan(
            now, wall, start, [this](WorkerEntry& worker, RunEntry& run) { runs_.push_out(worker, run); });
        admission_.lag.plan_finished(outcome.finished, now);
        // What the plan itself has changed calls for no other: it has looked at all that is left.
        state_.plan_wanted = !outcome.finished || outcome.crowded;
        return std::clamp(Micros(outcome.work) * settings_.plan_pause_per_work, settings_.plan_pause_least,
                          settings_.plan_pause_most);
    }

    // --- changes ---

    void flush_one(JobEntry& entry) {
        if (!entry.dirty) return;
        entry.dirty = false;
        auto after = std::make_shared<std::vector<std::function<void()>>>(std::move(entry.after));
        entry.after.clear();
        ledger_.propose(job_key(entry.job.fixed.id), std::nullopt, entry.job.packed_changes(), [after](bool committed) {
            if (committed)
                for (auto& each : *after)
                    each();
        });
    }
    void flush() {
        std::vector<std::string> ids;
        ids.swap(state_.dirty);
        for (const std::string& id : ids)
            if (auto found = state_.jobs.find(id); found != state_.jobs.end()) flush_one(found->second);
    }

    SchedulerSettings settings_;
    L& ledger_;
    State state_;
    Runs runs_;
    Planning planning_;
    Admission admission_;
    Calls<L> calls_;
    std::multimap<Micros, std::string> due_;  // jobs whose next time falls due (wall)
    std::vector<std::string> recorded_;
    bool wall_settled_ = false;
    Micros wall_ = 0, promised_ = 0, confirmed_at_ = 0;
    Micros next_plan_ = 0, next_upkeep_ = 0;
    std::uint32_t run_ = 0;
};

}  // namespace calicostall
