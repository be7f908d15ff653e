// An experiment without daemons: the real scheduler, hollow workers and a record that agrees at once, under a clock of
// its own. It shows what scheduling costs apart from disks and messages.
#pragma once
#include "common.hpp"
#include "control/jobs/scheduler.hpp"
#include "hollow/load.hpp"
#include "hollow/measure.hpp"

namespace calicostall {

// Processor time of this thread, in seconds.
double thread_cpu_s();

// A record that takes every proposal; its callbacks run after the call that made it.
struct InstantLedger {
    std::deque<std::function<void(bool)>> callbacks;
    std::uint64_t proposals = 0, bytes = 0;
    void propose(const std::string& key, std::optional<std::string> fixed, Patch patch, std::function<void(bool)> then);
    void confirm(const std::string&, std::function<void(bool)> then);
    void bury(const std::string&) {}
    void settle();
};

// The run of one experiment, step after step.
class InsideRun {
public:
    struct Result {
        std::uint64_t starts = 0, done = 0, other_ends = 0, jobs = 0, jobs_refused = 0;
        size_t running = 0;
        double clock_s = 0, cpu_s = 0;
        std::map<std::string, double> cpu_by_part;
        std::uint64_t proposals = 0, proposal_bytes = 0, order_bytes = 0, report_bytes = 0, side_asks = 0;
    };

    InsideRun(const Experiment& experiment);
    Samples start_ms, urgent_start_ms, tick_ms;

    // Runs one step. Example: InsideRun run(experiment); run.play(experiment.steps[0]).starts
    Result play(const HollowStep& step);

private:
    struct Machine {
        WorkerAccount account;
        std::string node;
        std::unique_ptr<HollowWorker> worker;
        Epoch epoch;
        std::uint64_t number = 0, taken = 0, seen = 0, ends_shown = 0;
        std::vector<OrderResult> results;
        std::vector<std::string> stops;
        Micros ask_at = 0;
        bool look = true;
    };

    template <class Act>
    double charge(const char* part, Act act) {
        double begun = thread_cpu_s();
        act();
        double took = thread_cpu_s() - begun;
        parts_[part] += took;
        owed_ += took;
        return took;
    }
    size_t running() const;
    Result totals() const;
    void add_machine();
    void note_start(const std::string& task, Micros now);
    void submit(const HollowStep& step, std::int64_t tasks, Micros length);
    Micros wall() const { return now_ + seconds(1700000000); }
    void round(const HollowStep* step);
    void send_report(Machine& machine);
    void hear(Machine& machine);

    const Experiment& experiment_;
    HollowLoad load_;
    InstantLedger ledger_;
    Scheduler<InstantLedger> scheduler_;
    GangBoard board_;
    std::vector<Machine> machines_;
    std::map<std::string, size_t> places_;  // by node, in `machines_`
    std::map<std::string, std::pair<Micros, std::int64_t>> sent_;
    std::map<std::string, double> parts_;
    Result sums_;
    std::int64_t long_tasks_ = 0;  // started by earlier steps too
    double owed_ = 0;
    Micros now_ = seconds(1000), next_arrival_ = 0;
};

}  // namespace calicostall
