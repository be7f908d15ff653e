#include "control/jobs/runs/worker_registry.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

constexpr size_t max_ended_workers = 4000;  // beyond it all are forgotten; their late polls are over by then

}  // namespace

void WorkerRegistry::end_incarnation(const std::string& worker_id, Micros now, Micros wall_clock) {
    if (auto found = state_.workers.find(worker_id); found != state_.workers.end())
        end_known_incarnation(found, now, wall_clock);
    ended_workers_.insert(worker_id);
}

void WorkerRegistry::end_other_incarnations(const std::string& node, const std::string& worker_id, Micros now,
                                            Micros wall_clock) {
    const std::set<std::string>& known = workers_by_node_[node];
    if (known.size() == 1 && *known.begin() == worker_id) return;
    for (const std::string& other : std::set<std::string>(known))
        if (auto found = state_.workers.find(other); other != worker_id && found != state_.workers.end())
            end_known_incarnation(found, now, wall_clock);
    workers_by_node_[node].insert(worker_id);
}

void WorkerRegistry::end_known_incarnation(std::map<std::string, WorkerRecord>::iterator found, Micros now,
                                           Micros wall_clock) {
    const std::string worker_id = found->first;
    WorkerRecord& worker = found->second;
    if (!worker.runs.empty() && !worker.info.is_draining)
        state_.fleet_reliability.record_lease_expiry(worker.node, now);
    if (state_.notify) state_.notify({RunEvent::Kind::worker_ended, 0, {}, worker_id, {}, "ended"});
    completion_.end_all_runs(worker, RunOutcome::lost, wall_clock, now);
    if (auto known = state_.worker_by_node.find(worker.node);
        known != state_.worker_by_node.end() && known->second == worker_id)
        state_.worker_by_node.erase(known);
    remove(found);
    if (ended_workers_.size() > max_ended_workers) ended_workers_.clear();
    ended_workers_.insert(worker_id);
    counters().add("lives_ended");
}

std::pair<WorkerRecord&, bool> WorkerRegistry::find_or_add(const std::string& worker_id) {
    auto [found, is_new] = state_.workers.try_emplace(worker_id);
    return {found->second, is_new};
}

void WorkerRegistry::add_to_node(const std::string& node, const std::string& worker_id) {
    workers_by_node_[node].insert(worker_id);
}

void WorkerRegistry::remove(std::map<std::string, WorkerRecord>::iterator worker) {
    if (auto known = workers_by_node_.find(worker->second.node); known != workers_by_node_.end()) {
        known->second.erase(worker->first);
        if (known->second.empty()) workers_by_node_.erase(known);
    }
    state_.uncount_worker(worker->second);
    state_.workers.erase(worker);
}

void WorkerRegistry::clear() {
    ended_workers_.clear();
    workers_by_node_.clear();
}

}  // namespace calicostall
