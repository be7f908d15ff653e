// All jobs and workers as the owner sees them. Pure: it proposes to a ledger and is told the time.
#pragma once
#include "common.hpp"
#include "control/jobs/job.hpp"
#include "control/plan/placer.hpp"
#include "control/plan/sense.hpp"
#include "forecast/history.hpp"
#include "control/store/register.hpp"
#include "shared/http/response.hpp"
#include "shared/record/log.hpp"
#include "shared/settings/config.hpp"
#include "shared/wire/frames.hpp"

namespace calicostall {

struct SchedulerSettings {
    Micros hold = seconds(3);           // how long a worker keeps what runs there without news
    Micros hold_margin = milliseconds(250);
    Micros fresh = milliseconds(2500);  // a worker heard later than this gets no start
    Micros status_kept = seconds(120);
    Micros early = 0;
    Micros resend_start = seconds(1);
    size_t jobs_most = 20000;
    Micros stop_grace = milliseconds(900);
    Micros still_least = milliseconds(1500);  // a run without progress for so long stands still
    Micros history_span = 0;              // how long a span of the history is; 0: none is kept
    Micros urgent_memory = seconds(8);  // how fast the peak of urgent work is forgotten
    Micros urgent_length = seconds(4);  // a task this long keeps clear of all of it
    double urgent_most = 0.4;           // at most this share is kept free for it
    PlacerSettings placer;
    // When a hold that was last allowed at `allowed` has surely lapsed (a worker's clock may run 2% slow).
    Micros lapse_after(Micros confirmed) const { return confirmed + hold + hold / 50 + hold_margin; }
};

// What the scheduler needs of the record: proposals that come back committed or not at all.
template <class T>
concept Ledger = requires(T ledger, std::string key, std::optional<std::string> fixed, std::string moving, std::function<void(bool)> told) {
    ledger.propose(key, fixed, moving, told);
    ledger.confirm(key, told);
    ledger.bury(key);
};

enum class RunState { intended, ordered, running, stopping };

// A run that takes room on a worker.
struct RunEntry {
    RunName name;
    std::int64_t cpu = 0, memory = 0, gpu = 0;
    RunState state = RunState::intended;
    bool stop_wanted = false;
    Micros since = 0, ordered_at = 0;
    Micros estimate = 0;
    std::string saved;
    std::int64_t percent = 0;
    std::uint64_t missing = 0;  // reports in a row that did not show it
    std::int64_t priority = 0;
    bool remote = false;        // away from its data
    Micros moved_at = 0;        // when its percent was last seen to rise
    bool doubled = false;       // a copy may run beside it
    bool judged = false;        // it has counted against its worker's pace
};

struct WorkerEntry {
    WorkerAccount account;
    std::string node;
    std::uint64_t incarnation = 0;
    bool placeholder = false;  // known from the record only
    bool reconciled = false;   // it has reported under this owner's fence
    Micros heard_at = 0;
    Micros lapses_at = 0;      // its hold has surely lapsed after this
    Micros avoided_until = 0;
    Micros leaves_at = -1;
    std::uint64_t noted = 0, seen = 0;
    std::map<std::uint64_t, bool> ends;  // numbers noted and whether they are committed
    std::map<RunName, RunEntry> runs;
    std::deque<Order> orders;
    bool look = true;
    Pace pace;
    std::uint64_t era = 1;     // rises with each lapse: orders of an earlier era are void
    bool measurable = true;    // its last report came without a gap before it
    bool silent = false;       // its side gets no answer from it
    std::int64_t cpu_used = 0, memory_used = 0, gpu_used = 0;
};

template <Ledger L>
class Scheduler {
public:
    Scheduler(SchedulerSettings settings, L& ledger) : settings_(settings), ledger_(ledger) {}

    // --- ownership ---

    // A new owner begins with what the record says; nothing starts before the workers have reported.
    void begin(Epoch epoch, const std::map<std::string, Register>& registers, Micros now) {
        end_ownership();
        epoch_ = epoch;
        begun_at_ = now;
        for (const auto& [key, value] : registers) {
            if (key == "config" && !value.moving.empty()) {
                Findings findings;
                config_ = parse_config(value.moving, findings);
            }
            if (!key.starts_with("job/") || value.fixed.empty()) continue;
            auto job = Job::unpacked(value.fixed, value.moving);
            if (!job) {
                counters().add("jobs_unreadable");
                continue;
            }
            JobEntry& entry = jobs_[job->fixed.id];
            entry.job = std::move(*job);
            entry.committed = true;
            index(entry);
            for (const Time& time : entry.job.moving.times)
                for (std::uint32_t step = 0; step < time.steps.size(); ++step)
                    for (std::uint32_t place = 0; place < time.steps[step].tasks.size(); ++place)
                        for (const Placement& placement : time.steps[step].tasks[place].placements) {
                            const std::string& life = entry.job.moving.workers[placement.worker].life;
                            auto [worker, fresh] = workers_.try_emplace(life);
                            if (fresh) {
                                worker->second.node = entry.job.moving.workers[placement.worker].node;
                                worker->second.account.life = life;
                                worker->second.placeholder = true;
                                worker->second.lapses_at = settings_.lapse_after(now);
                            }
                            RunEntry& run = add_run(worker->second, entry, {entry.job.fixed.id, time.number, step, place, placement.run}, RunState::ordered, now);
                            if (!entry.job.wanted(time, step, place, placement.run)) run.stop_wanted = true, run.state = RunState::stopping;
                        }
        }
        plan_wanted_ = true;
    }
    void end_ownership() {
        jobs_.clear();
        active_.clear();
        dirty_.clear();
        workers_.clear();
        nodes_.clear();
        incarnations_.clear();
        ended_.clear();
        config_ = Config{};
        epoch_ = Epoch{};
        last_order_ = 0;
        spans_.clear();
        span_now_ = 0;
        span_whole_ = false;
    }
    const Config& config() const { return config_; }
    const std::map<std::string, WorkerEntry>& workers() const { return workers_; }
    size_t job_count() const { return jobs_.size(); }
    const Job* find_job(const std::string& id) const {
        auto found = jobs_.find(id);
        return found == jobs_.end() ? nullptr : &found->second.job;
    }
    // Example: "jobs_open=31 tasks_waiting=p0:12,p2:40 room_used=cpu:0.71,memory:0.55 workers=11"
    std::string gauges() const {
        std::map<std::int64_t, size_t> waiting, running;
        for (const auto& [rank, id] : active_)
            for (const Time& time : jobs_.at(id).job.moving.times)
                for (size_t step = 0; step < time.steps.size(); ++step)
                    for (const Task& task : time.steps[step].tasks)
                        if (task.waiting() && jobs_.at(id).job.turn_has_come(time, step)) waiting[std::get<0>(rank)]++;
        double cpu = 0, memory = 0, cpu_used = 0, memory_used = 0;
        size_t usable = 0;
        std::string slow, away;
        for (const auto& [life, worker] : workers_) {
            cpu += double(worker.account.cpu), memory += double(worker.account.memory);
            cpu_used += double(worker.cpu_used), memory_used += double(worker.memory_used);
            usable += worker.reconciled && !worker.silent && !worker.account.draining;
            if (!worker.reconciled) away += fmt::format("{}{}", away.empty() ? "" : ",", worker.node.empty() ? life : worker.node + (worker.placeholder ? "(unheard)" : worker.silent ? "(silent)" : ""));
            if (worker.pace.slow()) slow += fmt::format("{}{}:{:.1f}", slow.empty() ? "" : ",", worker.node, worker.pace.value());
            for (const auto& [name, run] : worker.runs) running[run.priority]++;
        }
        std::string text = fmt::format("jobs_open={} tasks_waiting=", active_.size());
        for (const auto& [priority, count] : waiting) text += fmt::format("p{}:{},", priority, count);
        text += " tasks_placed=";
        for (const auto& [priority, count] : running) text += fmt::format("p{}:{},", priority, count);
        text += fmt::format(" room_used=cpu:{:.2f},memory:{:.2f} workers={}/{}", cpu > 0 ? cpu_used / cpu : 0, memory > 0 ? memory_used / memory : 0, usable, workers_.size());
        if (!away.empty()) text += " unreconciled=" + away;
        if (!slow.empty()) text += " slow=" + slow;
        return text;
    }
    // --- reads of a preview: const, nothing can be changed through them ---

