// What the owner knows at one moment, as far as a preview needs it: no job_spec, no checkpoint. Plain data.
#pragma once
#include "common.hpp"
#include "control/jobs/spec.hpp"
#include "preview/planner_fields.hpp"
#include "shared/record/finding.hpp"
#include "shared/settings/config.hpp"
#include "shared/wire/cbor.hpp"

namespace calicostall {

// Neighbouring tasks of one step that are in the same state.
struct SnapshotTasks {
    std::uint32_t count = 0;
    bool done = false, saved = false;  // saved: a checkpoint is in the record
    std::uint32_t failures = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(count), visit(done), visit(saved), visit(failures);
    }
    bool same_state(const SnapshotTasks& other) const;
};

struct SnapshotTime {
    std::uint64_t number = 0;
    std::vector<std::vector<SnapshotTasks>> steps;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(steps);
    }
};

// A task that failed before, and the machines where it did.
struct SnapshotFailed {
    std::uint64_t time = 0;
    std::uint32_t step = 0, index = 0;
    std::vector<std::string> nodes;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(time), visit(step), visit(index), visit(nodes);
    }
};

struct SnapshotStep {
    Step wanted;
    Micros expected = 0;  // as learnt, on a sound worker near its data
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(wanted), visit(expected);
    }
};

struct SnapshotJob {
    std::string id, host, prefix, service;
    std::int64_t priority = 0;
    std::uint32_t attempts_most = 1;
    std::uint64_t extension_thousandths = 1500;
    Micros target = 0, accepted_wall = 0;
    std::uint64_t repeats = 0, next_time = 0;
    Micros first_at = 0, interval = 0;
    std::vector<SnapshotStep> steps;
    std::vector<SnapshotTime> times;
    std::vector<SnapshotFailed> failed;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(id), visit(host), visit(prefix), visit(service), visit(priority), visit(attempts_most),
            visit(extension_thousandths), visit(target), visit(accepted_wall), visit(repeats), visit(next_time),
            visit(first_at), visit(interval), visit(steps), visit(times), visit(failed);
    }
};

enum class SnapshotRunState { intended, ordered, running, stopping };

// One run that takes room on a worker.
struct SnapshotRun {
    std::string job;
    std::uint64_t time = 0;
    std::uint32_t step = 0, index = 0, run = 0;
    std::int64_t cpu = 0, memory = 0, gpu = 0, priority = 0;
    SnapshotRunState state = SnapshotRunState::intended;
    Micros elapsed = -1;  // since its order; -1: not ordered yet
    std::int64_t percent = 0;
    Micros shown = 0;  // how long after its order the percent was seen
    bool saved = false, doubled = false, backfill = false;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(job), visit(time), visit(step), visit(index), visit(run), visit(cpu), visit(memory), visit(gpu),
            visit(priority), visit(state), visit(elapsed), visit(percent), visit(shown), visit(saved), visit(doubled),
            visit(backfill);
    }
    // Example: "5c0e7a21d94b36f8.0.1.17"
    std::string task() const { return fmt::format("{}.{}.{}.{}", job, time, step, index); }
};

struct SnapshotWorker {
    std::string life, node, service, zone;
    std::uint32_t place = 0;  // in the planner's fleet: of equal workers the first one is taken
    std::vector<std::string> labels;
    std::int64_t cpu = 0, memory = 0, gpu = 0;
    bool placeholder = false, reconciled = false, silent = false, draining = false, paused = false;
    Micros heard_ago = 0, leaves_in = -1, avoided_for = 0, lapses_in = 0;
    std::uint64_t pace_thousandths = 1000, trust_thousandths = 1000;
    std::vector<SnapshotRun> runs;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(life), visit(node), visit(service), visit(zone), visit(place), visit(labels), visit(cpu), visit(memory),
            visit(gpu), visit(placeholder), visit(reconciled), visit(silent), visit(draining), visit(paused),
            visit(heard_ago), visit(leaves_in), visit(avoided_for), visit(lapses_in), visit(pace_thousandths),
            visit(trust_thousandths), visit(runs);
    }
};

// What the queues of one level used lately of a service; it fades.
struct SnapshotDemand {
    std::string service;
    std::int64_t level = 0;
    std::int64_t cpu = 0, memory = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(service), visit(level), visit(cpu), visit(memory);
    }
};

struct Snapshot {
    std::uint64_t epoch = 0;
    Micros wall = 0;                    // the owner's wall clock
    Micros confirmed_ago = 0;           // when a majority last followed this owner
    std::string config;                 // the operators' configuration in force
    Micros fresh = 0;                   // a worker heard longer ago gets no start
    Micros lapse = 0;                   // how long after the last news of a worker its runs are surely over
    std::vector<PlannerField> planner;  // the daemons' own weights and ratios
    std::vector<SnapshotWorker> workers;
    std::vector<SnapshotJob> jobs;
    std::vector<SnapshotDemand> demand;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(epoch), visit(wall), visit(confirmed_ago), visit(config), visit(fresh), visit(lapse), visit(planner),
            visit(workers), visit(jobs), visit(demand);
    }
};

constexpr std::uint64_t snapshot_format = 1;
inline const std::string snapshot_mark = "calicostall snapshot";

// Example: std::string bytes = pack_snapshot(snapshot);  // the same snapshot gives the same bytes
std::string pack_snapshot(const Snapshot& snapshot);

// A snapshot as lines of a log, each short enough for whatever collects logs: "NUMBER PART PARTS HEXADECIMAL".
// Example: for (const std::string& line : snapshot_lines(bytes, wall)) log_line("snapshot", "{}", line);
std::vector<std::string> snapshot_lines(const std::string& bytes, Micros number, size_t bytes_each = 1500);

// Looks at every field of a snapshot; each thing that is wrong becomes a finding with its place.
// Example: "jobs[3].steps[1].depends_on: must name earlier steps only"
void check_snapshot(const Snapshot& snapshot, Findings& findings);

// Reads a snapshot and checks it whole.
// Example: Findings findings; auto snapshot = unpack_snapshot(bytes, "today.snapshot", findings); if
// (!findings.empty()) exit with 2
std::optional<Snapshot> unpack_snapshot(std::string_view bytes, const std::string& name, Findings& findings);

}  // namespace calicostall
