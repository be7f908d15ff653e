// Previews: what a snapshot holds and does not hold, where tasks land, what a change moves, and whether it came true.
#include "preview/command.hpp"

#include <fstream>

#include "control/jobs/scheduler.hpp"
#include "shared/http/listener.hpp"

#include "check.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

constexpr Micros taken_at = seconds(1000000);
const char* const host = "jobs.example";

std::string config_text(std::uint64_t revision, std::int64_t later_priority = 2, std::uint32_t attempts = 3) {
    std::string text = fmt::format(R"({{"revision":{},"services":[{{"name":"match"}}],"routes":[)", revision);
    text += fmt::format(
        R"({{"name":"rider match","host":"{0}","path_prefix":"/m/","service":"match","priority":0,"max_attempts":{1}}},)",
        host, attempts);
    text += fmt::format(
        R"({{"name":"fare settlement","host":"{0}","path_prefix":"/s/","service":"match","priority":1,"max_attempts":{1}}},)",
        host, attempts);
    return text +
           fmt::format(
               R"({{"name":"route pooling","host":"{0}","path_prefix":"/p/","service":"match","priority":{2},"max_attempts":{1}}}]}})",
               host, attempts, later_priority);
}

struct Shop {
    Snapshot snapshot;
    Shop() {
        snapshot.epoch = 7;
        snapshot.wall = taken_at;
        snapshot.config = config_text(5);
        snapshot.fresh = seconds(3);
        snapshot.lapse = seconds(3);
        snapshot.planner = planner_fields(PlannerSettings{});
    }
    SnapshotWorker& worker(const std::string& node, std::int64_t cpu = 4000) {
        SnapshotWorker one;
        one.life = "life-" + node, one.node = node, one.service = "match", one.labels = {"zone", "rack-" + node};
        one.cpu = cpu, one.memory = 64000;
        one.reconciled = true;
        one.place = std::uint32_t(snapshot.workers.size());
        return snapshot.workers.emplace_back(std::move(one));
    }
    // A job of one step; its id ends in its number.
    SnapshotJob& job(const std::string& prefix, std::uint32_t count, std::int64_t cpu, Micros expected) {
        SnapshotJob one;
        one.id = fmt::format("{:016x}", snapshot.jobs.size() + 1);
        one.host = host, one.prefix = prefix, one.service = "match";
        one.priority = prefix == "/m/" ? 0 : prefix == "/s/" ? 1 : 2;
        one.attempts_most = 3;
        one.target = seconds(30);
        one.accepted_wall = taken_at - seconds(1) + Micros(snapshot.jobs.size());
        one.next_time = 1;
        one.times.push_back({0, {}});
        snapshot.jobs.push_back(std::move(one));
        step(snapshot.jobs.back(), count, cpu, expected);
        return snapshot.jobs.back();
    }
    static Step& step(SnapshotJob& job, std::uint32_t count, std::int64_t cpu, Micros expected,
                      std::vector<std::uint32_t> depends = {}) {
        SnapshotStep one;
        one.wanted.count = count, one.wanted.cpu = cpu, one.wanted.memory = 100,
        one.wanted.depends = std::move(depends);
        one.expected = expected;
        job.steps.push_back(one);
        job.times[0].steps.push_back({{count, false, false, 0}});
        return job.steps.back().wanted;
    }
    void run(const std::string& node, const SnapshotJob& job, std::uint32_t index, Micros elapsed,
             std::uint32_t step = 0) {
        for (SnapshotWorker& each : snapshot.workers) {
            if (each.node != node) continue;
            SnapshotRun one;
            const Step& wanted = job.steps[step].wanted;
            one.job = job.id, one.step = step, one.index = index, one.run = 1, one.cpu = wanted.cpu,
            one.memory = wanted.memory, one.priority = job.priority;
            one.state = SnapshotRunState::running, one.elapsed = elapsed;
            each.runs.push_back(one);
        }
    }
    Outlook look(const ProposedChange& change = {}) const { return Forward(snapshot, change, {}).look(); }
};

// Example: "lands 2.000 w1" "waits room" "nowhere label missing"
std::string told(const Snapshot& snapshot, const TaskOutlook& task) {
    if (task.landing != Landing::lands) return fmt::format("{} {}", landing_text(task.landing), task.why);
    std::string node = task.worker;
    for (const SnapshotWorker& worker : snapshot.workers)
        if (worker.life == task.worker) node = worker.node;
    return fmt::format("lands {:.3f} {}", double(task.at) / 1e6, node);
}
std::vector<std::string> told(const Snapshot& snapshot, const Outlook& outlook) {
    std::vector<std::string> all;
    for (const TaskOutlook& task : outlook.tasks)
        all.push_back(told(snapshot, task));
    return all;
}
void expect_told(const std::string& name, const Shop& shop, const std::vector<std::string>& wanted,
                 const ProposedChange& change = {}) {
    std::vector<std::string> got = told(shop.snapshot, shop.look(change));
    EXPECT_SAID(got == wanted,
                fmt::format("{}: {} instead of {}", name, fmt::join(got, "; "), fmt::join(wanted, "; ")));
}
ProposedChange change_of(const Snapshot& snapshot, const std::string& text) {
    ProposedChange change;
    Findings findings;
    read_change(text, "change", &snapshot, planner_names(), change, findings);
    EXPECT_SAID(findings.empty(), findings.text());
    return change;
}

// --- where tasks land ---

