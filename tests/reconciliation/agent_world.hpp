// The real scheduler and real agents, each with a worker after the protocol, on a network that delays, reorders and
// loses what they say, in virtual time.
#pragma once
#include <random>

#include "agent/agent.hpp"
#include "control/daemon/worker_info_cache.hpp"
#include "reconciliation/protocol_worker.hpp"
#include "scheduler_fixture.hpp"

namespace calicostall::tests {

// What the network does with a call or its answer while there is trouble, in percent of all.
struct NetworkTrouble {
    int late_percent = 0;
    int lost_percent = 0;
};

class AgentWorld {
public:
    static constexpr size_t machine_count = 2;

    AgentWorld(std::uint64_t seed, size_t max_listed_ends)
        : dice_(seed), scheduler_settings_(make_settings(max_listed_ends)), fixture_(scheduler_settings_) {
        ProtocolWorker::Settings worker_settings;
        worker_settings.max_listed_ends = max_listed_ends;
        fixture_.now = clock_.now();
        fixture_.accept_revisions_up_to(1);
        for (size_t number = 0; number < machine_count; ++number) {
            machines_[number].worker =
                std::make_unique<ProtocolWorker>(clock_, fmt::format("i-{}", number), worker_settings, history_);
            loops()[number].join(clock_, [this, number](const ClientRequest& request, const ResponseHandler& respond) {
                deliver(number, request, respond);
            });
            start_agent(number);
        }
        tick_leader();
        for (size_t number = 0; number < machine_count; ++number)
            send_heartbeats(number);
        run_for(seconds(2));
    }
    ~AgentWorld() {
        for (VirtualLoop& loop : loops())
            loop.end_process();
    }
    AgentWorld(const AgentWorld&) = delete;
    AgentWorld& operator=(const AgentWorld&) = delete;

    void run_for(Micros duration) { clock_.run_until(clock_.now() + duration); }
    void set_trouble(NetworkTrouble trouble) { trouble_ = trouble; }

    // --- clients ---

    // @param task_ms  how long each task takes; 0: until it is stopped
    void submit(std::uint32_t task_count, std::int64_t task_ms) {
        if (!leader_is_up_) return;
        const std::string id = fmt::format("{:016x}", ++submitted_);
        const std::string body =
            fmt::format(R"({{"job_spec":"{}","steps":[{{"count":{},"cpu":1000,"estimate_ms":{}{}}}]}})", task_ms,
                        task_count, task_ms, task_ms == 0 ? R"(,"long_running":true)" : "");
        fixture_.now = clock_.now();
        if (fixture_.call("POST", "/a/" + id, body) == 200) (task_ms == 0 ? lasting_ : ending_).insert(id);
    }
    // Cancels the nth of the jobs that were accepted.
    void cancel(size_t nth) {
        std::vector<std::string> ids(lasting_.begin(), lasting_.end());
        ids.insert(ids.end(), ending_.begin(), ending_.end());
        if (!ids.empty()) cancel(ids[nth % ids.size()]);
    }
    void cancel_lasting() {
        for (const std::string& id : std::set<std::string>(lasting_))
            cancel(id);
    }

    // --- faults ---

    void kill_agent(size_t machine, Micros down_for) {
        const size_t number = machine % machine_count;
        loops()[number].end_process();
        machines_[number].agent.reset();
        const std::uint64_t kill = ++machines_[number].kills;
        clock_.schedule(down_for, [this, number, kill] {
            if (kill == machines_[number].kills) start_agent(number);
        });
    }
    void freeze_agent(size_t machine, Micros duration) {
        const size_t number = machine % machine_count;
        loops()[number].freeze();
        clock_.schedule(duration, [number] { loops()[number].wake(); });
    }
    void kill_leader(Micros down_for, bool sees_uncommitted) {
        if (!leader_is_up_) return;
        leader_is_up_ = false;
        polls_.clear();
        clock_.schedule(down_for, [this, sees_uncommitted] {
            fixture_.now = clock_.now();
            fixture_.change_leader(sees_uncommitted);
            worker_infos_ = {};
            leader_is_up_ = true;
        });
    }

    // --- what is wrong ---

