// Which incarnations of workers are known, at which node, and which are over.
#pragma once
#include "control/jobs/runs/run_completion.hpp"

namespace calicostall {

// Owns the incarnations known at each node and those known to be over; the workers' records stand in the state.
class WorkerRegistry {
public:
    WorkerRegistry(SchedulerState& state, RunCompletion& completion) : state_(state), completion_(completion) {}

    // Whether this incarnation is known to be over: late polls about it are ignored.
    bool has_ended(const std::string& worker_id) const { return ended_workers_.contains(worker_id); }
    // The incarnation is known to be over, whether it was known here or not.
    void end_incarnation(const std::string& worker_id, Micros now, Micros wall_clock);
    // One node has one worker: another incarnation there means that the earlier ones are over.
    void end_other_incarnations(const std::string& node, const std::string& worker_id, Micros now, Micros wall_clock);
    // The worker's record, which is made where there is none.
    // @return the record, and whether it is new
    std::pair<WorkerRecord&, bool> find_or_add(const std::string& worker_id);
    // A worker that only the record names is at this node.
    void add_to_node(const std::string& node, const std::string& worker_id);
    // Forgets a worker on which nothing runs.
    void remove(std::map<std::string, WorkerRecord>::iterator worker);
    void clear();

private:
    void end_known_incarnation(std::map<std::string, WorkerRecord>::iterator found, Micros now, Micros wall_clock);

    SchedulerState& state_;
    RunCompletion& completion_;
    std::set<std::string> ended_workers_;                           // ids of incarnations known to be over
    std::map<std::string, std::set<std::string>> workers_by_node_;  // node -> ids of incarnations known there
};

}  // namespace calicostall
