// One owner's scheduler on a ledger that commits when it is told to, with a worker that carries out its orders.
#pragma once
#include "check.hpp"
#include "control/jobs/scheduler.hpp"

namespace calicostall::tests {

constexpr const char* host = "jobs.example";

inline std::string config_text(std::uint64_t revision, const std::string& note = "a") {
    return fmt::format(R"({{"revision":{},"note":"{}","services":[{{"name":"svc"}}],"routes":[)"
                       R"({{"host":"{}","path_prefix":"/a/","service":"svc"}},)"
                       R"({{"host":"{}","path_prefix":"/b/","service":"svc"}}]}})",
                       revision, note, host, host);
}

// What the caller sees, as the daemon's `control` address says it; 0: nothing yet.
inline int code_of(CallFate fate, const Response& response) {
    if (fate == CallFate::settled) return response.code;
    return fate == CallFate::doubtful ? 504 : 503;
}
constexpr bool unclear(int code) {
    return code >= 500;
}

// --- one owner with a ledger that commits when it is told to ---

struct ManualLedger {
    struct Wait {
        std::string key;
        std::function<void(bool)> callback;
        bool is_proposal;
    };
    std::deque<Wait> waits;
    std::map<std::string, Register> registers;
    std::map<std::string, Register> committed;
    std::vector<std::string> published;

    void propose(const std::string& key, std::optional<std::string> fixed, Patch patch,
                 std::function<void(bool)> callback) {
        Register& value = registers[key];
        if (fixed) value.fixed = *fixed;
        value.moving = std::move(patch.moving);
        value.change(patch.parts, patch.all);
        if (key == "published") published.push_back(value.moving);
        if (callback) waits.push_back({key, std::move(callback), true});
    }
    void confirm(const std::string& key, std::function<void(bool)> callback) {
        waits.push_back({key, std::move(callback), false});
    }
    void bury(const std::string& key) { registers.erase(key); }
    void commit() {
        committed = registers;
        settle(true);
    }
    // All proposals but those of one key reach a majority.
    void commit_all_but(const std::string& open_key) {
        std::deque<Wait> settled, open;
        for (Wait& wait : waits)
            (wait.key == open_key ? open : settled).push_back(std::move(wait));
        for (const auto& [key, value] : registers)
            if (key != open_key) committed[key] = value;
        waits = std::move(settled);
        settle(true);
        for (Wait& wait : open)
            waits.push_back(std::move(wait));
    }
    void give_up() { settle(false); }
    void settle(bool sure) {
        while (!waits.empty()) {
            auto callback = std::move(waits.front().callback);
            waits.pop_front();
            callback(sure);
        }
    }
};

struct Desk {
    ManualLedger ledger;
    Scheduler<ManualLedger> scheduler{{}, ledger};
    Micros now = seconds(1000);
    std::uint64_t epoch = 1;

    Desk() { scheduler.begin(Epoch{epoch}, ledger.registers, now); }
    using Answer = std::shared_ptr<int>;

    Answer send(const std::string& if_match, const std::string& text) {
        auto code = std::make_shared<int>(0);
        scheduler.put_config({"PUT", "", "/config", text, if_match, false},
                             [code](CallFate fate, Response response) { *code = code_of(fate, response); });
        return code;
    }
    int put(const std::string& if_match, const std::string& text) {
        Answer answer = send(if_match, text);
        ledger.commit();
        return *answer;
    }
    int put(std::uint64_t base, std::uint64_t revision, const std::string& note = "a") {
        return put(std::to_string(base), config_text(revision, note));
    }
    int call(const std::string& method, const std::string& path, const std::string& body = {}) {
        int code = 0;
        scheduler.call({method, host, path, body, "", false}, now, now,
                       [&](CallFate fate, Response response) { code = code_of(fate, response); });
        ledger.commit();
        return code;
    }
    // The owner is deposed; the next one reads either all that was proposed or only what was committed.
    void take_over(bool sees_undecided) {
        ledger.give_up();
        if (!sees_undecided) ledger.registers = ledger.committed;
        scheduler.begin(Epoch{++epoch}, ledger.registers, now);
        ledger.commit();
    }
    void take_one_to(std::uint64_t last) {
        for (std::uint64_t revision = 1; revision <= last; ++revision)
            EXPECT(put(revision - 1, revision) == 200);
    }
};

// A worker that carries out what it is told at once: every run ends `done` with the next report.
struct QuickWorker {
    Desk& desk;
    std::uint64_t number = 0, taken = 0, ends = 0;  // `ends`: how many runs have ended here
    std::map<std::string, std::uint32_t> active = {};
    std::deque<FinishedRun> finished = {};
    std::uint64_t starts = 0;
    std::vector<std::string> stops = {};
    std::string node = "side-1", life = "life-1", service = "svc";

    void report() {
        SideAsk ask;
        ask.node = node;
        ask.incarnation = 1;
        ask.number = ++number;
        ask.epoch = Epoch{desk.epoch};
        ask.taken = taken;
        ask.worker = WorkerAccount{life, service, "", "", 16000, 64000, 0, {}, false, -1};
        HoldReport report;
        report.life = life;
        report.fence = Epoch{desk.epoch};
        for (const auto& [task, run] : active)
            finished.push_back({++ends, task, run, "done", ""});
        active.clear();
        report.finished.assign(finished.begin(), finished.end());
        report.stops = stops;
        ask.report = report;
        desk.scheduler.take_side(ask, desk.now, desk.now);
        SideAnswer answer = desk.scheduler.answer_side(node, desk.now, desk.now);
        while (!finished.empty() && finished.front().number <= answer.seen)
            finished.pop_front();
        for (const Order& order : answer.orders) {
            if (order.number <= taken) continue;
            taken = order.number;
            if (order.kind == OrderKind::stop) {
                active.erase(order.task);
                stops.push_back(fmt::format("{} {}", order.task, order.run));
                continue;
            }
            ++starts;
            active[order.task] = order.run;
        }
    }
    // Rounds of a report and a plan; what is proposed for `open_key` stays undecided.
    void work(int rounds, const std::string& open_key = {}) {
        for (int round = 0; round < rounds; ++round) {
            desk.now += seconds(1);
            report();
            desk.scheduler.tick(desk.now, desk.now, desk.now);
            open_key.empty() ? desk.ledger.commit() : desk.ledger.commit_all_but(open_key);
        }
    }
};

}  // namespace calicostall::tests
