#include "control/jobs/runs/order_queue.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

constexpr Micros unknown_run_stop_interval = milliseconds(500);  // between two stops of the same unknown run
constexpr size_t max_unknown_runs = 10000;                       // beyond it all are forgotten

Order stop_order(const RunId& run_id) {
    return {0, OrderKind::stop, {}, run_id.task_name(), run_id.run, {}, {}};
}

}  // namespace

void OrderQueue::on_received(WorkerRecord& worker, std::uint64_t last_received_order) {
    while (!worker.orders.empty() && worker.orders.front().number <= last_received_order)
        worker.orders.pop_front();
}

void OrderQueue::queue_order(WorkerRecord& worker, Order order) {
    // One counter for all workers: an agent that meets a new incarnation has received none of its orders yet.
    order.number = ++last_order_number_;
    order.worker_id = worker.info.worker_id;
    worker.orders.push_back(std::move(order));
    state_.notify_agent(worker);
}

void OrderQueue::queue_start(const std::string& worker_id, const RunId& run_id, Micros now) {
    const auto found = state_.workers.find(worker_id);
    const auto job = state_.jobs.find(run_id.job);
    if (found == state_.workers.end() || job == state_.jobs.end()) return;
    WorkerRecord& worker = found->second;
    JobRecord& record = job->second;
    const auto run = worker.runs.find(run_id);
    if (run == worker.runs.end() || run->second.is_stop_requested) return;
    const Task* task = record.job.find_task(run_id);
    if (!task) return;
    // A configuration has moved the queue since this intent was recorded: the new service's workers are to run it.
    if (worker.info.service != state_.service_of(record.job)) return request_stop(worker, run->second);
    run->second.state = RunState::ordered;
    run->second.ordered_at = now;
    if (state_.notify)
        state_.notify(
            {RunEvent::Kind::run_started, 0, run_id.task_name(), worker_id, record.queue_name(), {}, run_id.run});
    state_.straggler_checks_due.emplace(straggler_detector_.next_check_at(run->second, now),
                                        std::pair(worker_id, run_id));
    queue_order(
        worker,
        {0, OrderKind::start, {}, run_id.task_name(), run_id.run, record.job.definition.spec.text, task->checkpoint});
}

void OrderQueue::request_stop(WorkerRecord& worker, RunRecord& run) {
    if (run.is_stop_requested) return;
    run.is_stop_requested = true;
    state_.mark_dirty(worker);
    run.state = RunState::stopping;
    queue_order(worker, stop_order(run.id));
    counters().add("stops_ordered");
}

void OrderQueue::repeat_stop(WorkerRecord& worker, const RunId& run_id) {
    queue_order(worker, stop_order(run_id));
}

void OrderQueue::stop_unknown_run(WorkerRecord& worker, const RunId& run_id, Micros now) {
    Micros& last_stop_at = unknown_runs_[{worker.info.worker_id, run_id}];
    if (last_stop_at != 0 && now - last_stop_at < unknown_run_stop_interval) return;
    last_stop_at = now;
    if (unknown_runs_.size() > max_unknown_runs) unknown_runs_.clear();
    counters().add("strangers_stopped");
    queue_order(worker, stop_order(run_id));
}

void OrderQueue::clear() {
    unknown_runs_.clear();
    last_order_number_ = 0;
}

}  // namespace calicostall
