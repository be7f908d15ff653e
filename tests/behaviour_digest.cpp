// Guards that code which is renamed or reshaped still does the same: literal 64-bit digests (XXH3) of plays with fixed
// seeds, each play or group of plays under a name.
//   plans       every field of each plan of the planner, over drawn workers, items and runs
//   clusters    every message of the simulated cluster (time, kind, source, target, packed frame), and in the end the
//               disks and registers of the daemons, what ran on the workers and the state of the dice
//   foundings   every message, disk and state of drawn first starts
//   histories   every state of the model checker's worlds (proposers, replicas, disks, messages) on drawn walks
// A digest here may be changed only by a commit that changes behaviour on purpose and says so, with the reason.
// A change to the simulated cluster itself changes digests as well: it is to be in a commit of its own, which changes
// nothing under source/.
#include <xxhash.h>

#include <random>

#include "cluster/cluster_simulation.hpp"
#include "control/membership/bootstrap.hpp"
#include "control/plan/planner.hpp"
#include "model/scenarios.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

// Hashes values in the order in which they are added; each text goes with its length.
class RunningDigest {
public:
    template <class Number>
    requires(std::is_integral_v<Number> || std::is_enum_v<Number>) RunningDigest& add(Number number) {
        const auto wide = static_cast<std::uint64_t>(number);
        value_ = XXH3_64bits_withSeed(&wide, sizeof wide, value_);
        return *this;
    }
    RunningDigest& add(std::string_view text) {
        add(text.size());
        value_ = XXH3_64bits_withSeed(text.data(), text.size(), value_);
        return *this;
    }
    RunningDigest& add(const Resources& room) { return add(room.cpu).add(room.memory).add(room.gpu); }
    // Thousandths: the last bits differ between mathematical libraries.
    RunningDigest& add_rounded(double number) {
        constexpr double most = 1e15;
        return add(std::llround(std::clamp(number, -most, most) * 1000));
    }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

// Draws without the distributions of the standard library, which differ between libraries.
class Draw {
public:
    explicit Draw(std::uint64_t seed) : engine_(seed) {}
    std::int64_t between(std::int64_t low, std::int64_t high) {
        return low + std::int64_t(engine_() % std::uint64_t(high - low + 1));
    }
    bool chance(std::int64_t percent) { return between(1, 100) <= percent; }
    size_t below(size_t count) { return size_t(engine_() % count); }

private:
    std::mt19937_64 engine_;
};

void check_digest(const std::string& name, std::uint64_t expected, std::uint64_t found) {
    EXPECT_SAID(expected == found,
                fmt::format("digest '{}': expected 0x{:016x}, found 0x{:016x}", name, expected, found));
}

// --- plans ---

constexpr size_t views_a_group = 40;
constexpr size_t plans_a_view = 5;

struct PlanGroup {
    const char* name;
    std::uint64_t seed;
    std::uint64_t expected;
    std::int64_t workers_least = 4, workers_most = 30, items_least = 10, items_most = 60;
    // Each in percent of the workers or items.
    std::int64_t labels = 0, gangs = 0, apart = 0, running = 30, urgent = 20, large = 5, leaving = 0, blocked = 0;
    std::int64_t lasting = 0, failed = 0, remote = 0;
    size_t looks_most = 1000, evaluations_most = 80000;
};

constexpr NameId first_rack = 100, first_label = 200;
constexpr size_t racks = 4, labels = 3, services = 2;

struct PlanPlay {
    const PlanGroup& group;
    Draw& draw;
    PlannerSettings settings;
    WaitingItems items;
    Fleet fleet;
    UrgentDemand demand;
    Micros now = seconds(1000);
    std::uint64_t last_id = 0;
    std::vector<std::uint32_t> places;

