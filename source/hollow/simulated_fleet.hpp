// Simulated workers behind real agents, all on the thread of one event loop.
#pragma once
#include "agent/agent.hpp"
#include "hollow/load_generator.hpp"
#include "hollow/simulated_worker.hpp"
#include "hollow/simulator_loop.hpp"

namespace calicostall {

// Sums over the workers of a fleet.
struct FleetCounters {
    std::uint64_t starts = 0;      // of runs
    std::uint64_t done = 0;        // runs that ended as done
    std::uint64_t other_ends = 0;  // runs that ended in any other way
    std::uint64_t running = 0;
    FleetCounters& operator+=(const FleetCounters& more);
};

// Owns its loop, its workers and their agents; the thread runs until the process ends.
class SimulatedFleet {
public:
    // Both must outlive it. Members of a gang may be on workers of several fleets.
    SimulatedFleet(const Experiment& experiment, GangRegistry& gangs);

    // Starts the thread.
    void open();
    // Adds the worker with this number; it joins within a second. `on_start` is called on the fleet's thread.
    void add(std::int64_t number, SimulatedWorker::StartCallback on_start);

    const SimulatorLoop& loop() const { return loop_; }
    // The sums as of a few milliseconds ago. May be called on any thread.
    FleetCounters counters() const;

private:
    // A status request that waits for a run to end.
    struct LongPoll {
        EventLoop::ResponseHandler on_response;
        Micros deadline = 0;
        std::uint64_t acknowledged_end = 0;
    };
    struct Machine {
        WorkerInfo worker_info;
        std::unique_ptr<SimulatedWorker> worker;
        std::unique_ptr<Agent> agent;
        std::vector<LongPoll> long_polls;
        Micros next_heartbeat_at = 0;
        std::uint64_t heartbeats_sent = 0;
    };

    void add_machine(std::int64_t number, const SimulatedWorker::StartCallback& on_start);
    void handle_request(Machine& machine, const std::string& path, const ClientRequest& request,
                        EventLoop::ResponseHandler on_response);
    void respond(EventLoop::ResponseHandler on_response, SimulatedWorker::Reply reply);
    void tick();
    void answer_long_polls(Machine& machine, Micros now);
    void send_heartbeat(Machine& machine, Micros now);

    const Experiment& experiment_;
    LoadGenerator generator_;
    GangRegistry& gangs_;
    SimulatorLoop loop_;
    std::vector<std::unique_ptr<Machine>> machines_;
    std::atomic<std::uint64_t> starts_{0};
    std::atomic<std::uint64_t> done_{0};
    std::atomic<std::uint64_t> other_ends_{0};
    std::atomic<std::uint64_t> running_{0};
};

}  // namespace calicostall