    // Rules that hold at any moment.
    std::vector<std::string> broken_rules() const {
        std::vector<std::string> found = violations_;
        std::map<std::string, std::vector<const RunHistory*>> by_task;
        for (const RunHistory& run : history_)
            by_task[run.task].push_back(&run);
        for (const auto& [task, runs] : by_task)
            for (size_t first = 0; first < runs.size(); ++first)
                for (size_t second = first + 1; second < runs.size(); ++second)
                    if (const char* rule = broken_by(*runs[first], *runs[second]))
                        found.push_back(
                            fmt::format("{}: runs {} and {} of {}", rule, runs[first]->run, runs[second]->run, task));
        return found;
    }
    // What has to hold once the system was left alone: everything has ended, and nothing goes on being asked for.
    // Jobs that last have to be cancelled before.
    std::vector<std::string> unsettled(Micros quiet_span) {
        std::vector<std::string> found;
        const std::uint64_t calls_before = worker_calls();
        run_for(quiet_span);
        if (worker_calls() != calls_before) found.emplace_back("workers are asked for ever");
        for (const std::string& id : ending_)
            if (phase(id) != "done") found.push_back("job " + id + " is " + phase(id));
        for (const std::string& id : cancelled_)
            if (phase(id) != "cancelled" && phase(id) != "done") found.push_back("job " + id + " is " + phase(id));
        for (Machine& machine : machines_) {
            for (const std::string& task : machine.worker->active_tasks())
                found.push_back("still active: " + task);
            if (machine.worker->unacknowledged_ends() > 0) found.emplace_back("ends that nobody acknowledged");
        }
        for (const auto& [worker_id, worker] : fixture_.scheduler.workers())
            if (!worker.runs.empty()) found.push_back("the leader keeps runs of " + worker_id);
        return found;
    }

private:
    struct Machine {
        std::unique_ptr<ProtocolWorker> worker;
        std::unique_ptr<Agent> agent;
        std::uint64_t heartbeats = 0;
        std::uint64_t kills = 0;
    };
    struct WaitingPoll {
        AgentPollRequest request;
        Micros expires_at = 0;
        ResponseHandler respond;
    };
    static constexpr Micros tick_interval = milliseconds(5);
    static constexpr Micros heartbeat_interval = milliseconds(500);
    static constexpr Micros max_poll_wait = milliseconds(1000);
    static constexpr Micros max_usual_delay = milliseconds(3);
    static constexpr Micros max_late_delay = milliseconds(600);

    // An event loop is never freed, so each machine's serves one world after another.
    static std::array<VirtualLoop, machine_count>& loops() {
        static std::array<VirtualLoop, machine_count> loops;
        return loops;
    }
    static SchedulerSettings make_settings(size_t max_listed_ends) {
        SchedulerSettings settings;
        settings.max_listed_ends = max_listed_ends;
        return settings;
    }
    Micros draw(Micros low, Micros high) { return low + Micros(dice_() % std::uint64_t(high - low + 1)); }
    bool chance(int percent) { return draw(1, 100) <= percent; }
    Micros delay() {
        return chance(trouble_.late_percent) ? draw(milliseconds(20), max_late_delay) : draw(0, max_usual_delay);
    }

    static const char* broken_by(const RunHistory& first, const RunHistory& second) {
        const auto& [earlier, later] =
            first.started_at <= second.started_at ? std::tie(first, second) : std::tie(second, first);
        if (earlier.ended_at < 0 || earlier.ended_at > later.started_at) return "TWICE, at once";
        const bool is_noted = earlier.noted_at >= 0 && !earlier.has_lapsed_since;
        return earlier.outcome == "done" && is_noted ? "TWICE, after an end that was taken note of" : nullptr;
    }
    std::uint64_t worker_calls() const {
        std::uint64_t calls = 0;
        for (const Machine& machine : machines_)
            calls += machine.worker->call_count();
        return calls;
    }
    std::string phase(const std::string& id) const {
        const Job* job = fixture_.scheduler.find_job(id);
        return job ? std::string(job->phase()) : "unknown";
    }
    void cancel(const std::string& id) {
        if (!leader_is_up_) return;
        fixture_.now = clock_.now();
        if (fixture_.call("DELETE", "/a/" + id) != 200) return;
        lasting_.erase(id);
        ending_.erase(id);
        cancelled_.insert(id);
    }