    PlanPlay(const PlanGroup& group, Draw& draw)
        : group(group), draw(draw), settings(settings_of(group)), items(settings), demand(settings) {
        for (std::int64_t count = draw.between(group.workers_least, group.workers_most); count > 0; --count)
            add_worker();
        for (std::int64_t count = draw.between(group.items_least, group.items_most); count > 0; --count)
            add_item();
    }
    static PlannerSettings settings_of(const PlanGroup& group) {
        PlannerSettings settings;
        settings.max_items = group.looks_most;
        settings.max_evaluations = group.evaluations_most;
        return settings;
    }
    void add_worker() {
        PlanWorker worker;
        worker.service = NameId(1 + draw.below(services));
        worker.rack = NameId(first_rack + draw.below(racks));
        worker.labels = {worker.rack};
        if (draw.chance(group.labels)) worker.labels.push_back(NameId(first_label + draw.below(labels)));
        worker.capacity.cpu = 1000 * draw.between(2, 16);
        worker.capacity.memory = 1000 * draw.between(2, 32);
        worker.capacity.gpu = draw.chance(20) ? draw.between(1, 4) : 0;
        if (draw.chance(group.leaving)) judge(worker);
        const std::uint32_t place = fleet.add(worker);
        places.push_back(place);
        while (draw.chance(group.running) && begin_drawn_run(place)) {}
    }
    void judge(PlanWorker& worker) {
        switch (draw.below(5)) {
            case 0:
                worker.is_schedulable = false;
                break;
            case 1:
                worker.slowdown = double(draw.between(2, 8)) / 2;
                break;
            case 2:
                worker.reliability = double(draw.between(0, 4)) / 4;
                break;
            case 3:
                worker.max_runs = std::uint32_t(draw.between(1, 2));
                break;
            default:
                worker.is_paused = true;
        }
    }
    Resources room_up_to(std::int64_t cpu_most, std::int64_t memory_most) {
        Resources room;
        room.cpu = 100 * draw.between(1, cpu_most / 100);
        room.memory = 100 * draw.between(1, memory_most / 100);
        return room;
    }
    bool begin_drawn_run(std::uint32_t place) {
        const PlanWorker& worker = fleet.at(place);
        PlanRun run;
        run.resources = room_up_to(4000, 6000);
        if (!worker.free.can_fit(run.resources)) return false;
        run.id = ++last_id;
        run.started_at = now - milliseconds(draw.between(0, 8000));
        run.expected_end = run.started_at + milliseconds(draw.between(500, 20000));
        run.scheduling_priority.level = draw.between(0, 3);
        run.scheduling_priority.submitted_at = run.started_at;
        run.scheduling_priority.critical_path = run.expected_end - run.started_at;
        run.scheduling_priority.deadline = run.expected_end + milliseconds(draw.between(-3000, 20000));
        run.scheduling_priority.is_long_running = draw.chance(group.lasting);
        run.is_preemptable = !run.scheduling_priority.is_long_running && draw.chance(90);
        run.has_checkpoints = draw.chance(30);
        run.is_stopping = draw.chance(5);
        run.backfill = draw.chance(10);
        if (draw.chance(group.gangs)) run.gang_id = std::uint64_t(draw.between(1, 5));
        const NameId service = worker.service;
        demand.add(service, run.scheduling_priority.level, run.resources);
        fleet.begin_run(place, run);
        return true;
    }
    void add_item() {
        Item item;
        item.id = ++last_id;
        item.service = NameId(1 + draw.below(services));
        item.resources = draw.chance(group.large) ? room_up_to(16000, 24000) : room_up_to(3000, 4000);
        if (draw.chance(5)) item.resources.gpu = draw.between(1, 2);
        item.task_count = std::uint32_t(draw.between(1, 6));
        item.expected_duration = milliseconds(draw.between(50, 12000));
        item.scheduling_priority.level = draw.chance(group.urgent) ? 0 : draw.between(1, 3);
        item.scheduling_priority.submitted_at = now - milliseconds(draw.between(0, 6000));
        item.scheduling_priority.critical_path = item.expected_duration + milliseconds(draw.between(0, 4000));
        item.scheduling_priority.deadline = item.scheduling_priority.submitted_at +
                                            item.scheduling_priority.critical_path +
                                            milliseconds(draw.between(0, 15000));
        item.scheduling_priority.is_long_running = draw.chance(group.lasting);
        item.scheduling_priority.value_density = double(draw.between(-8, 8)) / 4;
        if (draw.chance(group.labels)) item.required_label = NameId(first_label + draw.below(labels));
        if (draw.chance(group.remote)) item.affinity = NameId(first_rack + draw.below(racks));
        if (draw.chance(group.apart)) item.anti_affinity = std::uint32_t(draw.between(1, 2));
        if (draw.chance(group.failed)) item.deprioritized_workers.push_back(drawn_place());
        if (draw.chance(group.failed)) item.excluded_workers.push_back(drawn_place());
        item.is_gang = draw.chance(group.gangs);
        item.prefers_same_rack = item.is_gang && draw.chance(50);
        item.has_checkpoints = draw.chance(30);
        item.is_preemptable = draw.chance(90);
        if (draw.chance(10)) item.earliest_start = now + milliseconds(draw.between(0, 2000));
        if (draw.chance(20)) item.idle_since = now - milliseconds(draw.between(0, 4000));
        if (draw.chance(group.blocked)) item.block_reason = Item::BlockReason(draw.between(1, 3));
        items.put(item, now);
    }
    std::uint32_t drawn_place() { return places[draw.below(places.size())]; }