    const SchedulerSettings& settings() const { return settings_; }
    template <class Visit>
    void each_open_job(Visit visit) const {
        for (const auto& [id, entry] : jobs_)
            if (entry.committed && !entry.job.ended()) visit(entry.job, [&](std::uint32_t step) { return expect(entry, step); });
    }

    bool anything_held() const {
        for (const auto& [life, worker] : workers_)
            if (!worker.runs.empty()) return true;
        return false;
    }

    // --- calls of clients ---

    using Done = std::function<void(CallFate, Response)>;

    // One table row a call: method, path below the queue, what it does.
    void call(const CallAsk& ask, Micros now, Micros wall, Done done) {
        const Queue* queue = config_.find(ask.host, ask.path);
        if (!queue) return confirmed("config", Response::plain(404), std::move(done));
        std::string id = ask.path.substr(queue->prefix.size());
        if (size_t mark = id.find('?'); mark != std::string::npos) id.resize(mark);
        if (id.empty()) {
            if (ask.method != "GET") return done(CallFate::settled, Response::plain(405));
            return count_pending(*queue, std::move(done));
        }
        if (!valid_job_id(id)) return done(CallFate::settled, problem(400, "id: must be 16 hex digits"));
        if (ask.method == "POST") return accept(*queue, id, ask.body, now, wall, std::move(done));
        if (ask.method == "GET") return show(*queue, id, std::move(done));
        if (ask.method == "DELETE") return cancel(*queue, id, wall, std::move(done));
        done(CallFate::settled, Response::plain(405));
    }

    // The operator's new configuration.
    void put_config(const CallAsk& ask, Done done) {
        Findings findings;
        Config config = parse_config(ask.body, findings);
        if (findings.empty() && config.revision == config_.revision && same_json(config.text, config_.text))
            return confirmed("config", Response::plain(200), std::move(done));
        if (!findings.empty()) return confirmed("config", problem(400, findings.text()), std::move(done));
        std::optional<std::uint64_t> base;
        if (!ask.if_match.empty()) {
            std::string digits = ask.if_match;
            std::erase(digits, '"');
            if (digits.empty() || !std::all_of(digits.begin(), digits.end(), [](char letter) { return letter >= '0' && letter <= '9'; }) || digits.size() > 18)
                return done(CallFate::settled, problem(400, "If-Match: must be a whole number"));
            base = std::stoull(digits);
        }
        if (!base || *base != config_.revision) return confirmed("config", problem(412, fmt::format("If-Match: version {} is current", config_.revision)), std::move(done));
        if (config.revision <= config_.revision)
            return confirmed("config", problem(400, fmt::format("revision: must be above {}", config_.revision)), std::move(done));
        std::string text = config.text;
        config_ = std::move(config);
        counters().add("configs_taken");
        ledger_.propose("config", std::nullopt, text, [done](bool committed) {
            done(committed ? CallFate::settled : CallFate::doubtful, Response::plain(committed ? 200 : 504));
        });
        plan_wanted_ = true;
    }
    void get_config(Done done) {
        if (config_.revision == 0) return confirmed("config", Response::later(404, 1), std::move(done));
        confirmed("config", Response::json(200, config_.text), std::move(done));
    }

    // --- sides ---

