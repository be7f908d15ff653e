// The event loop of the load simulator: simulated workers are answered within the process, everything else is sent to
// the daemons and counted.
#pragma once
#include "common.hpp"
#include "shared/http/event_loop.hpp"

namespace calicostall {

// What was sent and received, in requests and in bytes of heads and bodies.
struct TrafficCounters {
    std::uint64_t requests = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    TrafficCounters& operator+=(const TrafficCounters& more);
};

// Traffic by kind of request: a path, or "client METHOD" for the requests of clients.
using TrafficByKind = std::map<std::string, TrafficCounters>;

// Owns the traffic counters, which other threads may read while the loop runs.
class SimulatorLoop : public EventLoop {
public:
    using WorkerHandler = std::function<void(std::string path, ClientRequest request, ResponseHandler on_response)>;

    SimulatorLoop();

    // Requests to `address` ("HOST:PORT") go to the handler from now on. To be called on the loop's thread.
    void register_worker(const std::string& address, WorkerHandler handler);

    void send(ClientRequest request, ResponseHandler on_response) override;

    // Adds the traffic so far to `sum`. May be called on any thread.
    void add_traffic(TrafficByKind& sum) const;

private:
    void count(const std::string& kind, size_t sent_bytes, const ClientResponse& response);

    std::unordered_map<std::string, WorkerHandler> workers_;  // by address
    mutable std::mutex traffic_lock_;
    TrafficByKind traffic_;
};

}  // namespace calicostall