    void start_agent(size_t number) {
        AgentSettings settings;
        settings.machine.node_name = fmt::format("side-{}", number);
        settings.machine.seeds = {"127.0.0.1:1"};
        machines_[number].agent = std::make_unique<Agent>(settings, loops()[number]);
        machines_[number].agent->open();
    }
    void send_heartbeats(size_t number) {
        Machine& machine = machines_[number];
        const std::string body =
            fmt::format(R"({{"service":"svc","address":"127.0.0.1:2","phase":"ready","clock_ms":{},"call_seq":{},)"
                        R"("capacity":{{"cpu":8000,"task_mem_mb":64000,"gpu":0}}}})",
                        machine.worker->clock_ms(), ++machine.heartbeats);
        loops()[number].run_after(0, [this, number, body] {
            Request call;
            call.method = "PUT";
            call.path = "/workers/" + machines_[number].worker->worker_id();
            call.body = body;
            if (machines_[number].agent) machines_[number].agent->handle_request(std::move(call));
        });
        clock_.schedule(heartbeat_interval, [this, number] { send_heartbeats(number); });
    }

    // --- network ---

    void deliver(size_t number, const ClientRequest& request, const ResponseHandler& respond) {
        const std::string path = request.url.substr(request.url.find('/', std::string_view("http://").size()));
        if (path == "/inner/side")
            return clock_.schedule(draw(0, max_usual_delay),
                                   [this, body = request.body, respond] { on_poll(body, respond); });
        if (path != "/hold" && path != "/run-start" && path != "/run-stop") return;  // nobody answers there
        if (chance(trouble_.lost_percent)) return;
        clock_.schedule(delay(), [this, number, path, body = request.body, respond] {
            machines_[number].worker->handle(path, body, [this, respond](int status, const std::string& answer) {
                if (chance(trouble_.lost_percent)) return;
                clock_.schedule(delay(), [respond, status, answer] {
                    respond({ClientResponse::Outcome::answered, status, answer});
                });
            });
        });
    }

    // --- leader ---

    void on_poll(const std::string& body, const ResponseHandler& respond) {
        if (!leader_is_up_) return respond({ClientResponse::Outcome::not_sent, 0, {}});
        auto request = decode<AgentPollRequest>(body);
        if (!request) {
            violations_.emplace_back("an unreadable poll");
            return;
        }
        if (!worker_infos_.resolve(*request)) {
            AgentPollResponse response;
            response.is_from_leader = true;
            response.term = Term{fixture_.term};
            response.needs_worker_info = true;
            return respond({ClientResponse::Outcome::answered, 200, encode(response)});
        }
        fixture_.now = clock_.now();
        fixture_.scheduler.on_agent_poll(*request, clock_.now(), clock_.now());
        if (request->term != Term{fixture_.term}) request->last_received_order = request->acknowledged_end = 0;
        for (WaitingPoll& waiting : polls_)
            if (waiting.request.node == request->node) waiting.expires_at = 0;
        polls_.push_back({std::move(*request), clock_.now() + max_poll_wait, respond});
    }
    void tick_leader() {
        clock_.schedule(tick_interval, [this] { tick_leader(); });
        if (!leader_is_up_) return;
        fixture_.now = clock_.now();
        fixture_.scheduler.tick(clock_.now(), clock_.now(), clock_.now());
        if (chance(50)) fixture_.ledger.commit();
        std::erase_if(polls_, [this](const WaitingPoll& poll) { return answer_if_due(poll); });
    }
    bool answer_if_due(const WaitingPoll& poll) {
        const AgentPollRequest& request = poll.request;
        const bool is_superseded = poll.expires_at == 0;
        if (clock_.now() < poll.expires_at &&
            !fixture_.scheduler.has_update_for(request.node, request.term, request.last_received_order,
                                               request.acknowledged_end))
            return false;
        AgentPollResponse response = fixture_.scheduler.agent_response(request.node, clock_.now(), clock_.now());
        if (is_superseded) response.orders.clear();
        response.deduplicate_specs();
        clock_.schedule(draw(0, max_usual_delay), [respond = poll.respond, body = encode(response)] {
            respond({ClientResponse::Outcome::answered, 200, body});
        });
        return true;
    }

    std::mt19937_64 dice_;
    NetworkTrouble trouble_;
    VirtualClock clock_;
    std::vector<RunHistory> history_;
    std::vector<std::string> violations_;
    SchedulerSettings scheduler_settings_;
    SchedulerFixture fixture_;
    WorkerInfoCache worker_infos_;
    std::vector<WaitingPoll> polls_;
    bool leader_is_up_ = true;
    std::uint64_t submitted_ = 0;
    std::set<std::string> lasting_, ending_, cancelled_;
    std::array<Machine, machine_count> machines_;
};

}  // namespace calicostall::tests
