// One leader's scheduler on a ledger that commits when the test says so, with a worker that carries out its orders.
#pragma once
#include "check.hpp"
#include "control/jobs/scheduler.hpp"

namespace calicostall::tests {

constexpr const char* host = "jobs.example";

inline std::string config_text(std::uint64_t revision, const std::string& comment = "a") {
    return fmt::format(R"({{"revision":{},"note":"{}","services":[{{"name":"svc"}}],"routes":[)"
                       R"({{"host":"{}","path_prefix":"/a/","service":"svc"}},)"
                       R"({{"host":"{}","path_prefix":"/b/","service":"svc"}}]}})",
                       revision, comment, host, host);
}

// The HTTP status that the caller sees; 0: no response yet.
inline int code_of(CallOutcome outcome, const Response& response) {
    if (outcome == CallOutcome::completed) return response.code;
    return outcome == CallOutcome::unknown ? 504 : 503;
}
// Whether the caller can't know what became of its call.
constexpr bool is_unclear(int code) {
    return code >= 500;
}

// A ledger that commits or fails all that is pending when the test says so.
struct ManualLedger {
    struct PendingCallback {
        std::string key;
        std::function<void(bool)> callback;
        bool is_proposal;
    };
    std::deque<PendingCallback> pending;
    std::map<std::string, Register> registers;
    std::map<std::string, Register> committed;
    std::vector<std::string> published;

    void propose(const std::string& key, std::optional<std::string> immutable, Mutation mutation,
                 std::function<void(bool)> callback) {
        Register& value = registers[key];
        if (immutable) value.immutable = *immutable;
        value.head = std::move(mutation.head);
        value.apply_chunks(mutation.chunks, mutation.replaces_chunks);
        if (key == "published") published.push_back(value.head);
        if (callback) pending.push_back({key, std::move(callback), true});
    }
    void confirm(const std::string& key, std::function<void(bool)> callback) {
        pending.push_back({key, std::move(callback), false});
    }
    void remove_key(const std::string& key) { registers.erase(key); }
    void commit() {
        committed = registers;
        resolve_all(true);
    }
    // All proposals but those of one key reach a majority.
    void commit_all_but(const std::string& open_key) {
        std::deque<PendingCallback> resolved, open;
        for (PendingCallback& each : pending)
            (each.key == open_key ? open : resolved).push_back(std::move(each));
        for (const auto& [key, value] : registers)
            if (key != open_key) committed[key] = value;
        pending = std::move(resolved);
        resolve_all(true);
        for (PendingCallback& each : open)
            pending.push_back(std::move(each));
    }
    void fail_all() { resolve_all(false); }
    void resolve_all(bool is_committed) {
        while (!pending.empty()) {
            auto callback = std::move(pending.front().callback);
            pending.pop_front();
            callback(is_committed);
        }
    }
};

// A scheduler under one leadership after another.
struct SchedulerFixture {
    ManualLedger ledger;
    Scheduler<ManualLedger> scheduler;
    Micros now = seconds(1000);
    std::uint64_t term = 1;

    explicit SchedulerFixture(SchedulerSettings settings = {}) : scheduler(settings, ledger) {
        scheduler.begin_leadership(Term{term}, ledger.registers, now);
    }
    using ResponseCode = std::shared_ptr<int>;

    ResponseCode send(const std::string& if_match, const std::string& text) {
        auto code = std::make_shared<int>(0);
        scheduler.put_config(
            {"PUT", "", "/config", text, if_match, false},
            [code](CallOutcome outcome, const Response& response) { *code = code_of(outcome, response); });
        return code;
    }
    int put(const std::string& if_match, const std::string& text) {
        ResponseCode response = send(if_match, text);
        ledger.commit();
        return *response;
    }
    int put(std::uint64_t base, std::uint64_t revision, const std::string& comment = "a") {
        return put(std::to_string(base), config_text(revision, comment));
    }
    int call(const std::string& method, const std::string& path, const std::string& body = {}) {
        int code = 0;
        scheduler.handle_call(
            {method, host, path, body, "", false}, now, now,
            [&](CallOutcome outcome, const Response& response) { code = code_of(outcome, response); });
        ledger.commit();
        return code;
    }
    // The leader is deposed; the next one reads either all that was proposed or only what was committed.
    void change_leader(bool sees_uncommitted) {
        ledger.fail_all();
        if (!sees_uncommitted) ledger.registers = ledger.committed;
        scheduler.begin_leadership(Term{++term}, ledger.registers, now);
        ledger.commit();
    }
    void accept_revisions_up_to(std::uint64_t last) {
        for (std::uint64_t revision = 1; revision <= last; ++revision)
            EXPECT(put(revision - 1, revision) == 200);
    }
};

// A worker that carries out its orders at once: every run ends `done` with the next report.
struct InstantWorker {
    SchedulerFixture& fixture;
    std::uint64_t report_number = 0, acknowledged_order = 0;
    std::uint64_t ended_runs = 0;  // how many runs have ended here
    std::map<std::string, std::uint32_t> active = {};
    std::deque<FinishedRun> finished = {};
    std::uint64_t starts = 0;
    std::vector<std::string> stops = {};
    std::string node = "side-1", worker_id = "life-1", service = "svc";

    void report() {
        AgentPollRequest request;
        request.node = node;
        request.agent_incarnation = 1;
        request.sequence = ++report_number;
        request.term = Term{fixture.term};
        request.last_received_order = acknowledged_order;
        request.worker_info = WorkerInfo{worker_id, service, "", "", 16000, 64000, 0, {}, false, -1};
        WorkerStatusReport report;
        report.worker_id = worker_id;
        report.fence = Term{fixture.term};
        for (const auto& [task, run] : active)
            finished.push_back({++ended_runs, task, run, "done", ""});
        active.clear();
        report.finished.assign(finished.begin(), finished.end());
        report.answered_stops = stops;
        request.status_report = report;
        fixture.scheduler.on_agent_poll(request, fixture.now, fixture.now);
        AgentPollResponse response = fixture.scheduler.agent_response(node, fixture.now, fixture.now);
        while (!finished.empty() && finished.front().sequence <= response.acknowledged_end)
            finished.pop_front();
        for (const Order& order : response.orders) {
            if (order.number <= acknowledged_order) continue;
            acknowledged_order = order.number;
            if (order.kind == OrderKind::stop) {
                active.erase(order.task);
                stops.push_back(fmt::format("{} {}", order.task, order.run));
                continue;
            }
            ++starts;
            active[order.task] = order.run;
        }
    }
    // Rounds of a report and a plan; what is proposed for `open_key` stays open.
    void run_rounds(int rounds, const std::string& open_key = {}) {
        for (int round = 0; round < rounds; ++round) {
            fixture.now += seconds(1);
            report();
            fixture.scheduler.tick(fixture.now, fixture.now, fixture.now);
            open_key.empty() ? fixture.ledger.commit() : fixture.ledger.commit_all_but(open_key);
        }
    }
};

}  // namespace calicostall::tests
