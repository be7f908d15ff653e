// Start and stop orders on their way to the workers: numbered, queued until the agent has received them.
#pragma once
#include "control/jobs/runs/straggler_detector.hpp"

namespace calicostall {

// Owns the numbering of orders and when unknown runs were stopped last; the queues stand with the workers. Times are
// microseconds of the monotonic clock.
class OrderQueue {
public:
    OrderQueue(SchedulerState& state, const StragglerDetector& straggler_detector)
        : state_(state), straggler_detector_(straggler_detector) {}

    // The agent has received all orders up to this number.
    void on_received(WorkerRecord& worker, std::uint64_t last_received_order);
    // Orders the start of a run that the record has. Nothing happens where the run is no longer wanted there; where its
    // queue has moved to another service it is stopped.
    void queue_start(const std::string& worker_id, const RunId& run_id, Micros now);
    // Orders the stop of a run, once. A recorded intent that has not become an order is stopped all the same: the start
    // order is not given any more.
    void request_stop(WorkerRecord& worker, RunRecord& run);
    // Orders a stop again, whose answer may be lost.
    void repeat_stop(WorkerRecord& worker, const RunId& run_id);
    // Stops a run that the record does not know there (any more); repeated reports cause an order from time to time.
    void stop_unknown_run(WorkerRecord& worker, const RunId& run_id, Micros now);
    void clear();

private:
    void queue_order(WorkerRecord& worker, Order order);

    SchedulerState& state_;
    const StragglerDetector& straggler_detector_;
    std::map<std::pair<std::string, RunId>, Micros> unknown_runs_;  // worker id and run -> when it was stopped last
    std::uint64_t last_order_number_ = 0;
};

}  // namespace calicostall