    // What a side says; the answer is made by `answer_side` when there is something to tell.
    void take_side(const SideAsk& ask, Micros now, Micros wall) {
        // What an earlier process of the side said late, or an ask that was overtaken, tells nothing new.
        Incarnation& incarnation = incarnations_[ask.node];
        if (ask.incarnation != incarnation.present) {
            if (std::find(incarnation.past.begin(), incarnation.past.end(), ask.incarnation) != incarnation.past.end()) return;
            incarnation.past.push_back(incarnation.present);
            if (incarnation.past.size() > 32) incarnation.past.pop_front();
            incarnation.present = ask.incarnation;
            incarnation.number = 0;
        }
        if (ask.number < incarnation.number) return;
        incarnation.number = ask.number;
        for (const std::string& life : ask.over) end_life(life, now, wall), ended_.insert(life);
        if (!ask.worker) {
            nodes_.erase(ask.node);
            return;
        }
        const std::string& life = ask.worker->life;
        if (ended_.contains(life)) return;
        // One machine has one worker: another life there means that the earlier one is over.
        std::vector<std::string> earlier;
        for (const auto& [other, worker] : workers_)
            if (worker.node == ask.node && other != life) earlier.push_back(other);
        for (const std::string& other : earlier) end_life(other, now, wall);
        nodes_[ask.node] = life;
        WorkerEntry& worker = workers_[life];
        bool restarted = worker.incarnation != ask.incarnation;
        if (worker.placeholder || restarted) {
            // Orders given to an earlier process of the side are given again: a start is the same start.
            worker.placeholder = false;
            worker.reconciled = false;
            worker.look = true;
            worker.incarnation = ask.incarnation;
            worker.orders.clear();
        }
        worker.node = ask.node;
        worker.account = *ask.worker;
        worker.silent = ask.silent;
        worker.heard_at = now;
        worker.leaves_at = ask.worker->leaves_in < 0 ? -1 : now + ask.worker->leaves_in;
        if (ask.epoch == epoch_)
            while (!worker.orders.empty() && worker.orders.front().number <= ask.taken) worker.orders.pop_front();
        for (const OrderResult& result : ask.results) take_result(worker, result, now);
        if (ask.report && ask.report->life == life && ask.report->fence == epoch_) take_report(worker, *ask.report, now, wall);
        plan_wanted_ = true;
    }
    // `confirmed_at`: when a majority surely still followed this owner.
    SideAnswer answer_side(const std::string& node, Micros confirmed_at, Micros now) {
        SideAnswer answer;
        answer.served = true;
        answer.epoch = epoch_;
        auto known = nodes_.find(node);
        if (known == nodes_.end()) return answer;
        WorkerEntry& worker = workers_[known->second];
        answer.life = known->second;
        answer.era = worker.era;
        // A worker that answers nobody gets no longer hold: what runs there must lapse.
        answer.allowance = worker.silent ? 0 : std::max<Micros>(0, confirmed_at + settings_.hold - now);
        if (answer.allowance > 0) worker.lapses_at = std::max(worker.lapses_at, settings_.lapse_after(confirmed_at));
        answer.seen = worker.seen;
        answer.look = worker.look;
        answer.orders.assign(worker.orders.begin(), worker.orders.end());
        return answer;
    }
    // Whether a waiting ask should be answered now.
    bool has_news(const std::string& node, Epoch epoch, std::uint64_t taken, std::uint64_t seen_told) const {
        auto known = nodes_.find(node);
        if (known == nodes_.end()) return false;
        const WorkerEntry& worker = workers_.at(known->second);
        if (epoch != epoch_ || worker.seen > seen_told || worker.look) return true;
        return !worker.orders.empty() && worker.orders.back().number > taken;
    }
    std::uint64_t seen_of(const std::string& node) const {
        auto known = nodes_.find(node);
        return known == nodes_.end() ? 0 : workers_.at(known->second).seen;
    }

    // --- time ---

    // Lapses, due times and placements; to be called at least every few milliseconds while anything moves.
    void tick(Micros now, Micros wall, Micros confirmed_at) {
        for (auto place = workers_.begin(); place != workers_.end();) {
            auto next = std::next(place);
            WorkerEntry& worker = place->second;
            if (!worker.runs.empty() && now > worker.lapses_at) lapse(worker, now, wall);
            else if (worker.reconciled && now - worker.heard_at > settings_.lapse_after(0)) worker.reconciled = false, worker.look = true;
            if (worker.runs.empty() && now - worker.heard_at > seconds(30) && !worker.node.empty() && nodes_[worker.node] != place->first) workers_.erase(place);
            place = next;
        }
        if (now >= next_upkeep_) upkeep(now, wall);
        begin_due(wall);
        if (plan_wanted_ && now >= next_plan_) {
            plan_wanted_ = false;
            next_plan_ = now + milliseconds(2);
            plan(now, wall, confirmed_at);
        }
        flush();
    }
    // When `tick` has something to do at the latest.
    Micros next_tick(Micros now, Micros wall) const {
        Micros next = now + milliseconds(50);
        if (plan_wanted_) next = std::min(next, std::max(now, next_plan_));
        if (!due_.empty()) next = std::min(next, now + std::max<Micros>(0, due_.begin()->first - wall));
        return next;
    }

private:
    struct JobEntry {
        Job job;
        Micros moved_at = 0;     // when a run of it was last moved
        bool committed = false;  // a majority has it; only then anything starts
        bool dirty = false;
        std::vector<std::function<void()>> after;  // run once the present change is committed
        std::map<std::uint32_t, std::pair<Micros, std::uint32_t>> took;  // step -> durations seen, in all and how many
    };
    struct Share {
        double cpu = 0, memory = 0;
        void add(const Share& more) { cpu += more.cpu, memory += more.memory; }
    };
    struct Load {
        double whole_cpu = 0, whole_memory = 0;
        std::map<std::int64_t, Share> used, peak;  // by priority, as shares of the whole
        Micros at = 0;
    };
    struct Incarnation {
        std::uint64_t present = 0, number = 0;
        std::deque<std::uint64_t> past;
    };
    using Rank = std::tuple<std::int64_t, Micros, std::string>;

    Response problem(int code, const std::string& text) { return Response::json(code, boost::json::serialize(boost::json::object{{"error", text}})); }
    static bool same_json(const std::string& left, const std::string& right) {
        if (left == right) return true;
        boost::system::error_code first, second;
        auto one = boost::json::parse(left, first), two = boost::json::parse(right, second);
        return !first && !second && one == two;
    }
    static std::string key_of(const std::string& id) { return "job/" + id; }
    void confirmed(const std::string& key, Response response, Done done) {
        ledger_.confirm(key, [response = std::move(response), done = std::move(done)](bool sure) {
            if (sure) done(CallFate::settled, response);
            else done(CallFate::elsewhere, Response::later(503, 1));
        });
    }
    bool same_queue(const Job& job, const Queue& queue) const { return job.fixed.host == queue.host && job.fixed.prefix == queue.prefix; }

