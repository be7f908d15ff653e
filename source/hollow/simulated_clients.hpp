// Simulated clients, which submit and query jobs, and the simulated operator, all on the thread of one event loop.
#pragma once
#include "hollow/load_generator.hpp"
#include "hollow/samples.hpp"
#include "hollow/simulated_operator.hpp"
#include "hollow/simulator_loop.hpp"
#include "shared/discovery/leader_locator.hpp"

namespace calicostall {

// Counters and times of the clients' requests; may be read on any thread.
struct ClientStatistics {
    std::atomic<std::uint64_t> jobs{0};        // submitted
    std::atomic<std::uint64_t> accepted{0};    // with status 200
    std::atomic<std::uint64_t> refused{0};     // with another status
    std::atomic<std::uint64_t> unanswered{0};  // without a definite response
    Samples accept_ms;
    Samples query_ms;
    Samples start_ms;         // from a job's submission to a start of one of its tasks
    Samples urgent_start_ms;  // the same, of the most urgent queues
    void clear();
};

// Owns its loop; the thread runs until the process ends.
class SimulatedClients {
public:
    // `experiment` must outlive it.
    explicit SimulatedClients(const Experiment& experiment);

    // Starts the thread.
    void open();

    // All of these may be called on any thread.
    void set_load(const LoadStep& step, bool is_generating);
    void set_config(std::int64_t teams);
    void submit_long(const LoadStep& step, std::int64_t tasks);
    // A run of a task started on a simulated worker.
    void record_start(const std::string& task, Micros now);
    // Begins a new measurement: clears all statistics.
    void clear_statistics();
    ClientStatistics& statistics() { return statistics_; }
    OperatorStatistics& operator_statistics() { return operator_.statistics(); }
    const SimulatorLoop& loop() const { return loop_; }
    // The address of the leader's replica, as far as it is known.
    std::string leader() const { return locator_->leader(); }

private:
    struct SubmittedJob {
        Micros submitted_at = 0;
        std::int64_t priority = 0;
    };
    // Called with the status of a response; 0 without a definite one.
    using StatusHandler = std::function<void(int)>;

    void tick();
    void submit(const LoadStep& step, std::int64_t tasks, Micros duration);
    void on_submit_response(int status, Micros submitted_at);
    void query_job();
    void call(const char* method, const std::string& path, std::string body, StatusHandler on_status);
    void call_front(const char* method, const std::string& path, std::string body, StatusHandler on_status);
    void call_leader(const char* method, const std::string& path, std::string body, StatusHandler on_status);

    const Experiment& experiment_;
    LoadGenerator generator_;
    SimulatorLoop loop_;
    std::vector<std::string> replicas_;
    std::unique_ptr<LeaderLocator> locator_;
    SimulatedOperator operator_;
    std::mutex lock_;
    std::map<std::string, SubmittedJob> submitted_jobs_;  // by job ID; guarded by lock_
    std::deque<std::string> recent_paths_;                // of submitted jobs, for queries
    LoadStep step_;
    bool is_generating_ = false;
    Micros next_arrival_at_ = 0;
    Micros next_query_at_ = 0;
    Micros next_change_at_ = 0;
    ClientStatistics statistics_;
};

}  // namespace calicostall