void landing() {
    {
        Shop shop;
        shop.worker("w1"), shop.worker("w2");
        shop.job("/m/", 2, 4000, seconds(1));
        expect_told("room for both", shop, {"lands 0.000 w1", "lands 0.000 w2"});
    }
    {
        Shop shop;
        shop.worker("w1");
        shop.job("/m/", 2, 4000, seconds(1));
        expect_told("one after the other", shop, {"lands 0.000 w1", "lands 1.000 w1"});
        EXPECT(shop.look().tasks[1].why == "room");
    }
    {
        Shop shop;
        shop.worker("w1");
        const SnapshotJob held = shop.job("/m/", 1, 4000, seconds(5));
        shop.run("w1", held, 0, seconds(2));
        shop.job("/m/", 1, 4000, seconds(1));
        expect_told("what runs ends first", shop, {"lands 3.000 w1"});
    }
    {
        Shop shop;
        shop.worker("w1");
        SnapshotJob& job = shop.job("/m/", 1, 1000, seconds(1));
        Shop::step(job, 1, 1000, seconds(1), {0});
        expect_told("a dependency", shop, {"lands 0.000 w1", "lands 1.000 w1"});
        EXPECT(shop.look().tasks[1].why == "dependency");
    }
    {
        Shop shop;
        shop.worker("w1");
        SnapshotJob& job = shop.job("/m/", 1, 1000, seconds(1));
        job.times.clear(), job.next_time = 0, job.repeats = 2, job.first_at = taken_at + seconds(2),
                           job.interval = seconds(100);
        expect_told("a due time", shop, {"lands 2.000 w1"});
        EXPECT(shop.look().tasks[0].why == "due time");
    }
    {
        Shop shop;
        shop.worker("w1"), shop.worker("w2");
        const SnapshotJob held = shop.job("/m/", 1, 4000, seconds(3));
        shop.run("w2", held, 0, 0);
        shop.job("/m/", 2, 4000, seconds(1)).steps[0].wanted.gang = true;
        expect_told("a gang waits for all of its room", shop, {"lands 3.000 w1", "lands 3.000 w2"});
        EXPECT(shop.look().tasks[0].why == "gang");
    }
    {
        Shop shop;
        shop.worker("w1"), shop.worker("w2").draining = true, shop.worker("w3").reconciled = false,
                           shop.worker("w4").silent = true;
        shop.job("/m/", 2, 4000, seconds(1));
        expect_told("only workers that take starts; one that is heard of reports soon", shop,
                    {"lands 0.000 w1", "lands 0.500 w3"});
    }
    {
        // A new owner knows some workers from the record only, or none yet: nothing is said to land nowhere.
        Shop shop;
        shop.job("/m/", 1, 4000, seconds(1)).steps[0].wanted.needs = "gpu-9";
        expect_told("no worker heard of", shop, {"waits label"});
        shop.worker("w1");
        expect_told("all workers heard of", shop, {"nowhere label missing"});
        shop.worker("w2").placeholder = true;
        expect_told("one not heard of", shop, {"waits label"});
        EXPECT(preview_text(make_preview(shop.snapshot, {}, {})).find("1 of 2 workers have not been heard of") !=
               std::string::npos);
    }
    {
        Shop shop;
        shop.worker("w1");
        shop.job("/p/", 1, 4000, seconds(1));
        shop.job("/m/", 1, 4000, seconds(1));
        expect_told("the most urgent queue first, whatever came first", shop, {"lands 0.000 w1", "lands 1.000 w1"});
        EXPECT(shop.look().tasks[0].key.job == 1);
    }
}

void nowhere() {
    struct Row {
        const char* name;
        std::function<void(Shop&, SnapshotJob&)> spoil;
        const char* why;
    };
    for (const Row& row :
         {Row{"label", [](Shop&, SnapshotJob&job) { job.steps[0].wanted.needs = "gpu-9"; }, "label missing"},
          Row{"service",
              [](Shop&shop, SnapshotJob&) {
                  for (auto& worker : shop.snapshot.workers)
                      worker.service = "other";
              },
              "service gone"},
          Row{"size", [](Shop&, SnapshotJob&job) { job.steps[0].wanted.cpu = 4001; }, "no worker is large enough"},
          Row{"gang", [](Shop&, SnapshotJob&job) { job.steps[0].wanted.gang = true, job.steps[0].wanted.cpu = 3000; },
              "gang too wide"},
          Row{"attempts", [](Shop&, SnapshotJob&job) { job.times[0].steps[0][0].failures = 3; }, "attempts used up"}}) {
        Shop shop;
        shop.worker("w1"), shop.worker("w2");
        SnapshotJob& job = shop.job("/m/", 3, 1000, seconds(1));
        row.spoil(shop, job);
        std::string wanted = fmt::format("nowhere {}", row.why);
        expect_told(row.name, shop, {wanted, wanted, wanted});
        EXPECT(
            summarize(shop.snapshot, parse_config(shop.snapshot.config, *std::make_unique<Findings>()), shop.look())[0]
                .nowhere == 3);
    }
}

void pushed_aside() {
    Shop shop;
    shop.worker("w1");
    SnapshotJob& pool = shop.job("/p/", 1, 4000, seconds(100));
    pool.steps[0].wanted.checkpoints = true;
    const SnapshotJob held = pool;
    shop.run("w1", held, 0, seconds(25));
    shop.job("/m/", 1, 4000, seconds(4));  // its aim can be kept only if it need not wait
    Outlook outlook = shop.look();
    EXPECT_SAID(!outlook.pushed.empty(), "a long run that keeps its work gives way to a rider match");
    if (outlook.pushed.empty()) return;
    const PushedAside& first = outlook.pushed[0];
    EXPECT(first.key.job == 0 && first.worker == "life-w1" && first.was_running && first.at == 0);
    EXPECT(first.by == "0000000000000002.0.0");
    EXPECT(first.lost >= 0 && first.lost < 4 * 1.0);  // less than a second of its four cores is not in a checkpoint
    EXPECT(outlook.alarms() == 0);
    // The task that gave way lands again, after the urgent one began.
    bool again = false;
    for (const TaskOutlook& task : outlook.tasks)
        again =
            again || (task.key.job == 0 && task.landing == Landing::lands && task.why == "pushed aside" && task.at > 0);
    EXPECT(again);
    std::vector<QueueSummary> queues =
        summarize(shop.snapshot, parse_config(shop.snapshot.config, *std::make_unique<Findings>()), outlook);
    EXPECT(queues.size() == 3 && queues[2].name == "route pooling" && queues[2].pushed >= 1 && queues[1].waiting == 0);
}

void twice() {
    Shop shop;
    shop.worker("w1"), shop.worker("w2"), shop.worker("w3");
    const SnapshotJob job = shop.job("/m/", 1, 1000, seconds(10));
    shop.run("w1", job, 0, seconds(1));
    EXPECT(shop.look().alarms() == 0 && shop.look().twice.empty());
    {
        Shop copies = shop;
        copies.snapshot.jobs[0].steps[0].wanted.duplicate_ok = true;
        copies.snapshot.workers[0].runs[0].doubled = true;
        Outlook outlook = copies.look();
        EXPECT(outlook.alarms() == 0 && outlook.twice.size() == 1 && outlook.twice[0].allowed);
        EXPECT(outlook.tasks.size() == 1 && outlook.tasks[0].copy && outlook.tasks[0].worker != "life-w1");
    }
    shop.run("w2", job, 0, seconds(1));
    Outlook outlook = shop.look();
    EXPECT(outlook.alarms() == 1 && outlook.twice[0].workers == (std::vector<std::string>{"life-w1", "life-w2"}));
    EXPECT(preview_text(make_preview(shop.snapshot, {}, {})).find("ALARM") != std::string::npos);
    // A planner that starts one task twice in one plan is caught as well.
    struct Twofold {
        Plan operator()(const PlanView& view) const {
            Plan plan = make_plan(view);
            std::vector<Start> starts = plan.starts;
            plan.starts.insert(plan.starts.end(), starts.begin(), starts.end());
            return plan;
        }
    };
    Shop clean;
    clean.worker("w1", 64000);
    clean.job("/m/", 1, 1000, seconds(1));
    EXPECT(Forward(clean.snapshot, {}, {}, Twofold{}).look().alarms() == 1);
}