    // What the plan decides is carried out, so that the next plan sees it at work.
    void carry_out(const Plan& plan) {
        for (const Stop& stop : plan.stops)
            end_run(stop.worker, stop.run);
        for (const Start& start : plan.starts) {
            const Item item = *items.find(start.item);
            PlanRun run;
            run.id = ++last_id;
            run.scheduling_priority = item.scheduling_priority;
            run.resources = item.resources;
            run.started_at = now;
            run.expected_end = now + item.expected_duration;
            run.gang_id = item.is_gang ? item.id : 0;
            run.has_checkpoints = item.has_checkpoints;
            run.is_preemptable = item.is_preemptable && !item.scheduling_priority.is_long_running;
            run.backfill = start.backfill;
            demand.add(item.service, item.scheduling_priority.level, item.resources);
            fleet.begin_run(start.worker, run);
            if (item.task_count == 1) {
                items.erase(item.id);
                continue;
            }
            items.update(item.id, [&start](Item& each) {
                each.task_count -= 1;
                auto there = std::find_if(each.tasks_per_worker.begin(), each.tasks_per_worker.end(),
                                          [&start](const auto& entry) { return entry.first == start.worker; });
                if (there == each.tasks_per_worker.end())
                    each.tasks_per_worker.emplace_back(start.worker, 1);
                else
                    there->second += 1;
            });
        }
    }
    void end_run(std::uint32_t place, std::uint64_t id) {
        const PlanRun* run = fleet.find_run(place, id);
        if (!run) return;
        demand.remove(fleet.at(place).service, run->scheduling_priority.level, run->resources);
        fleet.end_run(place, id);
    }
    void pass_time() {
        now += milliseconds(draw.between(20, 3000));
        for (std::uint32_t place : places) {
            std::vector<std::uint64_t> over;
            for (const PlanRun& run : fleet.at(place).runs)
                if (!run.scheduling_priority.is_long_running && run.expected_end <= now && draw.chance(90))
                    over.push_back(run.id);
            for (std::uint64_t id : over)
                end_run(place, id);
        }
        for (std::int64_t count = draw.between(0, 8); count > 0; --count)
            add_item();
    }
    Plan plan(const std::optional<ScanPosition>& resume) {
        items.advance(now);
        demand.advance(now);
        return make_plan({settings, items, fleet, demand, 0, now, resume});
    }
};

void add_plan(RunningDigest& digest, const Plan& plan) {
    digest.add(plan.starts.size());
    for (const Start& start : plan.starts)
        digest.add(start.item).add(start.task).add(start.worker).add(start.backfill);
    digest.add(plan.stops.size());
    for (const Stop& stop : plan.stops)
        digest.add(stop.run).add(stop.worker).add(stop.preempting_item);
    digest.add(plan.reservations.size());
    for (const Reservation& each : plan.reservations)
        digest.add(each.item).add(each.task).add(each.worker).add(each.resources).add(each.from).add(each.until);
    digest.add(plan.unplaced.size());
    for (const UnplacedItem& wait : plan.unplaced)
        digest.add(wait.item).add(wait.tasks).add(std::string_view(reason_text(wait.reason)));
    digest.add(plan.is_incomplete).add(plan.resume_from.has_value());
    if (plan.resume_from)
        for (const auto& [key, id] : *plan.resume_from)
            digest.add_rounded(key).add(id);
    digest.add(plan.items_examined).add(plan.evaluations);
}

// How much of each kind the plans decided: a group that decides nothing guards nothing.
struct PlanCounts {
    size_t starts = 0, stops = 0, reservations = 0, waits = 0, unfinished = 0;
};

std::uint64_t digest_of(const PlanGroup& group, PlanCounts& counts) {
    RunningDigest digest;
    Draw draw(group.seed);
    for (size_t view = 0; view < views_a_group; ++view) {
        PlanPlay play(group, draw);
        std::optional<ScanPosition> resume;
        for (size_t number = 0; number < plans_a_view; ++number) {
            const Plan plan = play.plan(resume);
            resume = plan.resume_from;
            add_plan(digest, plan);
            counts.starts += plan.starts.size();
            counts.stops += plan.stops.size();
            counts.reservations += plan.reservations.size();
            counts.waits += plan.unplaced.size();
            counts.unfinished += plan.is_incomplete;
            play.carry_out(plan);
            play.pass_time();
        }
    }
    return digest.value();
}

void plans() {
    const PlanGroup groups[] = {
        {.name = "plans: single tasks", .seed = 1, .expected = 0x6c09edfb48c9fafd},
        {.name = "plans: racks and labels", .seed = 2, .expected = 0x4e297d3ef33fd875, .labels = 40, .remote = 50},
        {.name = "plans: gangs", .seed = 3, .expected = 0x0f0ce092556cbe30, .gangs = 60},
        {.name = "plans: apart and failed before",
         .seed = 4,
         .expected = 0x161564fedcc4bec9,
         .apart = 60,
         .failed = 30},
        {.name = "plans: full workers, urgent items",
         .seed = 5,
         .expected = 0xafcdb0e97260d2f2,
         .workers_most = 12,
         .running = 95,
         .urgent = 60},
        {.name = "plans: reservations", .seed = 6, .expected = 0x256a80dedbbd9ba2, .running = 85, .large = 50},
        {.name = "plans: leaving, slow and untrusted workers",
         .seed = 7,
         .expected = 0x895ddebaca110135,
         .leaving = 60},
        {.name = "plans: blocked and lasting items",
         .seed = 8,
         .expected = 0x2bb6c59fa1718b44,
         .blocked = 40,
         .lasting = 30},
        {.name = "plans: bounds on work",
         .seed = 9,
         .expected = 0x216384a5b635aa75,
         .items_least = 40,
         .items_most = 90,
         .looks_most = 15,
         .evaluations_most = 300},
        {.name = "plans: all together",
         .seed = 10,
         .expected = 0x8a13bcde524ef43d,
         .workers_most = 40,
         .items_most = 90,
         .labels = 25,
         .gangs = 25,
         .apart = 25,
         .running = 85,
         .urgent = 30,
         .large = 20,
         .leaving = 20,
         .blocked = 10,
         .lasting = 10,
         .failed = 15,
         .remote = 30},
    };
    PlanCounts counts;
    for (const PlanGroup& group : groups)
        check_digest(group.name, group.expected, digest_of(group, counts));
    EXPECT(counts.starts > 0 && counts.stops > 0 && counts.reservations > 0 && counts.waits > 0 &&
           counts.unfinished > 0);
}

// --- clusters ---

// A processor that takes the same time for each message, whatever it does.
std::uint64_t no_work() {
    return 0;
}
constexpr Micros slow_message = 150;

struct ClusterPlay {
    std::string name;
    std::uint64_t seed = 0;
    std::uint64_t expected = 0;
    std::vector<Fault> faults;
    size_t daemons = 3, losses = 1, others = 2, jobs = 24, kinds_of_jobs = 13;
    bool racing = false, overlapping = false, timed_only = false, slow_processor = false;
    std::optional<size_t> leaves;  // the place of a daemon that leaves in order and comes back
};

void add_message(RunningDigest& digest, const Message& message) {
    digest.add(message.at).add(message.kind);
    digest.add(std::string_view(message.source)).add(std::string_view(message.target));
    digest.add(std::string_view(message.bytes));
}

void add_end(RunningDigest& digest, ClusterSimulation& run) {
    for (const auto& daemon : run.daemons) {
        digest.add(daemon->is_up).add(daemon->is_removed).add(daemon->incarnation).add(daemon->iterations);
        for (const auto& [name, bytes] : daemon->disk)
            digest.add(std::string_view(name)).add(std::string_view(bytes));
        for (std::uint64_t term : daemon->led_terms)
            digest.add(term);
        if (!daemon->is_up) continue;
        for (const auto& [key, value] : daemon->live_process->replica.registers)
            digest.add(std::string_view(key)).add(std::string_view(encode(value)));
    }
    const Oracle& oracle = run.oracle;
    for (const auto& tasks :
         {oracle.finished_tasks, oracle.recorded_done, oracle.started_jobs, run.accepted_jobs, run.observed_done})
        for (const std::string& task : tasks)
            digest.add(std::string_view(task));
    for (const auto& [task, count] : oracle.running_copies)
        digest.add(std::string_view(task)).add(count);
    for (const auto& [task, count] : oracle.recorded_failures)
        digest.add(std::string_view(task)).add(count);
    for (const auto& [id, at] : oracle.cancelled_at)
        digest.add(std::string_view(id)).add(at);
    digest.add(oracle.starts).add(oracle.incomplete_gangs).add(run.acknowledged_revision).add(run.reads_anywhere);
    digest.add(run.simulator.now).add(run.simulator.random.state);
}

void add_play(RunningDigest& digest, const ClusterPlay& play) {
    SimulationOptions options;
    options.daemons = play.daemons;
    options.max_daemon_faults = play.losses;
    options.other_workers = play.others;
    if (play.slow_processor) {
        options.meter = no_work;
        options.work_per_microsecond = 1;
        options.message_cost = slow_message;
    }
    ClusterSimulation run(play.seed, options);
    run.job_count = play.jobs;
    run.job_kinds = play.kinds_of_jobs;
    run.has_operator_race = play.racing;
    run.has_overlapping_faults = play.overlapping;
    run.recurring_only = play.timed_only;
    size_t messages = 0;
    run.simulator.at_message = [&](const Message& message) {
        ++messages;
        add_message(digest, message);
    };
    if (play.leaves)
        run.simulator.schedule(seconds(8), [&run, place = *play.leaves] {
            SimulatedDaemon& daemon = *run.daemons[place];
            daemon.begin_graceful_shutdown(
                [&run, &daemon] { run.simulator.schedule(seconds(3), [&daemon] { daemon.begin(); }); });
        });
    const std::vector<std::string> broken = run.run(play.faults);
    for (const std::string& rule : broken)
        EXPECT_SAID(false, fmt::format("play '{}', seed {}: {}", play.name, play.seed, rule));
    EXPECT(messages > 0);
    add_end(digest, run);
}

void check_play(const ClusterPlay& play) {
    RunningDigest digest;
    add_play(digest, play);
    check_digest(play.name, play.expected, digest.value());
}

// Two daemons, or two workers, are struck by the same trouble, the second one while the first one's lasts.
std::vector<Fault> twice(int kind, size_t first, size_t second) {
    return {{kind, first, seconds(8), seconds(4)}, {kind, second, ms(10300), seconds(5)}};
}

void clusters() {
    for (const ClusterPlay& play : std::initializer_list<ClusterPlay>{
             {.name = "cluster: no trouble, six kinds of job",
              .seed = 1,
              .expected = 0xd73e3e0e3427c05a,
              .kinds_of_jobs = 6},
             {.name = "cluster: no trouble, all kinds of job", .seed = 2, .expected = 0x26eb799e763391ff},
             {.name = "cluster: killed", .seed = 3, .expected = 0xeb1525085063937e, .faults = twice(kill_daemon, 0, 1)},
             {.name = "cluster: cut off",
             .seed = 4,
             .expected = 0x5a716152dff8f974,
             .faults = twice(isolate_daemon, 0, 1)},
             {.name = "cluster: all killed",
             .seed = 5,
             .expected = 0x6f62842dfa7123be,
             .faults = twice(kill_all, 0, 1)},
             {.name = "cluster: frozen",
             .seed = 6,
             .expected = 0x9b9d4955875aae76,
             .faults = twice(suspend_daemon, 0, 1)},
             {.name = "cluster: slow disks",
             .seed = 7,
             .expected = 0xc852e24bd65ba2d8,
             .faults = twice(slow_disk, 0, 1)},
             {.name = "cluster: workers reborn",
             .seed = 8,
             .expected = 0x92d09b2ee5291596,
             .faults = twice(restart_worker, 0, 5)},
             {.name = "cluster: sides cut off",
             .seed = 9,
             .expected = 0xde5177705285ff36,
             .faults = twice(isolate_agent, 0, 5)},
             {.name = "cluster: slow workers",
             .seed = 10,
             .expected = 0x93e37004281426c8,
             .faults = twice(slow_worker, 0, 5)},
             {.name = "cluster: stuck workers",
             .seed = 11,
             .expected = 0x43b79faecd437a8d,
             .faults = twice(stuck_worker, 0, 5)},
             {.name = "cluster: silent workers",
             .seed = 12,
             .expected = 0xd3b698561a3797c0,
             .faults = twice(unresponsive_worker, 0, 5)},
             {.name = "cluster: flapping workers",
             .seed = 13,
             .expected = 0x2b7e694ce06c4360,
             .faults = twice(flapping_worker, 0, 5)},
             {.name = "cluster: draining workers",
             .seed = 14,
             .expected = 0x91201e26f2181920,
             .faults = twice(draining_worker, 0, 5)},
             {.name = "cluster: clocks ahead, then power lost",
             .seed = 15,
             .expected = 0x08bfb72c34c22b14,
             .faults = {{clock_ahead, 0, seconds(6), seconds(9)}, {power_loss, 0, seconds(9), ms(900)}},
             .timed_only = true},
             {.name = "cluster: clocks back, then power lost",
             .seed = 16,
             .expected = 0x57da55c2acb63991,
             .faults = {{clock_back, 1, seconds(6), seconds(9)}, {power_loss, 0, seconds(9), ms(900)}},
             .timed_only = true},
             {.name = "cluster: slow processor, killed",
             .seed = 17,
             .expected = 0xa34fcc37a06e948f,
             .faults = twice(kill_daemon, 0, 1),
             .slow_processor = true},
             {.name = "cluster: the first daemon leaves", .seed = 18, .expected = 0xe6566c7c04c2abfa, .leaves = 0},
             {.name = "cluster: another daemon leaves", .seed = 19, .expected = 0x443c18be44984796, .leaves = 2},
             {.name = "core of 5: wiped",
             .seed = 20,
             .expected = 0x01b106f098a696a1,
             .faults = twice(wipe_daemon, 0, 1),
             .daemons = 5,
             .losses = 2,
             .racing = true},
             {.name = "core of 6: replaced",
             .seed = 21,
             .expected = 0xc2e18a4ff3487e4e,
             .faults = twice(replace_daemon, 4, 5),
             .daemons = 6,
             .losses = 2,
             .racing = true},
             {.name = "core of 5: muted",
             .seed = 22,
             .expected = 0xd54c362f7b6e572c,
             .faults = twice(mute_daemon, 0, 1),
             .daemons = 5,
             .losses = 2,
             .racing = true},
             {.name = "core of 5: deafened",
             .seed = 23,
             .expected = 0x28634d62b3e2703e,
             .faults = twice(deafen_daemon, 0, 1),
             .daemons = 5,
             .losses = 2,
             .racing = true},
             {.name = "core of 8: cut off from its peers",
             .seed = 24,
             .expected = 0xab8dfbccbea319bd,
             .faults = twice(partition_daemon, 0, 7),
             .daemons = 8,
             .losses = 2,
             .racing = true},
             {.name = "core of 1: killed",
             .seed = 25,
             .expected = 0x669696088b0bf61d,
             .faults = {{kill_daemon, 0, seconds(8), seconds(3)}},
             .daemons = 1},
         })
        check_play(play);
}

constexpr std::uint64_t drawn_plays = 24;

// Troubles of all kinds, one to eight of them.
std::vector<Fault> drawn_faults(Draw& draw) {
    std::vector<Fault> faults;
    for (std::int64_t count = draw.between(1, 8); count > 0; --count) {
        Fault fault;
        fault.kind = int(draw.below(fault_kind_count));
        fault.target = draw.below(12);
        fault.at = ms(draw.between(2000, 28000));
        fault.duration = ms(draw.between(300, 7000));
        faults.push_back(fault);
    }
    return faults;
}

void drawn_clusters() {
    struct Row {
        const char* name;
        std::uint64_t seed;
        std::uint64_t expected;
        size_t daemons, losses;
        bool racing;
    };
    for (const Row& row : {Row{"drawn troubles, core of 3", 1000, 0x4bc4982bf2aaa148, 3, 1, false},
                           {"drawn troubles, core of 5, two operators", 2000, 0x3daeab8c4f19f2b9, 5, 2, true},
                           {"drawn troubles, core of 6", 3000, 0x80cb43387d5f86cf, 6, 2, false}}) {
        RunningDigest digest;
        Draw draw(row.seed);
        for (std::uint64_t number = 0; number < drawn_plays; ++number) {
            ClusterPlay play;
            play.name = row.name;
            play.seed = row.seed + number;
            play.faults = drawn_faults(draw);
            play.daemons = row.daemons;
            play.losses = row.losses;
            play.racing = row.racing;
            add_play(digest, play);
        }
        check_digest(row.name, row.expected, digest.value());
    }
}

// --- foundings ---

constexpr size_t foundings_a_group = 60;
constexpr size_t steps_a_founding = 400;

struct FoundingMessage {
    std::string source, target;
    std::variant<BootstrapRequest, BootstrapResponse> content;
};

struct Founder {
    BootstrapSettings settings;
    std::map<std::string, std::string> disk;
    std::unique_ptr<Replica> replica;
    std::unique_ptr<Bootstrap> founding;
};

// Each change is on the disk at once; messages are delivered in any order, lost or repeated, and founders restart.
struct FoundingPlay {
    RunningDigest& digest;
    Draw& draw;
    std::map<std::string, Founder> founders;
    std::vector<FoundingMessage> messages;
    Micros now = seconds(100);
    std::uint64_t last_identity = 1000;

