#include "agent/worker_session.hpp"

namespace calicostall {

namespace {

// Enough for the leader to learn of each end between two polls, however often a worker restarts meanwhile.
constexpr size_t max_ended_worker_ids = 16;

// `terminates_in` is left out: each poll at the leader carries it anew.
bool equals_except_termination(WorkerInfo lhs, const WorkerInfo& rhs) {
    lhs.terminates_in = rhs.terminates_in;
    return lhs == rhs;
}

}  // namespace

bool WorkerSession::is_outdated(const WorkerHeartbeat& heartbeat) const {
    const std::string& worker_id = heartbeat.info.worker_id;
    if (std::find(ended_worker_ids_.begin(), ended_worker_ids_.end(), worker_id) != ended_worker_ids_.end())
        return true;
    return is_current(worker_id) && heartbeat.sequence < heartbeat_sequence_;
}

void WorkerSession::begin(const std::string& worker_id) {
    worker_.emplace().worker_id = worker_id;
}

bool WorkerSession::apply(WorkerHeartbeat heartbeat, Micros now) {
    if (is_departing_) heartbeat.info.is_draining = true;
    const Micros terminates_in = heartbeat.info.terminates_in;
    terminates_at_ = terminates_in < 0 ? -1 : now + terminates_in;
    const bool has_drain_changed = heartbeat.info.is_draining != worker_->is_draining;
    if (!equals_except_termination(*worker_, heartbeat.info)) ++info_sequence_;
    worker_ = std::move(heartbeat.info);
    heartbeat_sequence_ = heartbeat.sequence;
    return has_drain_changed;
}

void WorkerSession::begin_departure() {
    if (std::exchange(is_departing_, true)) return;
    worker_->is_draining = true;
    ++info_sequence_;
}

void WorkerSession::end() {
    add_ended(worker_->worker_id);
    worker_.reset();
    heartbeat_sequence_ = 0;
    active_runs_.clear();
    is_departing_ = false;
}

void WorkerSession::add_ended(const std::string& worker_id) {
    ended_worker_ids_.push_back(worker_id);
    if (ended_worker_ids_.size() > max_ended_worker_ids) ended_worker_ids_.pop_front();
}

Micros WorkerSession::terminates_in(Micros now) const {
    return terminates_at_ < 0 ? -1 : std::max<Micros>(0, terminates_at_ - now);
}

}  // namespace calicostall