// --- changes ---

void changes() {
    Shop shop;
    shop.worker("w1"), shop.worker("w2");
    const SnapshotJob held = shop.job("/p/", 1, 4000, seconds(4));
    shop.run("w2", held, 0, 0);
    shop.job("/m/", 2, 4000, seconds(1));
    expect_told("as things stand", shop, {"lands 0.000 w1", "lands 1.000 w1"});
    expect_told("drain", shop, {"lands 4.000 w2", "lands 5.000 w2"},
                change_of(shop.snapshot, R"({"workers":[{"drain":"w1"}]})"));
    expect_told(
        "join", shop, {"lands 0.000 w1", "lands 0.500 joining w3"},
        change_of(
            shop.snapshot,
            R"({"workers":[{"join":{"node":"w3","service":"match","cpu":4000,"task_mem_mb":64000},"after_ms":500}]})"));
    // A worker that leaves keeps its run in doubt until its hold has lapsed: it can't land twice.
    Outlook left = shop.look(change_of(shop.snapshot, R"({"workers":[{"leave":"w2","after_ms":1000}]})"));
    bool again = false;
    for (const TaskOutlook& task : left.tasks)
        again = again || (task.key.job == 0 && task.landing == Landing::lands && task.at >= seconds(4));
    EXPECT(again && left.alarms() == 0 && left.pushed.size() == 1 && left.pushed[0].by == "its worker leaves" &&
           left.pushed[0].lost > 3.9);
    // A configuration that makes route pooling the most urgent.
    Shop order;
    order.worker("w1");
    order.job("/p/", 1, 4000, seconds(1));
    order.job("/s/", 1, 4000, seconds(1));
    ProposedChange change;
    Findings findings;
    read_configuration(config_text(6, 0), "next.json", &order.snapshot, change, findings);
    EXPECT_SAID(findings.empty(), findings.text());
    Preview preview = make_preview(order.snapshot, change, {});
    EXPECT(preview.stands.tasks[0].key.job == 1 && preview.changed && preview.changed->tasks[0].key.job == 0 &&
           preview.changed->tasks[0].at == 0);
    std::vector<Moved> moved = moved_by(preview);
    size_t sooner = 0, later = 0;
    for (const Moved& each : moved)
        sooner += each.sooner, later += each.later;
    EXPECT(moved.size() == 3 && sooner == 1 && later == 1);
    EXPECT(preview_text(preview).find("WHAT THE CHANGE MOVES") != std::string::npos);
    // A weight that is changed reaches the planner.
    struct Spy {
        std::shared_ptr<double> seen = std::make_shared<double>(0);
        Plan operator()(const PlanView& view) const { return *seen = view.settings.ratio_priority, make_plan(view); }
    } spy;
    Forward(order.snapshot, change_of(order.snapshot, R"({"planner":{"ratio-priority":3.5}})"), {}, spy).look();
    EXPECT(*spy.seen == 3.5);
}

void bad_changes() {
    Shop shop;
    shop.worker("w1");
    struct Row {
        const char* text;
        std::vector<std::string> places;
    };
    for (const Row& row : {Row{"{", {"c"}}, Row{"[]", {"c"}}, Row{R"({"planer":{}})", {"c.planer"}},
                           Row{R"({"planner":{"weight":1,"ratio-priority":"x","ratio-run":-1}})",
                               {"c.planner.weight", "c.planner.ratio-priority", "c.planner.ratio-run"}},
                           Row{R"({"workers":[{"drain":"w9"},{"drain":"w1","leave":"w1"},3,{"join":{"node":"w1"}}]})",
                               {"c.workers[0].drain", "c.workers[1]", "c.workers[2]", "c.workers[3].join.service",
                                "c.workers[3].join.cpu", "c.workers[3].join.node"}},
                           Row{R"({"workers":[{"drain":"w1"},{"leave":"life-w1"}]})", {"c.workers[1]"}}}) {
        ProposedChange change;
        Findings findings;
        read_change(row.text, "c", &shop.snapshot, planner_names(), change, findings);
        std::vector<std::string> places;
        for (const Finding& finding : findings.list())
            places.push_back(finding.place);
        EXPECT_SAID(places == row.places, fmt::format("{}: {}", row.text, findings.text()));
    }
    Findings findings;
    ProposedChange change;
    read_configuration(config_text(5), "next.json", &shop.snapshot, change, findings);
    read_configuration(
        R"({"revision":9,"services":[],"routes":[{"host":"a","path_prefix":"/","service":"x","timeout_ms":0}]})",
        "next.json", &shop.snapshot, change, findings);
    EXPECT(findings.list().size() == 3 && findings.list()[0].place == "next.json:revision" &&
           findings.list()[1].place == "next.json:routes[0].timeout_ms");
    EXPECT(!change.config);
}

// --- the snapshot's format ---