    void accept(const Queue& queue, const std::string& id, const std::string& body, Micros now, Micros wall, Done done) {
        if (auto found = jobs_.find(id); found != jobs_.end()) {
            if (!same_queue(found->second.job, queue)) return confirmed(key_of(id), problem(409, "id: is taken by another queue"), std::move(done));
            ledger_.confirm(key_of(id), [done](bool sure) {
                done(sure ? CallFate::settled : CallFate::doubtful, Response::plain(sure ? 200 : 504));
            });
            return;
        }
        Findings findings;
        JobSpec spec = parse_job(body, {}, findings);
        if (!findings.empty()) {
            counters().add("jobs_invalid");
            return done(CallFate::settled, problem(400, findings.text()));
        }
        if (jobs_.size() >= settings_.jobs_most) {
            counters().add("jobs_refused");
            return done(CallFate::settled, Response::later(429, 1));
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
        JobEntry& entry = jobs_[id];
        entry.job = Job::accept(std::move(fixed));
        (void)now;
        counters().add("jobs_accepted");
        ledger_.propose(key_of(id), entry.job.packed_fixed(), entry.job.packed_moving(), [this, id, done](bool committed) {
            if (committed) {
                auto found = jobs_.find(id);
                if (found != jobs_.end()) {
                    found->second.committed = true;
                    if (!found->second.job.timed()) note_arrival(found->second);
                    index(found->second);
                    plan_wanted_ = true;
                }
            }
            done(committed ? CallFate::settled : CallFate::doubtful, Response::plain(committed ? 200 : 504));
        });
    }
    void show(const Queue& queue, const std::string& id, Done done) {
        auto found = jobs_.find(id);
        if (found == jobs_.end() || !same_queue(found->second.job, queue)) return confirmed(key_of(id), Response::plain(410), std::move(done));
        flush_one(found->second);
        confirmed(key_of(id), Response::json(200, fmt::format("{{\"phase\":\"{}\"}}", found->second.job.phase())), std::move(done));
    }
    void cancel(const Queue& queue, const std::string& id, Micros wall, Done done) {
        auto found = jobs_.find(id);
        if (found == jobs_.end() || !same_queue(found->second.job, queue)) return confirmed(key_of(id), Response::plain(410), std::move(done));
        JobEntry& entry = found->second;
        if (!entry.job.ended()) {
            entry.job.cancel(wall);
            after_change(entry);
            flush_one(entry);
            counters().add("jobs_cancelled");
        }
        ledger_.confirm(key_of(id), [done](bool sure) { done(sure ? CallFate::settled : CallFate::doubtful, Response::plain(sure ? 200 : 504)); });
    }
    void count_pending(const Queue& queue, Done done) {
        size_t pending = 0;
        for (const auto& [rank, id] : active_) {
            const Job& job = jobs_.at(id).job;
            pending += same_queue(job, queue) && !job.ended();
        }
        confirmed("config", Response::json(200, fmt::format("{{\"pending\":{}}}", pending)), std::move(done));
    }

    // --- the jobs' order ---

    void index(JobEntry& entry) {
        if (!entry.job.ended()) active_[{entry.job.fixed.priority, entry.job.fixed.accepted_wall, entry.job.fixed.id}] = entry.job.fixed.id;
        if (auto due = entry.job.next_due()) due_.emplace(*due, entry.job.fixed.id);
    }
    void unindex(JobEntry& entry) { active_.erase({entry.job.fixed.priority, entry.job.fixed.accepted_wall, entry.job.fixed.id}); }
    void begin_due(Micros wall) {
        while (!due_.empty() && due_.begin()->first <= wall) {
            std::string id = due_.begin()->second;
            due_.erase(due_.begin());
            auto found = jobs_.find(id);
            if (found == jobs_.end() || found->second.job.ended()) continue;
            auto due = found->second.job.next_due();
            if (!due) continue;
            if (*due <= wall) {
                found->second.job.add_time();
                note_arrival(found->second);
                mark(found->second);
                plan_wanted_ = true;
                due = found->second.job.next_due();
            }
            if (due) due_.emplace(*due, id);
        }
    }

    // --- history ---

    double accelerators(const Step& step) const { return double(step.gpu) + double(step.cpu) / 1000 / cores_per_accelerator; }
    void note_arrival(JobEntry& entry) {
        if (settings_.history_span == 0) return;
        QueueSpan& span = spans_[queue_key(entry.job)];
        span.priority = entry.job.fixed.priority;
        for (std::uint32_t step = 0; step < entry.job.fixed.spec.steps.size(); ++step) {
            const Step& wanted = entry.job.fixed.spec.steps[step];
            if (!wanted.long_running) span.arrived += accelerators(wanted) * wanted.count * double(expect(entry, step)) / 1e6;
        }
    }
    void note_use(const RunEntry& run, JobEntry& entry, Micros now) {
        if (settings_.history_span == 0 || run.ordered_at == 0) return;
        spans_[queue_key(entry.job)].used += accelerators(entry.job.fixed.spec.steps[run.name.step]) * double(now - run.ordered_at) / 1e6;
    }
    void note_waiting(Micros passed) {
        if (settings_.history_span == 0) return;
        for (const auto& [rank, id] : active_) {
            JobEntry& entry = jobs_.at(id);
            QueueSpan& span = spans_[queue_key(entry.job)];
            span.priority = entry.job.fixed.priority;
            for (const Time& time : entry.job.moving.times)
                for (size_t step = 0; step < time.steps.size(); ++step)
                    for (const Task& task : time.steps[step].tasks)
                        if (task.waiting() && entry.job.turn_has_come(time, step)) span.waited += double(passed) / 1e6;
        }
    }
    // Writes the spans that are over to the log, from where `forecast` reads them.
    void tell_history(Micros wall) {
        if (settings_.history_span == 0) return;
        std::int64_t span = wall / settings_.history_span;
        if (span == span_now_) return;
        double fleet = 0;
        for (const auto& [life, worker] : workers_)
            if (!worker.placeholder) fleet += double(worker.account.gpu) + double(worker.account.cpu) / 1000 / cores_per_accelerator;
        for (auto& [queue, each] : spans_) {
            each.span = span_now_;
            each.length = settings_.history_span;
            each.queue = queue;
            each.fleet = fleet;
            each.whole = span_whole_;
            if (span_now_ != 0) log_line("history", "{}", each.line());
        }
        span_whole_ = span_now_ != 0;
        span_now_ = span;
        spans_.clear();
        for (const Queue& queue : config_.queues) spans_[queue.host + "|" + queue.prefix].priority = queue.priority;
    }

    // --- changes ---

    void mark(JobEntry& entry) {
        if (!entry.dirty) dirty_.push_back(entry.job.fixed.id);
        entry.dirty = true;
    }
    void after_change(JobEntry& entry) {
        mark(entry);
        if (!entry.job.ended()) return;
        unindex(entry);
        for (auto& [life, worker] : workers_)
            for (auto& [name, run] : worker.runs)
                if (name.job == entry.job.fixed.id) want_stop(worker, run);
    }
    void flush_one(JobEntry& entry) {
        if (!entry.dirty) return;
        entry.dirty = false;
        auto after = std::make_shared<std::vector<std::function<void()>>>(std::move(entry.after));
        entry.after.clear();
        ledger_.propose(key_of(entry.job.fixed.id), std::nullopt, entry.job.packed_moving(), [after](bool committed) {
            if (committed)
                for (auto& each : *after) each();
        });
    }
    void flush() {
        std::vector<std::string> ids;
        ids.swap(dirty_);
        for (const std::string& id : ids)
            if (auto found = jobs_.find(id); found != jobs_.end()) flush_one(found->second);
    }

    // --- runs ---

    RunEntry& add_run(WorkerEntry& worker, JobEntry& entry, const RunName& name, RunState state, Micros now) {
        const Step& step = entry.job.fixed.spec.steps[name.step];
        RunEntry run;
        run.name = name;
        run.cpu = step.cpu;
        run.memory = step.memory;
        run.gpu = step.gpu;
        run.state = state;
        run.since = now;
        run.estimate = step.estimate;
        run.priority = entry.job.fixed.priority;
        run.remote = !step.affinity.empty() && std::find(worker.account.labels.begin(), worker.account.labels.end(), step.affinity) == worker.account.labels.end();
        worker.cpu_used += run.cpu;
        worker.memory_used += run.memory;
        worker.gpu_used += run.gpu;
        return worker.runs[name] = run;
    }
    void drop_run(WorkerEntry& worker, const RunName& name) {
        auto found = worker.runs.find(name);
        if (found == worker.runs.end()) return;
        worker.cpu_used -= found->second.cpu;
        worker.memory_used -= found->second.memory;
        worker.gpu_used -= found->second.gpu;
        worker.runs.erase(found);
    }
    void give_order(WorkerEntry& worker, Order order) {
        // One counter for all workers: a side that meets a new life has taken none of its orders yet.
        order.number = ++last_order_;
        order.life = worker.account.life;
        worker.orders.push_back(std::move(order));
    }
    void order_start(const std::string& life, const RunName& name, Micros now) {
        auto found = workers_.find(life);
        auto job = jobs_.find(name.job);
        if (found == workers_.end() || job == jobs_.end()) return;
        auto run = found->second.runs.find(name);
        if (run == found->second.runs.end() || run->second.stop_wanted) return;
        Task* task = job->second.job.find_task(name);
        if (!task) return;
        run->second.state = RunState::ordered;
        run->second.ordered_at = now;
        give_order(found->second, {0, OrderKind::start, {}, name.task(), name.run, job->second.job.fixed.spec.text, task->saved});
    }
    void want_stop(WorkerEntry& worker, RunEntry& run) {
        if (run.stop_wanted) return;
        run.stop_wanted = true;
        bool never_left = run.state == RunState::intended;
        run.state = RunState::stopping;
        // An intent that has not become an order is stopped all the same: the order is not given any more.
        (void)never_left;
        give_order(worker, {0, OrderKind::stop, {}, run.name.task(), run.name.run, {}, {}});
        counters().add("stops_ordered");
    }
    std::uint32_t attempts_most(const Job& job) const {
        const Queue* queue = config_.find_exact(job.fixed.host, job.fixed.prefix);
        return queue ? queue->attempts_most : job.fixed.attempts_most;
    }
    // The one place where a run leaves a worker; returns the job it changed.
    JobEntry* end_run(WorkerEntry& worker, const RunName& name, End how, const std::string& saved, Micros wall, Micros now) {
        if (how == End::done) note_duration(worker, name, now);
        if (auto run = worker.runs.find(name); run != worker.runs.end())
            if (auto job = jobs_.find(name.job); job != jobs_.end()) note_use(run->second, job->second, now);
        drop_run(worker, name);
        auto found = jobs_.find(name.job);
        if (found == jobs_.end()) return nullptr;
        JobEntry& entry = found->second;
        bool had_ended = entry.job.ended();
        if (!entry.job.end(name, worker.account.life, how, saved, attempts_most(entry.job), wall)) return nullptr;
        counters().add(how == End::done ? "runs_done" : how == End::failed ? "runs_failed" : how == End::stopped ? "runs_stopped" : how == End::lapsed ? "runs_lapsed" : how == End::broken ? "runs_broken" : how == End::alone ? "runs_alone" : "runs_lost");
        mark(entry);
        const Step& step = entry.job.fixed.spec.steps[name.step];
        if (entry.job.ended() && !had_ended) {
            after_change(entry);
            counters().add(entry.job.moving.ending == Ending::done ? "jobs_done" : "jobs_failed");
        } else if (step.gang || step.duplicate_ok) {
            stop_rest(entry, name);
        }
        return &entry;
    }
    // The other members of a gang's run, or the other copies of a task that is done.
    void stop_rest(JobEntry& entry, const RunName& name) {
        const Step& step = entry.job.fixed.spec.steps[name.step];
        for (auto& [life, worker] : workers_)
            for (auto& [other, run] : worker.runs) {
                if (other.job != name.job || other.time != name.time || other.step != name.step) continue;
                bool member = step.gang && other.run <= name.run;
                const Task* task = entry.job.find_task(other);
                if (member || (other.index == name.index && task && task->done)) want_stop(worker, run);
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
            if (run.state == RunState::running || run.state == RunState::stopping) {
                if (!active.saved.empty()) run.saved = active.saved;
                if (active.percent > run.percent || run.moved_at == 0) run.moved_at = now;
                run.percent = active.percent;
                judge_progress(worker, run, now);
            }
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
            if (entry) entry->after.push_back([this, life = worker.account.life, number = finished.number] { commit_end(life, number); });
            else commit_end(worker.account.life, finished.number);
        }
        std::set<std::string> stopped(report.stops.begin(), report.stops.end());
        std::vector<RunName> gone;
        for (auto& [name, run] : worker.runs) {
            if (shown.contains(name)) continue;
            if (run.state == RunState::stopping && stopped.contains(fmt::format("{} {}", name.task(), name.run))) gone.push_back(name);
            else if (run.state == RunState::ordered && !worker.reconciled) order_start(worker.account.life, name, now);
            else if (run.state == RunState::stopping && !worker.reconciled)
                give_order(worker, {0, OrderKind::stop, {}, name.task(), name.run, {}, {}});
            else if (run.state == RunState::running && ++run.missing >= 3) want_stop(worker, run);
        }
        // A stop that was answered and a later look without it: it never began, or its end was noted.
        for (const RunName& name : gone) end_run(worker, name, End::stopped, {}, wall, now);
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
        auto found = workers_.find(life);
        if (found == workers_.end()) return;
        WorkerEntry& worker = found->second;
        worker.ends[number] = true;
        while (!worker.ends.empty() && worker.ends.begin()->second) {
            worker.seen = worker.ends.begin()->first;
            worker.ends.erase(worker.ends.begin());
        }
    }
    // Everything that ran on this life is over.
    void clear_runs(WorkerEntry& worker, End how, Micros wall, Micros now) {
        std::vector<RunName> names;
        for (const auto& [name, run] : worker.runs) names.push_back(name);
        for (const RunName& name : names) {
            auto found = worker.runs.find(name);
            if (found == worker.runs.end()) continue;
            std::string saved = found->second.saved;
            end_run(worker, name, how, saved, wall, now);
        }
        worker.orders.clear();
        plan_wanted_ = true;
    }
    void end_life(std::string life, Micros now, Micros wall) {
        auto found = workers_.find(life);
        if (found == workers_.end()) return;
        clear_runs(found->second, End::lost, wall, now);
        if (auto known = nodes_.find(found->second.node); known != nodes_.end() && known->second == life) nodes_.erase(known);
        workers_.erase(found);
        if (ended_.size() > 4000) ended_.clear();
        ended_.insert(life);
        counters().add("lives_ended");
    }
    void lapse(WorkerEntry& worker, Micros now, Micros wall) {
        log_line("scheduler", "the hold of {} on {} has lapsed with {} runs", worker.account.life, worker.node, worker.runs.size());
        worker.reconciled = false;
        worker.look = true;
        ++worker.era;
        clear_runs(worker, End::lapsed, wall, now);
    }
    void upkeep(Micros now, Micros wall) {
        next_upkeep_ = now + milliseconds(250);
        note_waiting(milliseconds(250));
        tell_history(wall);
        for (auto& [life, worker] : workers_) {
            worker.pace.forget(0.02);
            for (auto& [name, run] : worker.runs) tend_run(worker, run, now);
        }
        std::vector<std::string> old;
        for (auto& [id, entry] : jobs_)
            if (entry.job.ended() && wall - entry.job.moving.ended_wall > settings_.status_kept + seconds(30) && !entry.job.has_placements()) old.push_back(id);
        for (const std::string& id : old) {
            jobs_.erase(id);
            ledger_.bury(key_of(id));
        }
        plan_wanted_ = true;
    }

    // --- durations ---

    std::string queue_key(const Job& job) const { return job.fixed.host + "|" + job.fixed.prefix; }
    // How long a task of this step takes on a sound worker near its data.
    Micros expect(const JobEntry& entry, std::uint32_t step) const {
        auto took = entry.took.find(step);
        if (took != entry.took.end() && took->second.second >= 2) return took->second.first / took->second.second;
        auto sense = senses_.find(queue_key(entry.job));
        return (sense == senses_.end() ? QueueSense{} : sense->second).expect(entry.job.fixed.spec.steps[step].estimate);
    }
    void note_duration(WorkerEntry& worker, const RunName& name, Micros now) {
        auto run = worker.runs.find(name);
        auto job = jobs_.find(name.job);
        if (run == worker.runs.end() || job == jobs_.end()) return;
        const Step& step = job->second.job.fixed.spec.steps[name.step];
        Micros took = run->second.ordered_at > 0 ? now - run->second.ordered_at : 0;
        if (took <= 0 || step.long_running || !worker.measurable) return;
        if (run->second.remote) took = Micros(double(took) / settings_.placer.remote_factor);
        Micros expected = expect(job->second, name.step);
        auto& seen = job->second.took[name.step];
        // Only siblings of the same step are a measure; an estimate is too rough to speak against a worker.
        if (seen.second >= 2) worker.pace.note(double(took) / double(expected), 0.2);
        if (worker.pace.slow()) return;  // a slow worker tells nothing of the job
        seen.first += took;
        seen.second++;
        senses_[queue_key(job->second.job)].note(step.estimate, took);
    }
    // A run that takes far longer than its siblings speaks against its worker before it ends.
    void judge_progress(WorkerEntry& worker, RunEntry& run, Micros now) {
        auto job = jobs_.find(run.name.job);
        if (job == jobs_.end() || run.state != RunState::running || run.judged || job->second.job.fixed.spec.steps[run.name.step].long_running) return;
        Micros expected = expect(job->second, run.name.step);
        if (run.remote) expected = Micros(double(expected) * settings_.placer.remote_factor);
        if (run.ordered_at == 0 || !worker.measurable) return;
        Micros elapsed = now - run.ordered_at;
        if (elapsed < expected + milliseconds(200)) return;
        double whole = run.percent > 0 ? double(elapsed) * 100 / double(run.percent) : double(elapsed) * 2;
        if (whole < 2 * double(expected)) return;
        run.judged = true;
        auto took = job->second.took.find(run.name.step);
        bool measured = took != job->second.took.end() && took->second.second >= 2;
        if (measured) worker.pace.note(whole / double(expected), 0.2);
    }

    // Runs that stand still, crawl, or cannot end before their worker leaves are moved or doubled.
    void tend_run(WorkerEntry& worker, RunEntry& run, Micros now) {
        if (run.state != RunState::running || run.stop_wanted || !worker.reconciled || worker.silent) return;
        auto job = jobs_.find(run.name.job);
        if (job == jobs_.end() || job->second.job.ended()) return;
        const Step& step = job->second.job.fixed.spec.steps[run.name.step];
        Micros expected = expect(job->second, run.name.step);
        if (run.remote) expected = Micros(double(expected) * settings_.placer.remote_factor);
        Micros elapsed = now - run.ordered_at;
        Micros left = run.percent > 0 ? elapsed * (100 - run.percent) / run.percent : std::max<Micros>(expected - elapsed, 0);
        if (worker.account.draining && worker.leaves_at >= 0 && !step.gang) {
            Micros room = worker.leaves_at - now;
            if (step.long_running || left > room) {
                counters().add("runs_moved_off_leaving");
                return want_stop(worker, run);
            }
        }
        if (step.long_running || step.gang || run.ordered_at == 0 || run.moved_at == 0) return;
        bool still = now - run.moved_at > std::max(settings_.still_least, expected) && now - worker.heard_at < seconds(1) && elapsed > 2 * expected;
        bool crawls = worker.pace.slow() && elapsed > 2 * expected && left > 2 * (expected + settings_.stop_grace);
        if (!still && !crawls) return;
        if (step.duplicate_ok) {
            if (!run.doubled) counters().add("runs_doubled"), plan_wanted_ = true;
            run.doubled = true;
            return;
        }
        if (now - job->second.moved_at < seconds(2)) return;
        job->second.moved_at = now;
        counters().add(still ? "runs_moved_standing" : "runs_moved_crawling");
        worker.pace.note(6, 0.3);
        want_stop(worker, run);
    }
    // Whether a task that is placed once is to get a copy elsewhere: its only run is far behind.
    bool wants_copy(const Job& job, const Time& time, size_t step, size_t index) const {
        const Task& task = time.steps[step].tasks[index];
        if (task.done || task.placements.size() != 1 || !job.fixed.spec.steps[step].duplicate_ok || job.fixed.spec.steps[step].gang) return false;
        auto worker = workers_.find(job.moving.workers[task.placements[0].worker].life);
        if (worker == workers_.end()) return false;
        auto run = worker->second.runs.find({job.fixed.id, time.number, std::uint32_t(step), std::uint32_t(index), task.placements[0].run});
        return run != worker->second.runs.end() && run->second.doubled;
    }

    // --- placement ---

    // What a job still can earn: all, a part, or nothing any more.
    enum class Hope { aim, late, none };
    struct Turn {
        Hope hope;
        std::int64_t priority;
        Micros order;
        JobEntry* entry;
        auto key() const { return std::tuple(hope == Hope::none, priority, hope, order); }
    };
    Turn turn_of(JobEntry& entry, Micros wall) {
        Job& job = entry.job;
        const Queue* queue = config_.find_exact(job.fixed.host, job.fixed.prefix);
        Micros target = queue ? queue->target : job.fixed.target;
        double extension = queue ? queue->extension : job.fixed.extension;
        std::int64_t priority = queue ? queue->priority : job.fixed.priority;
        // The longest chain of the whole job, and of what is left of its first open time.
        std::vector<Micros> whole(job.fixed.spec.steps.size()), left(whole.size());
        const Time* time = job.moving.times.empty() ? nullptr : &job.moving.times.front();
        Micros chain = 0, rest = 0;
        bool lasting = false;
        for (std::uint32_t step = 0; step < whole.size(); ++step) {
            Micros before = 0, before_left = 0;
            for (std::uint32_t earlier : job.fixed.spec.steps[step].depends) before = std::max(before, whole[earlier]), before_left = std::max(before_left, left[earlier]);
            Micros length = expect(entry, step);
            whole[step] = before + length;
            left[step] = before_left + (time && time->steps[step].done() ? 0 : length);
            chain = std::max(chain, whole[step]);
            rest = std::max(rest, left[step]);
            lasting = lasting || job.fixed.spec.steps[step].long_running;
        }
        Micros begun = job.timed() ? job.fixed.spec.first_at + Micros(time ? time->number : 0) * job.fixed.spec.interval : job.fixed.accepted_wall;
        Micros aim = Micros(extension * double(chain)) + target;
        Micros due = begun + aim;
        if (lasting) return {Hope::late, priority, begun, &entry};
        if (wall + rest <= due) return {Hope::aim, priority, due - rest, &entry};
        if (wall + rest <= begun + 3 * aim) return {Hope::late, priority, begun, &entry};
        return {Hope::none, priority, begun, &entry};
    }
    bool has_waiting(const Job& job) const {
        for (const Time& time : job.moving.times)
            for (const StepState& step : time.steps)
                for (const Task& task : step.tasks)
                    if (task.waiting()) return true;
        for (const Time& time : job.moving.times)
            for (size_t step = 0; step < time.steps.size(); ++step)
                if (job.fixed.spec.steps[step].duplicate_ok)
                    for (size_t index = 0; index < time.steps[step].tasks.size(); ++index)
                        if (wants_copy(job, time, step, index)) return true;
        return false;
    }
    void plan(Micros now, Micros wall, Micros confirmed_at) {
        if (confirmed_at < 0 || now - confirmed_at > settings_.hold / 2) return;
        std::vector<Room> rooms;
        for (auto& [life, worker] : workers_) {
            if (!worker.reconciled || worker.silent || worker.account.draining || now - worker.heard_at > settings_.fresh || now < worker.avoided_until) continue;
            rooms.push_back({life, worker.account.service, worker.account.labels, worker.account.cpu - worker.cpu_used, worker.account.memory - worker.memory_used,
                             worker.account.gpu - worker.gpu_used, worker.account.cpu, worker.account.memory, worker.pace.value()});
        }
        if (rooms.empty()) return;
        std::vector<Turn> turns;
        for (const auto& [rank, id] : active_) {
            JobEntry& entry = jobs_.at(id);
            if (entry.committed && !entry.job.ended() && has_waiting(entry.job)) turns.push_back(turn_of(entry, wall));
        }
        measure_urgent(now);
        std::sort(turns.begin(), turns.end(), [](const Turn& left, const Turn& right) { return left.key() < right.key(); });
        for (const Turn& turn : turns) place_job(*turn.entry, turn.priority, rooms, now);
    }
    // What urgent queues use now and used lately: the others leave them room to come back to that.
    void measure_urgent(Micros now) {
        for (auto& [service, load] : loads_) load.whole_cpu = load.whole_memory = 0, load.used.clear();
        for (auto& [life, worker] : workers_) {
            if (worker.placeholder) continue;
            Load& load = loads_[worker.account.service];
            load.whole_cpu += double(worker.account.cpu);
            load.whole_memory += double(worker.account.memory);
        }
        for (auto& [life, worker] : workers_) {
            if (worker.placeholder) continue;
            Load& load = loads_[worker.account.service];
            for (auto& [name, run] : worker.runs) load.used[run.priority].add(share_of(load, run.cpu, run.memory));
        }
        for (auto& [service, load] : loads_) {
            double fade = std::exp(-double(now - load.at) / double(settings_.urgent_memory));
            load.at = now;
            for (auto& [priority, peak] : load.peak) peak.cpu *= fade, peak.memory *= fade;
            for (auto& [priority, used] : load.used) {
                Share& peak = load.peak[priority];
                peak = {std::max(peak.cpu, used.cpu), std::max(peak.memory, used.memory)};
            }
        }
    }
    static Share share_of(const Load& load, std::int64_t cpu, std::int64_t memory) {
        return {load.whole_cpu > 0 ? double(cpu) / load.whole_cpu : 0, load.whole_memory > 0 ? double(memory) / load.whole_memory : 0};
    }
    // How many tasks of this size a queue of this priority may still place.
    size_t tasks_open(Load& load, std::int64_t priority, const Share& each, Micros length) {
        // Short tasks are soon out of the way, only long ones need to leave room.
        double patience = std::clamp(double(length) / double(settings_.urgent_length), 0.0, 1.0);
        Share open{1, 1};
        for (const auto& [other, used] : load.used) open.cpu -= used.cpu, open.memory -= used.memory;
        for (const auto& [other, peak] : load.peak) {
            if (other >= priority) continue;
            const Share& used = load.used[other];
            open.cpu -= patience * std::clamp(peak.cpu - used.cpu, 0.0, settings_.urgent_most);
            open.memory -= patience * std::clamp(peak.memory - used.memory, 0.0, settings_.urgent_most);
        }
        double most = 1e9;
        if (each.cpu > 0) most = std::min(most, open.cpu / each.cpu);
        if (each.memory > 0) most = std::min(most, open.memory / each.memory);
        return most <= 0 ? 0 : size_t(most);
    }
    void place_job(JobEntry& entry, std::int64_t priority, std::vector<Room>& rooms, Micros now) {
        Job& job = entry.job;
        const Queue* queue = config_.find_exact(job.fixed.host, job.fixed.prefix);
        const std::string& service = queue ? queue->service : job.fixed.service;
        const std::int64_t urgent = least_priority();
        for (Time& time : job.moving.times) {
            for (size_t step = 0; step < time.steps.size(); ++step) {
                std::vector<size_t> waiting;
                bool any_placed = false;
                for (size_t index = 0; index < time.steps[step].tasks.size(); ++index) {
                    const Task& task = time.steps[step].tasks[index];
                    if (task.waiting() || wants_copy(job, time, step, index)) waiting.push_back(index);
                    any_placed = any_placed || !task.placements.empty();
                }
                if (waiting.empty() || !job.turn_has_come(time, step)) continue;
                const Step& wanted = job.fixed.spec.steps[step];
                if (wanted.gang && (any_placed || waiting.size() != time.steps[step].tasks.size())) continue;
                std::map<std::string, std::uint32_t> on_worker;
                std::map<size_t, std::string> apart;  // a copy never goes to the worker it is to outrun
                for (size_t index : waiting)
                    if (!time.steps[step].tasks[index].placements.empty()) apart[index] = job.moving.workers[time.steps[step].tasks[index].placements[0].worker].life;
                if (wanted.anti_affinity)
                    for (const Task& task : time.steps[step].tasks)
                        for (const Placement& placement : task.placements) on_worker[job.moving.workers[placement.worker].life]++;
                Load& load = loads_[service];
                Share share = share_of(load, wanted.cpu, wanted.memory);
                if (priority > urgent) {
                    bool first = load.used[priority].cpu <= 0 && load.used[priority].memory <= 0;  // a queue is never shut out wholly
                    size_t most = tasks_open(load, priority, share, expect(entry, std::uint32_t(step)));
                    if (wanted.gang && most < waiting.size() && !first) continue;
                    if (!wanted.gang && waiting.size() > most) waiting.resize(std::max<size_t>(most, first ? 1 : 0));
                    if (waiting.empty()) continue;
                }
                std::vector<std::pair<size_t, std::string>> chosen = place_tasks(settings_.placer, wanted, service, waiting, on_worker, rooms, priority == urgent, apart);
                for (const auto& [index, life] : chosen) {
                    std::uint32_t run = wanted.gang ? 0 : job.next_run(time, step, index);
                    if (wanted.gang) run = gang_run(job, time, step, chosen.front().first == index);
                    job.place(time, step, index, run, {life, workers_.at(life).node});
                    RunName name{job.fixed.id, time.number, std::uint32_t(step), std::uint32_t(index), run};
                    add_run(workers_.at(life), entry, name, RunState::intended, now);
                    load.used[priority].add(share);
                    entry.after.push_back([this, life = life, name, now] { order_start(life, name, now); });
                    counters().add("runs_intended");
                }
                if (!chosen.empty()) mark(entry);
            }
        }
    }
    std::int64_t least_priority() const {
        std::int64_t least = std::numeric_limits<std::int64_t>::max();
        for (const Queue& queue : config_.queues) least = std::min(least, queue.priority);
        return least;
    }
    std::uint32_t gang_run(const Job& job, const Time& time, size_t step, bool first) {
        if (first) gang_run_ = job.next_run(time, step, 0);
        return gang_run_;
    }

    SchedulerSettings settings_;
    L& ledger_;
    Epoch epoch_;
    Micros begun_at_ = 0;
    Config config_;
    std::unordered_map<std::string, JobEntry> jobs_;
    std::map<Rank, std::string> active_;
    std::multimap<Micros, std::string> due_;
    std::vector<std::string> dirty_;
    std::map<std::string, WorkerEntry> workers_;
    std::map<std::string, std::string> nodes_;  // side machine -> life of its worker
    std::map<std::string, Incarnation> incarnations_;
    std::set<std::string> ended_;  // lives known to be over
    std::map<std::string, Load> loads_;
    std::map<std::string, QueueSense> senses_;
    std::map<std::pair<std::string, RunName>, Micros> strangers_;
    bool plan_wanted_ = false;
    Micros next_plan_ = 0, next_upkeep_ = 0;
    std::uint32_t gang_run_ = 0;
    std::uint64_t last_order_ = 0;
    std::map<std::string, QueueSpan> spans_;
    std::int64_t span_now_ = 0;
    bool span_whole_ = false;
};

}  // namespace calicostall