    FoundingPlay(RunningDigest& digest, Draw& draw, size_t count) : digest(digest), draw(draw) {
        std::vector<std::string> seeds;
        for (size_t place = 0; place < count; ++place)
            seeds.push_back(fmt::format("m{}:1", place));
        for (const std::string& seed : seeds) {
            Founder& founder = founders[seed];
            founder.settings.control_address = seed;
            founder.settings.replica_address = "r-" + seed;
            founder.settings.seeds = seeds;
            founder.settings.is_first_start = founder.settings.is_eligible = true;
        }
        for (auto& [control, founder] : founders)
            start(founder);
    }
    void start(Founder& founder) {
        founder.founding.reset();
        founder.replica = std::make_unique<Replica>();
        for (const auto& [name, bytes] : founder.disk)
            EXPECT(founder.replica->load_entry(name, bytes));
        EXPECT(founder.replica->finish_load());
        if (founder.replica->replica_id.value == 0) {
            founder.replica->replica_id = ReplicaId{++last_identity};
            founder.disk["m/identity"] = encode(founder.replica->replica_id);
        }
        founder.founding = std::make_unique<Bootstrap>(founder.settings, *founder.replica);
        keep(founder, founder.founding->start());
    }
    void keep(Founder& founder, const WriteBatch& change) {
        for (const auto& [name, bytes] : change.entries) {
            digest.add(std::string_view(name)).add(bytes.has_value()).add(std::string_view(bytes.value_or("")));
            if (bytes)
                founder.disk[name] = *bytes;
            else
                founder.disk.erase(name);
        }
        founder.founding->mark_durable(founder.founding->last_batch_sequence());
    }
    void send(FoundingMessage message) {
        digest.add(now).add(std::string_view(message.source)).add(std::string_view(message.target));
        digest.add(message.content.index());
        digest.add(std::string_view(std::visit([](const auto& frame) { return encode(frame); }, message.content)));
        messages.push_back(std::move(message));
    }
    void pump(const std::string& control, Founder& founder) {
        for (BootstrapMessage& message : founder.founding->requests_due(now))
            send({control, message.control_address, std::move(message.request)});
    }
    void deliver(const FoundingMessage& message) {
        Founder& target = founders.at(message.target);
        if (const auto* ask = std::get_if<BootstrapRequest>(&message.content)) {
            auto [answer, change] = target.founding->on_request(*ask, now);
            keep(target, change);
            send({message.target, message.source, std::move(answer)});
        } else {
            keep(target,
                 target.founding->on_response(message.source, &std::get<BootstrapResponse>(message.content), now));
        }
    }
    void lose(const FoundingMessage& message) {
        if (!std::holds_alternative<BootstrapRequest>(message.content)) return;
        Founder& source = founders.at(message.source);
        keep(source, source.founding->on_response(message.target, nullptr, now));
    }
    void step() {
        constexpr std::int64_t repeated = 5, lost = 10, restarted = 2, wiped = 1;
        now += milliseconds(draw.between(0, 20));
        for (auto& [control, founder] : founders)
            if (draw.chance(50)) pump(control, founder);
        if (!messages.empty()) {
            const auto place = messages.begin() + std::ptrdiff_t(draw.below(messages.size()));
            const FoundingMessage message = *place;
            if (!draw.chance(repeated)) messages.erase(place);
            if (draw.chance(lost))
                lose(message);
            else
                deliver(message);
        }
        Founder& founder = std::next(founders.begin(), std::ptrdiff_t(draw.below(founders.size())))->second;
        if (draw.chance(wiped)) founder.disk.clear();
        if (founder.disk.empty() || draw.chance(restarted)) start(founder);
    }
    size_t members() const {
        return size_t(std::count_if(founders.begin(), founders.end(), [](const auto& entry) {
            return entry.second.founding->state() == BootstrapState::member;
        }));
    }
    void add_end() {
        for (auto& [control, founder] : founders) {
            digest.add(founder.founding->state());
            for (const auto& [name, bytes] : founder.disk)
                digest.add(std::string_view(name)).add(std::string_view(bytes));
        }
    }
};

void foundings() {
    struct Row {
        const char* name;
        std::uint64_t seed;
        std::uint64_t expected;
        size_t founders;
    };
    size_t members = 0;
    for (const Row& row : {Row{"foundings of 1", 1, 0x92cb1b6e3309db90, 1},
                           {"foundings of 3", 2, 0xe0f15495e4d104c7, 3},
                           {"foundings of 5", 3, 0xbfe1071da7b65931, 5}}) {
        RunningDigest digest;
        Draw draw(row.seed);
        for (size_t number = 0; number < foundings_a_group; ++number) {
            FoundingPlay play(digest, draw, row.founders);
            for (size_t step = 0; step < steps_a_founding; ++step)
                play.step();
            play.add_end();
            members += play.members();
        }
        check_digest(row.name, row.expected, digest.value());
    }
    EXPECT(members > 0);
}

// --- histories ---

constexpr std::uint64_t walks_of_a_scenario = 4;
constexpr size_t steps_of_a_scenario_walk = 300;
constexpr size_t steps_of_a_free_walk = 4000;
constexpr std::int64_t ordinary = 95;  // percent of the steps that deliver a message or sync a disk, if there is one

bool is_ordinary(const model::Step& step) {
    using Kind = model::Step::Kind;
    return step.kind == Kind::deliver_request || step.kind == Kind::deliver_response || step.kind == Kind::exchange ||
           step.kind == Kind::sync;
}

void walk(RunningDigest& digest, model::World world, std::uint64_t seed, size_t steps_most) {
    Draw draw(seed);
    for (size_t number = 0; number < steps_most; ++number) {
        std::vector<model::Step> steps = world.steps();
        digest.add(steps.size());
        if (steps.empty()) return;
        const bool any_ordinary = std::any_of(steps.begin(), steps.end(), is_ordinary);
        const bool any_rare = !std::all_of(steps.begin(), steps.end(), is_ordinary);
        const bool wanted = any_ordinary && (!any_rare || draw.chance(ordinary));
        std::erase_if(steps, [wanted](const model::Step& step) { return is_ordinary(step) != wanted; });
        const model::Step& step = steps[draw.below(steps.size())];
        digest.add(step.kind).add(step.first).add(step.second);
        const std::string violated = world.take(step);
        EXPECT_SAID(violated.empty(), violated);
        const model::Digest state = world.digest();
        digest.add(state.low).add(state.high);
    }
}

void histories() {
    RunningDigest digest;
    for (const model::Scenario& scenario : model::all_scenarios(1))
        for (std::uint64_t seed = 0; seed < walks_of_a_scenario; ++seed)
            walk(digest, scenario.start, seed, steps_of_a_scenario_walk);
    check_digest("histories: walks of the scenarios", 0x4653fea559f277d6, digest.value());
    constexpr std::uint32_t unbounded = 1'000'000'000;
    model::Bounds bounds;
    bounds.elections = bounds.proposals = bounds.reads = bounds.removals = bounds.joins = unbounded;
    bounds.wipes = bounds.crashes = bounds.timeouts = bounds.duplicates = unbounded;
    bounds.late = true;
    bounds.batch_bytes = 200;
    bounds.keys = {"job/1", "job/2", "job/3"};
    for (const auto& [name, expected, members] :
         {std::tuple{"histories: core of 3", std::uint64_t(0x31b085c022ecbcd8), std::vector<std::uint64_t>{1, 2, 3}},
          std::tuple{"histories: core of 5", std::uint64_t(0xaccd249dca06f937),
                     std::vector<std::uint64_t>{1, 2, 3, 4, 5}}}) {
        RunningDigest free;
        walk(free, model::World(model::membership_of(members), 1, bounds), members.size(), steps_of_a_free_walk);
        check_digest(name, expected, free.value());
    }
}

}  // namespace

int main() {
    std::freopen("/dev/null", "w", stdout);
    plans();
    foundings();
    histories();
    clusters();
    drawn_clusters();
    return exit_status();
}
