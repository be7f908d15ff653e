// An experiment without daemons: the real scheduler over simulated workers and a ledger that commits at once, with a
// simulated clock. It shows what scheduling costs, apart from disks and messages.
#pragma once
#include "common.hpp"
#include "control/jobs/scheduler.hpp"
#include "hollow/load_generator.hpp"
#include "hollow/samples.hpp"

namespace calicostall {

// CPU time of the calling thread, in seconds.
double thread_cpu_s();

// A ledger that commits every proposal. The callbacks are called by commit_all(), so never within the call that
// proposed. The scheduler's template parameter.
struct InstantLedger {
    std::deque<std::function<void(bool)>> callbacks;
    std::uint64_t proposals = 0;
    std::uint64_t bytes = 0;  // of all proposals
    void propose(const std::string& key, std::optional<std::string> immutable, const Mutation& mutation,
                 std::function<void(bool)> on_committed);
    void confirm(const std::string&, std::function<void(bool)> on_confirmed);
    void remove_key(const std::string&) {}
    void commit_all();
};

// Runs the steps of one experiment, which must outlive it. Owns the simulated clock, the scheduler and the machines.
class InProcessRun {
public:
    struct Result {
        std::uint64_t starts = 0;      // of runs
        std::uint64_t done = 0;        // runs that ended as done
        std::uint64_t other_ends = 0;  // runs that ended in any other way
        std::uint64_t jobs = 0;
        std::uint64_t jobs_refused = 0;
        size_t running = 0;      // at the end of the step
        double simulated_s = 0;  // by the simulated clock
        double cpu_s = 0;        // of the scheduler
        std::map<std::string, double> cpu_by_part_s;
        std::uint64_t proposals = 0;
        std::uint64_t proposal_bytes = 0;
        std::uint64_t order_bytes = 0;   // of responses to agents
        std::uint64_t report_bytes = 0;  // of polls of agents
        std::uint64_t agent_polls = 0;
    };

    explicit InProcessRun(const Experiment& experiment);

    // Of the last step: from a job's submission to a start of one of its tasks, the same of the most urgent queues, and
    // the CPU time of an iteration of the scheduler.
    Samples start_ms;
    Samples urgent_start_ms;
    Samples tick_ms;

    // Runs one step; what earlier steps left running goes on.
    // Example: InProcessRun run(experiment); run.run_step(experiment.steps[0]).starts
    Result run_step(const LoadStep& step);

private:
    struct Machine {
        WorkerInfo worker_info;
        std::string node;
        std::unique_ptr<SimulatedWorker> worker;
        Term term;
        std::uint64_t poll_number = 0;
        std::uint64_t accepted_order = 0;    // the last order that was executed
        std::uint64_t acknowledged_end = 0;  // the last end that the scheduler has acknowledged
        std::uint64_t reported_end = 0;      // the last end that was reported
        std::vector<OrderResult> results;
        std::vector<std::string> stops;
        Micros next_poll_at = 0;
        bool is_status_requested = true;
    };

    struct SubmittedJob {
        Micros submitted_at = 0;
        std::int64_t priority = 0;
    };

    // Calls the action and charges its CPU time (returned, seconds) to a part of the scheduler.
    template <class Action>
    double charge_cpu(const char* part, Action action) {
        const double begun_s = thread_cpu_s();
        action();
        const double took_s = thread_cpu_s() - begun_s;
        cpu_by_part_s_[part] += took_s;
        uncharged_cpu_s_ += took_s;
        return took_s;
    }
    // Iterates for some time of the simulated clock, with the load of a step or, for nullptr, without one.
    void run_for(Micros time, const LoadStep* step);
    void run_iteration(const LoadStep* step);
    // Submits the long tasks of a step and waits until they run.
    void fill(const LoadStep& step);
    size_t running() const;
    // Since the first step.
    Result totals() const;
    Result difference(const Result& before, Result after) const;
    void add_machine();
    void record_start(const std::string& task, Micros now);
    void submit(const LoadStep& step, std::int64_t tasks, Micros duration);
    Micros wall_clock() const { return now_ + seconds(1700000000); }
    void poll_scheduler(Machine& machine);
    std::vector<Machine*> machines_to_notify();
    void receive_orders(Machine& machine);
    void renew_lease(Machine& machine, std::int64_t lease_expires_ms);
    void execute(const Order& order, std::int64_t lease_expires_ms, Machine& machine);

    const Experiment& experiment_;
    LoadGenerator generator_;
    InstantLedger ledger_;
    Scheduler<InstantLedger> scheduler_;
    GangRegistry gangs_;
    std::vector<Machine> machines_;
    std::map<std::string, size_t> machine_index_by_node_;  // in machines_
    std::map<std::string, SubmittedJob> submitted_jobs_;   // by job ID
    std::map<std::string, double> cpu_by_part_s_;
    Result totals_;
    std::int64_t long_tasks_ = 0;  // submitted so far, also by earlier steps
    double uncharged_cpu_s_ = 0;   // not yet charged to the simulated clock
    Micros now_ = seconds(1000);   // of the simulated clock
    Micros next_arrival_at_ = 0;
};

}  // namespace calicostall