void format() {
    Shop shop;
    shop.worker("w1");
    const SnapshotJob job = shop.job("/m/", 3, 1000, seconds(1));
    shop.run("w1", job, 0, seconds(1));
    std::string bytes = pack_snapshot(shop.snapshot);
    Findings none;
    auto read = unpack_snapshot(bytes, "s", none);
    EXPECT_SAID(read && none.empty() && pack_snapshot(*read) == bytes, none.text());
    struct Row {
        std::string bytes;
        std::string said;
    };
    CborWriter other, wrong;
    other.put(snapshot_mark), other.put(snapshot_format + 1), other.put(shop.snapshot);
    wrong.put(snapshot_mark), wrong.put(snapshot_format), wrong.put(std::string("x"));
    for (const Row& row : {Row{"", "s:byte 0: is cut short"}, Row{bytes.substr(0, bytes.size() / 2), "is cut short"},
                           Row{"hello, this is a text", "s:byte 0: is no snapshot"},
                           Row{other.bytes, "is of format 2, this program reads format 1"},
                           Row{wrong.bytes, "has other fields than format 1"}, Row{bytes + "x", "1 bytes too many"}}) {
        Findings findings;
        EXPECT(!unpack_snapshot(row.bytes, "s", findings));
        EXPECT_SAID(findings.text().find(row.said) != std::string::npos,
                    fmt::format("'{}' lacks '{}'", findings.text(), row.said));
    }
    Snapshot spoilt = shop.snapshot;
    spoilt.jobs[0].id = "nonsense", spoilt.jobs[0].times[0].steps[0][0].count = 2,
    spoilt.workers[0].runs[0].percent = 101, spoilt.config = "{", spoilt.planner[0].name = "no weight";
    Findings findings;
    EXPECT(!unpack_snapshot(pack_snapshot(spoilt), "s", findings));
    std::vector<std::string> places;
    for (const Finding& finding : findings.list())
        places.push_back(finding.place);
    EXPECT_SAID(places == (std::vector<std::string>{"s:config.configuration", "s:planner[0]", "s:jobs[0].id",
                                                    "s:jobs[0].times[0].steps[0]", "s:workers[0].runs[0].percent"}),
                findings.text());
    property("a snapshot with any byte changed is refused or read, and never crashes", rc::check("changed byte", [&] {
                 std::string changed = bytes;
                 changed[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
                 Findings found;
                 auto snapshot = unpack_snapshot(changed, "s", found);
                 RC_ASSERT(snapshot.has_value() == found.empty());
                 if (snapshot) Forward(*snapshot, {}, {.horizon = seconds(5), .plans_most = 50}).look();
             }));
}

void same_again() {
    Shop shop;
    for (int place = 0; place < 5; ++place)
        shop.worker(fmt::format("w{}", place), 8000);
    for (int place = 0; place < 12; ++place)
        shop.job(place % 3 == 0   ? "/m/"
                 : place % 3 == 1 ? "/s/"
                                  : "/p/",
                 std::uint32_t(1 + place % 4), 1000 + 500 * (place % 5), milliseconds(300 + 170 * place));
    ProposedChange change = change_of(shop.snapshot, R"({"workers":[{"leave":"w1","after_ms":100}]})");
    Preview one = make_preview(shop.snapshot, change, {}), two = make_preview(shop.snapshot, change, {});
    EXPECT(preview_text(one) == preview_text(two));
    EXPECT(boost::json::serialize(preview_json(one)) == boost::json::serialize(preview_json(two)));
}

// --- it touches nothing ---

// Counts what a record and its workers are asked to do.
struct Touches {
    size_t proposals = 0, confirmations = 0, burials = 0;
    void propose(const std::string&, std::optional<std::string>, Patch, std::function<void(bool)> told) {
        ++proposals;
        if (told) told(true);
    }
    void confirm(const std::string&, std::function<void(bool)> told) { ++confirmations, told(true); }
    void bury(const std::string&) { ++burials; }
};

void touches_nothing() {
    Touches ledger;
    Scheduler<Touches> scheduler(SchedulerSettings{}, ledger);
    Micros now = seconds(100), wall = taken_at;
    std::vector<RunLine> told_of;
    scheduler.tell_runs([&](RunLine line) { told_of.push_back(line); });
    std::map<std::string, Register> registers;
    Register config;
    config.moving = config_text(5);
    registers["config"] = config;
    scheduler.begin(Epoch{3}, registers, now);
    size_t worker_calls = 0;  // orders and looks that the stand-in worker's side was told of
    auto side = [&](std::uint64_t number, std::uint64_t taken) {
        SideAsk ask;
        ask.node = "side-1", ask.incarnation = 1, ask.number = number, ask.epoch = Epoch{3}, ask.taken = taken;
        ask.worker =
            WorkerAccount{"life-1", "match", "10.0.0.9:80", "zone", 8000, 64000, 0, {"zone", "rack"}, false, -1};
        ask.report = HoldReport{"life-1", Epoch{3}, {}, {}, {}, false};
        scheduler.take_side(ask, now, wall);
    };
    side(1, 0);
    const std::string secret = "charge wallet 255-700", checkpoint = "paid up to driver 41";
    for (int number = 0; number < 6; ++number) {
        std::string body = fmt::format(
            R"({{"job_spec":"{}","steps":[{{"count":4,"cpu":1500,"task_mem_mb":100,"estimate_ms":700,"checkpoints":true}}]}})",
            secret);
        scheduler.call({"POST", host, fmt::format("/s/{:016x}", number + 1), body, {}, false}, now, wall,
                       [](CallFate, Response) {});
    }
    scheduler.tick(now, wall, now);
    side(2, 0);
    now += milliseconds(100), wall += milliseconds(100);
    SideAnswer before = scheduler.answer_side("side-1", now, now);
    worker_calls = before.orders.size();
    EXPECT(worker_calls > 0);
    // What the log tells: the owner, each job, each start; and nothing of what a task is told to do.
    size_t starts = 0, accepted = 0;
    for (const RunLine& line : told_of)
        starts += line.event == RunLine::Event::start, accepted += line.event == RunLine::Event::accepted;
    EXPECT(told_of[0].event == RunLine::Event::owner && told_of[0].how == "3" && accepted == 6 &&
           starts == worker_calls);
    EXPECT(std::all_of(told_of.begin(), told_of.end(),
                       [&](const RunLine& line) { return line.line().find(secret) == std::string::npos; }));
    // One of them reports a checkpoint.
    SideAsk ask;
    ask.node = "side-1", ask.incarnation = 1, ask.number = 3, ask.epoch = Epoch{3};
    ask.worker = WorkerAccount{"life-1", "match", "10.0.0.9:80", "zone", 8000, 64000, 0, {"zone", "rack"}, false, -1};
    ask.report =
        HoldReport{"life-1", Epoch{3}, {{before.orders[0].task, before.orders[0].run, checkpoint, 40}}, {}, {}, false};
    scheduler.take_side(ask, now, wall);
    auto digest = [&] {
        std::string all;
        for (int number = 0; number < 6; ++number)
            if (const auto* job = scheduler.find_job(fmt::format("{:016x}", number + 1))) {
                all += job->packed_fixed() +
                       fmt::format("{} {} {}", job->phase(), job->moving.ended_wall, job->moving.next_time);
                for (const LifeName& life : job->moving.workers)
                    all += pack(life);
                for (const Time& time : job->moving.times)
                    for (const StepState& step : time.steps)
                        for (const Task& task : step.tasks)
                            all += pack(task) + fmt::format("{}", step.failed_run);
            }
        return all + scheduler.config().text + scheduler.gauges();
    };
    std::string digest_before = digest();
    Touches touches_before = ledger;
    SideAnswer answer_before = scheduler.answer_side("side-1", now, now);
    bool news_before = scheduler.has_news("side-1", Epoch{3}, before.orders.back().number, 0);
    std::string bytes;
    for (int time = 0; time < 50; ++time) {
        auto snapshot = snapshot_of(RecordView(std::as_const(scheduler)), {3, now, wall, now}, {});
        EXPECT(snapshot.has_value());
        if (snapshot) bytes = pack_snapshot(*snapshot);
    }
    EXPECT(digest() == digest_before && !digest_before.empty());
    EXPECT(ledger.proposals == touches_before.proposals && ledger.confirmations == touches_before.confirmations &&
           ledger.burials == touches_before.burials);
    SideAnswer answer_after = scheduler.answer_side("side-1", now, now);
    EXPECT(answer_after.orders.size() == answer_before.orders.size() && answer_after.look == answer_before.look);
    EXPECT(scheduler.has_news("side-1", Epoch{3}, before.orders.back().number, 0) == news_before);
    // Neither what a task is told to do nor what it has saved is in it; that it has saved something is.
    EXPECT(bytes.find("wallet") == std::string::npos && bytes.find(secret) == std::string::npos &&
           bytes.find(checkpoint) == std::string::npos);
    Findings findings;
    auto snapshot = unpack_snapshot(bytes, "s", findings);
    EXPECT_SAID(snapshot.has_value(), findings.text());
    if (!snapshot) return;
    EXPECT(snapshot->jobs.size() == 6 && snapshot->workers.size() == 1);
    EXPECT(std::any_of(snapshot->workers[0].runs.begin(), snapshot->workers[0].runs.end(),
                       [](const SnapshotRun& run) { return run.saved && run.percent == 40; }));
    Outlook outlook = Forward(*snapshot, {}, {}).look();
    EXPECT(outlook.alarms() == 0 && outlook.running.size() == snapshot->workers[0].runs.size() &&
           outlook.running.size() + outlook.tasks.size() == 24);
    EXPECT(std::all_of(outlook.tasks.begin(), outlook.tasks.end(),
                       [](const TaskOutlook& task) { return task.landing == Landing::lands; }));

    // The one call: off, wrong method, elsewhere, too often, too large.
    RecordView view(std::as_const(scheduler));
    SnapshotMoment moment{3, now, wall, now};
    PreviewReads off(false), on(true), small(true, {.bytes = 500});
    auto code = [&](PreviewReads& reads, const char* method, const PreviewReads::Owner& owner) {
        return reads.answer(reads.take(method, owner, view, moment));
    };
    EXPECT(code(off, "GET", {true, ""}).code == 403);
    EXPECT(code(on, "POST", {true, ""}).code == 405);
    EXPECT(code(on, "GET", {false, ""}).code == 503);
    Response moved = code(on, "GET", {false, "10.0.0.4:7720"});
    EXPECT(moved.code == 307 && moved.location == "http://10.0.0.4:7720/inner/preview");
    Response good = code(on, "GET", {true, ""});
    EXPECT(good.code == 200 && good.body == bytes);
    Response often = code(on, "GET", {true, ""});
    EXPECT(often.code == 429 && often.retry_after_s == 1 && often.body.find("1000 ms") != std::string::npos);
    moment.now += milliseconds(999);
    EXPECT(code(on, "GET", {true, ""}).code == 429);
    moment.now += milliseconds(1);
    EXPECT(code(on, "GET", {true, ""}).code == 200);
    Response large = code(small, "GET", {true, ""});
    EXPECT(large.code == 413 && large.body.find("500 bytes") != std::string::npos);
    EXPECT(digest() == digest_before);
}

// --- does it come true ---

struct Logs {
    std::vector<RunLine> lines;
    void add(RunLine::Event event, Micros at, const std::string& task, const std::string& worker = {},
             const std::string& how = {}) {
        lines.push_back({event, taken_at + at, task, worker, "", how, 1});
    }
};

void checking() {
    // Two tasks: one lands at once on w1, the next there after one second; a third has to wait beyond the horizon.
    Said said;
    said.wall = taken_at, said.horizon = seconds(10), said.epoch = "7";
    said.jobs = {"a", "b", "c"};
    said.queues = {{"q", 0}, {"idle", 1}};
    said.tasks["a.0.0.0"] = {"q", "w1", Landing::lands, 0, seconds(1)};
    said.tasks["b.0.0.0"] = {"q", "w1", Landing::lands, seconds(1), seconds(2)};
    said.tasks["c.0.0.0"] = {"q", "", Landing::waits, -1, -1};
    said.running["r.0.0.0"] = {"q", "w2", seconds(3)};
    using Event = RunLine::Event;
    auto usual = [](Logs& logs) {
        logs.add(Event::start, 1000, "a.0.0.0", "w1"), logs.add(Event::end, seconds(1), "a.0.0.0", "w1", "done");
        logs.add(Event::end, seconds(3), "r.0.0.0", "w2", "done");
        logs.add(Event::accepted, seconds(20), "late");
    };
    {
        Logs logs;
        usual(logs);
        logs.add(Event::start, seconds(1), "b.0.0.0", "w1"), logs.add(Event::end, seconds(2), "b.0.0.0", "w1", "done");
        CheckResult result = Checker(said, logs.lines, {}).check();
        const QueueCheck& queue = result.queues.at("q");
        EXPECT(result.compared && result.misses.empty() && result.queues.contains("idle"));
        EXPECT(queue.worker.said == 2 && queue.worker.true_ones == 2 && queue.worker_at_once.said == 1 &&
               queue.time.true_ones == 2 && queue.waited.said == 2 && queue.waited.true_ones == 2);
        EXPECT(queue.undisturbed.said == 2 && queue.undisturbed.true_ones == 2);
    }
    struct Row {
        const char* cause;
        std::function<void(Logs&)> what;
    };
    auto late = [](Logs& logs) { logs.add(Event::start, seconds(5), "b.0.0.0", "w1"); };
    for (const Row& row :
         {Row{"worker lost",
              [&](Logs& logs) {
                  logs.add(Event::worker_over, milliseconds(500), "", "w1"),
                      logs.add(Event::start, seconds(5), "b.0.0.0", "w2");
              }},
          Row{"new arrival",
              [&](Logs& logs) { logs.add(Event::start, milliseconds(900), "new.0.0.0", "w1"), late(logs); }},
          Row{"estimate off", [&](Logs& logs) { logs.lines[1].wall = taken_at + seconds(5), late(logs); }},
          Row{"record changed hands",
              [&](Logs& logs) { logs.add(Event::owner, milliseconds(300), "", "", "8"), late(logs); }},
          Row{"job cancelled",
              [&](Logs& logs) { logs.add(Event::job_ended, milliseconds(300), "b", "", "cancelled"); }},
          Row{"a run failed",
              [&](Logs& logs) { logs.add(Event::end, milliseconds(800), "b.0.1.0", "w2", "failed"), late(logs); }},
          Row{"unexplained", late}}) {
        Logs logs;
        usual(logs);
        row.what(logs);
        CheckResult result = Checker(said, logs.lines, {}).check();
        EXPECT_SAID(
            result.misses.size() == 1 && result.misses[0].task == "b.0.0.0" && result.misses[0].cause == row.cause,
            fmt::format("{}: {}", row.cause, check_text(result, 9)));
        EXPECT(result.queues.at("q").causes.at(row.cause) == 1);
        // What happened before the second task's time excuses it from the undisturbed ones; nothing excuses an
        // estimate.
        bool excused = row.cause != std::string("estimate off") && row.cause != std::string("unexplained");
        EXPECT_SAID(result.queues.at("q").undisturbed.said == (excused ? 1u : 2u), row.cause);
    }
    {
        // What was said to wait started; what was said to be pushed aside was not, and another was.
        Said pushing = said;
        pushing.pushed.push_back({"q", "r.0.0.0", "w2", 0});
        pushing.running["s.0.0.0"] = {"q", "w3", seconds(9)};
        Logs logs;
        usual(logs), late(logs);
        logs.add(Event::start, seconds(2), "c.0.0.0", "w2");
        logs.add(Event::end, seconds(1), "s.0.0.0", "w3", "stopped");
        CheckResult result = Checker(pushing, logs.lines, {}).check();
        const QueueCheck& queue = result.queues.at("q");
        EXPECT(queue.pushed.said == 1 && queue.pushed.true_ones == 0 && queue.pushed_unsaid == 1 &&
               queue.waited.said == 2 && queue.waited.true_ones == 1);
        logs.lines[2].how = "stopped", logs.lines[2].wall = taken_at + milliseconds(100);
        EXPECT(Checker(pushing, logs.lines, {}).check().queues.at("q").pushed.true_ones == 1);
    }
    {
        Said begun = said;
        begun.unheard = 3;
        Logs logs;
        usual(logs), late(logs);
        EXPECT(Checker(begun, logs.lines, {}).check().queues.at("q").causes.at("workers not heard of") == 1);
    }
    // Logs that end early count against nobody.
    Logs early;
    early.add(Event::start, milliseconds(1), "a.0.0.0", "w1"), early.add(Event::accepted, milliseconds(600), "late");
    CheckResult result = Checker(said, early.lines, {}).check();
    EXPECT(result.queues.at("q").not_covered == 1 && result.misses.empty());
    EXPECT(!Checker(said, {}, {}).check().compared);
    // The lines themselves, there and back; broken ones by their place.
    std::vector<RunLine> lines;
    Findings findings;
    std::string text;
    for (const RunLine& line : early.lines)
        text += "1.000 run " + line.line() + "\n";
    read_run_lines(text + "2.0 control something else\n", "log", lines, findings);
    EXPECT(findings.empty() && lines.size() == 2 && lines[0].worker == "w1" && lines[1].event == Event::accepted &&
           lines[0].wall == early.lines[0].wall);
    read_run_lines("1.0 run {\n2.0 run {\"event\":\"nothing\",\"wall_us\":\"x\"}\n", "log", lines, findings);
    EXPECT(findings.list().size() == 3 && findings.list()[0].place == "log:1" &&
           findings.list()[2].place == "log:2 wall_us");
}

void saved_previews() {
    Shop shop;
    shop.worker("w1");
    shop.job("/m/", 2, 4000, seconds(1));
    Findings findings;
    std::string text = boost::json::serialize(preview_json(make_preview(shop.snapshot, {}, {})));
    Said said = read_preview(text, "p", false, findings);
    EXPECT_SAID(findings.empty() && said.tasks.size() == 2 && said.queues.size() == 3 && said.wall == taken_at &&
                    said.epoch == "7",
                findings.text());
    EXPECT(said.tasks.at("0000000000000001.0.0.1").at == seconds(1));
    Findings missing;
    read_preview(text, "p", true, missing);
    EXPECT(missing.text() == "p.changed: is missing");
    Findings wrong;
    read_preview(
        R"({"preview":1,"wall_us":1,"epoch":1,"jobs":[3],"stands":{"horizon_us":1,"queues":[],"tasks":[{"task":"x","queue":"q","landing":"flies"}],"running":[1],"pushed_aside":[]}})",
        "p", false, wrong);
    EXPECT_SAID(wrong.list().size() == 3 && wrong.list()[0].place == "p.jobs" &&
                    wrong.list()[1].place == "p.stands.tasks[0].landing" &&
                    wrong.list()[2].place == "p.stands.running[0]",
                wrong.text());
    Findings format;
    read_preview(R"({"preview":2})", "p", false, format);
    EXPECT(format.text() == "p.preview: is 2, this program reads 1");
}

// Snapshots in a log, with the lines of what ran, there and back; and the check of each.
void logged_snapshots() {
    Shop shop;
    for (int place = 0; place < 9; ++place)
        shop.worker(fmt::format("w{}", place));
    for (int place = 0; place < 40; ++place)
        shop.job("/m/", 2, 4000, seconds(1));
    std::string bytes = pack_snapshot(shop.snapshot), text;
    for (const std::string& line : snapshot_lines(bytes, taken_at, 700))
        text += "12.0 snapshot " + line + "\n13.0 counters calls=1\n";
    Findings findings;
    auto read = read_snapshot_lines(text + "14.0 snapshot 5 0 2 AB\n", "log", findings);
    EXPECT_SAID(findings.empty() && read.size() == 1 && read[0].first == "log:1" && read[0].second == bytes,
                findings.text());
    // Two owners' lines, mixed as in the one log of a change of hands.
    std::vector<std::string> one = snapshot_lines(bytes, 1, 700), two = snapshot_lines(bytes, 2, 700);
    std::string mixed;
    for (size_t line = 0; line < one.size(); ++line)
        mixed += "1.0 snapshot " + one[line] + "\n2.0 snapshot " + two[line] + "\n";
    read = read_snapshot_lines(mixed, "log", findings);
    EXPECT(findings.empty() && read.size() == 2 && read[1].second == bytes);
    Findings wrong;
    read_snapshot_lines("1.0 snapshot 5 0 2 XY\n1.0 snapshot 5 1 2 AB\n", "log", wrong);
    EXPECT_SAID(wrong.list().size() == 2 && wrong.list()[0].place == "log:1" && wrong.list()[1].place == "log:2",
                wrong.text());
}

// Exit statuses as the operators' page states them.
void statuses() {
    auto file = [](const std::string& name, const std::string& text) {
        std::string path = fmt::format("/tmp/calicostall-test-preview-{}-{}", getpid(), name);
        std::ofstream(path, std::ios::binary) << text;
        return path;
    };
    Shop shop;
    shop.worker("w1"), shop.worker("w2");
    const SnapshotJob job = shop.job("/m/", 2, 1000, seconds(1));
    std::string good = file("good", pack_snapshot(shop.snapshot)), bad = file("bad", "no snapshot"),
                config = file("config", "{\"revision\":1}"),
                change = file("change", R"({"workers":[{"drain":"w9"}],"planner":{"ratio-priority":0}})");
    shop.run("w1", job, 0, 0), shop.run("w2", job, 0, 0);
    std::string alarm = file("alarm", pack_snapshot(shop.snapshot)), saved = file("saved", "");
    PreviewOptions options;
    options.snapshot = good, options.save = saved;
    PreviewOutcome outcome = run_preview(options);
    EXPECT(outcome.status == PreviewStatus::good && outcome.findings.empty() &&
           outcome.out.find("rider match") != std::string::npos);
    Findings none;
    EXPECT(read_input(saved, none) == read_input(good, none) && none.empty());
    options.save.clear();
    options.snapshot = alarm;
    EXPECT(run_preview(options).status == PreviewStatus::alarm);
    // Everything that is wrong, together.
    options.snapshot = bad, options.configuration = config, options.change = change;
    outcome = run_preview(options);
    EXPECT_SAID(
        outcome.status == PreviewStatus::bad_input && outcome.out.empty() && outcome.findings.list().size() == 4,
        outcome.findings.text());
    options.snapshot = good;
    outcome = run_preview(options);
    EXPECT_SAID(outcome.findings.text().find(change + ".workers[0].drain") != std::string::npos &&
                    outcome.findings.text().find("--ratio-priority") != std::string::npos,
                outcome.findings.text());
    options = {};
    options.check = bad, options.logs = {"/nowhere/at/all"};
    EXPECT(run_preview(options).status == PreviewStatus::bad_input);
    options = {};
    options.control = {"127.0.0.1:1"};
    outcome = run_preview(options);
    EXPECT_SAID(outcome.status == PreviewStatus::unreachable && outcome.findings.list().size() == 2 &&
                    outcome.findings.list()[1].place == "127.0.0.1:1",
                outcome.findings.text());
    for (const std::string& path : {good, bad, config, change, alarm, saved})
        std::remove(path.c_str());
}

// The one read over real sockets: a daemon that isn't the owner sends the reader on, an owner that was just asked is
// asked again.
void over_http() {
    std::unique_ptr<Listener> owner, other;
    std::string owner_address, other_address;
    std::atomic<int> asked{0}, posted{0};
    const std::string bytes = pack_snapshot(Shop().snapshot);
    auto open = [](std::unique_ptr<Listener>& listener, std::string& address, Listener::Take take) {
        for (int attempt = 0; attempt < 50 && !listener; ++attempt) {
            address =
                fmt::format("127.0.0.1:{}", 20000 + (getpid() * 7 + attempt * 131 + (address.empty() ? 0 : 1)) % 12000);
            try {
                listener = std::make_unique<Listener>(address, Listener::Limits{}, take);
                listener->open();
            } catch (const std::exception&) {
                listener.reset();
            }
        }
    };
    open(owner, owner_address, [&](Request request) {
        posted += request.method != "GET" || !request.body.empty();
        request.reply.send(++asked == 1 ? Response::text(429, "one snapshot in 1000 ms, try again\n")
                                        : Response::cbor(bytes));
    });
    open(other, other_address, [&](Request request) {
        posted += request.method != "GET";
        request.reply.send(Response::moved("http://" + owner_address + preview_path));
    });
    EXPECT(owner && other);
    if (!owner || !other) return;
    Findings findings;
    auto read = fetch_snapshot({"127.0.0.1:1", other_address}, findings, 64 << 20, seconds(5), milliseconds(1));
    EXPECT_SAID(read == bytes && asked == 2 && posted == 0, findings.text());
    EXPECT(findings.list().size() == 1 && findings.list()[0].place == "127.0.0.1:1");
    Findings large;
    EXPECT(!fetch_snapshot({owner_address}, large, 10) && large.list().size() == 1);
}

// --- the look ahead against a run of the same planner that keeps nothing between plans ---

// All state is plain; the planner's view is made anew for each plan.
struct PlainRun {
    struct Task {
        std::int64_t worker = -1, first_worker = -1;
        Micros started = -1, first_started = -1, ends = -1;
        bool done = false, stopping = false;
    };
    struct Job {
        std::int64_t level;
        std::uint32_t count;
        std::int64_t cpu;
        Micros expected, accepted, target;
        std::vector<Task> tasks;
    };
    std::vector<std::int64_t> workers;  // cores
    std::vector<Job> jobs;
    size_t stops = 0;

    void play(Micros horizon) {
        PlannerSettings settings;
        UrgentDemand demand(settings);
        Names names;
        Name service = names.of("match");
        Micros now = taken_at, last_change = taken_at;
        for (const Job& job : jobs)
            for (const Task& task : job.tasks)
                if (task.worker >= 0) demand.add(service, job.level, {job.cpu, 100, 0});
        while (now <= taken_at + horizon) {
            bool changed = now == taken_at;
            for (size_t job = 0; job < jobs.size(); ++job)
                for (size_t task = 0; task < jobs[job].tasks.size(); ++task) {
                    Task& each = jobs[job].tasks[task];
                    if (each.worker < 0 || each.done || each.ends > now) continue;
                    changed = true;
                    if (each.stopping)
                        each.worker = -1, each.stopping = false;
                    else
                        each.done = true;
                    demand.remove(service, jobs[job].level, {jobs[job].cpu, 100, 0});
                }
            WaitingItems items(settings);
            Fleet fleet;
            std::int64_t cpu_sum = 0;
            for (std::int64_t cpu : workers) {
                PlanWorker worker;
                worker.service = service, worker.capacity = {cpu, 64000, 0};
                worker.labels = {names.of("zone"), names.of(fmt::format("rack{}", fleet.places()))};
                worker.rack = worker.labels[1];
                fleet.add(std::move(worker));
                cpu_sum += cpu;
            }
            std::vector<std::vector<size_t>> waiting(jobs.size());
            std::uint64_t runs = 0;
            std::map<std::uint64_t, std::pair<size_t, size_t>> of_run;
            for (size_t job = 0; job < jobs.size(); ++job) {
                const Job& each = jobs[job];
                Standing standing{each.level, each.accepted,
                                  each.accepted + Micros(1.5 * double(each.expected)) + each.target, each.expected,
                                  false};
                for (size_t task = 0; task < each.tasks.size(); ++task) {
                    if (each.tasks[task].worker < 0) waiting[job].push_back(task);
                    if (each.tasks[task].worker < 0 || each.tasks[task].done) continue;
                    PlanRun run;
                    run.id = ++runs, run.standing = standing, run.room = {each.cpu, 100, 0},
                    run.started = each.tasks[task].started, run.expected_end = each.tasks[task].ends;
                    run.stopping = each.tasks[task].stopping, run.preemptable = !run.stopping;
                    fleet.begin_run(std::uint32_t(each.tasks[task].worker), run);
                    of_run[runs] = {job, task};
                }
                if (waiting[job].empty()) continue;
                Item item;
                item.id = job + 1, item.standing = standing, item.service = service, item.room = {each.cpu, 100, 0},
                item.count = std::uint32_t(waiting[job].size()), item.duration = each.expected;
                items.put(item, now, double(each.cpu) * double(workers.size()) / double(cpu_sum));
            }
            bool unfinished = false;
            if (!items.empty()) {
                items.advance(now), demand.advance(now);
                Plan plan = make_plan({settings, items, fleet, demand, 0, now, {}});
                unfinished = plan.unfinished;
                for (const Stop& stop : plan.stops) {
                    Task& task = jobs[of_run[stop.run].first].tasks[of_run[stop.run].second];
                    task.stopping = true, task.ends = now + settings.stop_grace;
                    ++stops, changed = true;
                }
                for (const Start& start : plan.starts) {
                    Job& job = jobs[start.item - 1];
                    Task& task = job.tasks[waiting[start.item - 1][start.task]];
                    task.worker = start.worker, task.started = now, task.ends = now + job.expected;
                    if (task.first_worker < 0) task.first_worker = task.worker, task.first_started = now;
                    demand.add(service, job.level, {job.cpu, 100, 0});
                    changed = true;
                }
            }
            if (changed) last_change = now;
            Micros next = std::numeric_limits<Micros>::max();
            bool left = false;
            for (const Job& job : jobs)
                for (const Task& task : job.tasks) {
                    if (task.worker >= 0 && !task.done)
                        next = std::min(next, std::max(task.ends, now + milliseconds(2)));
                    left = left || task.worker < 0;
                }
            if (left && now - last_change < seconds(12))
                next = std::min(next, now + (changed || unfinished ? milliseconds(2) : milliseconds(250)));
            if (next == std::numeric_limits<Micros>::max()) return;
            now = next;
        }
    }
};

void agrees() {
    size_t stops = 0;
    property(
        "without arrivals the look ahead agrees with a run of the same planner", rc::check("agreement", [&] {
            Shop shop;
            PlainRun plain;
            size_t workers = *rc::gen::inRange<size_t>(1, 6);
            for (size_t place = 0; place < workers; ++place) {
                std::int64_t cpu = 1000 * *rc::gen::inRange<std::int64_t>(2, 17);
                shop.worker(fmt::format("w{}", place), cpu).labels[1] = fmt::format("rack{}", place);
                plain.workers.push_back(cpu);
            }
            // Some workers are full of long work that began a moment ago.
            for (size_t place = 0; place < workers; ++place) {
                if (*rc::gen::inRange(0, 3) == 0) continue;
                Micros elapsed = milliseconds(*rc::gen::inRange<std::int64_t>(20, 300)),
                       expected = seconds(*rc::gen::inRange<std::int64_t>(8, 60));
                const SnapshotJob held = shop.job("/p/", 1, plain.workers[place], expected);
                shop.run(fmt::format("w{}", place), held, 0, elapsed);
                PlainRun::Task task{
                    std::int64_t(place), -1, taken_at - elapsed, -1, taken_at - elapsed + expected, false, false};
                plain.jobs.push_back({2, 1, plain.workers[place], expected, held.accepted_wall, seconds(1), {task}});
            }
            size_t jobs = *rc::gen::inRange<size_t>(1, 14);
            for (size_t place = 0; place < jobs; ++place) {
                std::int64_t level = *rc::gen::inRange<std::int64_t>(0, 3);
                std::uint32_t count = *rc::gen::inRange<std::uint32_t>(1, 7);
                std::int64_t cpu = 500 * *rc::gen::inRange<std::int64_t>(1, 9);
                Micros expected = milliseconds(*rc::gen::inRange<std::int64_t>(50, 4500));
                SnapshotJob& job = shop.job(level == 0 ? "/m/" : level == 1 ? "/s/" : "/p/", count, cpu, expected);
                job.steps[0].wanted.long_running = false;
                // The route's own target and extension count, as they do for the daemons.
                plain.jobs.push_back(
                    {level, count, cpu, expected, job.accepted_wall, seconds(1), std::vector<PlainRun::Task>(count)});
            }
            Outlook outlook = shop.look();
            plain.play(outlook.horizon);
            RC_ASSERT(outlook.alarms() == 0u);
            RC_ASSERT(outlook.pushed.size() == plain.stops);
            stops += plain.stops;
            for (const TaskOutlook& task : outlook.tasks) {
                const PlainRun::Task& other = plain.jobs[task.key.job].tasks[task.key.index];
                RC_ASSERT((task.landing == Landing::lands) == (other.first_worker >= 0));
                if (task.landing != Landing::lands) continue;
                RC_ASSERT(task.worker == fmt::format("life-w{}", other.first_worker));
                RC_ASSERT(task.at == other.first_started - taken_at);
            }
        }));
    EXPECT_SAID(stops > 0, "some of the runs were pushed aside");
}

}  // namespace

int main() {
    landing();
    nowhere();
    pushed_aside();
    twice();
    changes();
    bad_changes();
    format();
    same_again();
    touches_nothing();
    checking();
    saved_previews();
    logged_snapshots();
    statuses();
    over_http();
    agrees();
    return result();
}
