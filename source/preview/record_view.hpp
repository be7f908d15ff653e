// The only access of previews to the leader's scheduler: it reads and can change nothing.
#pragma once
#include "preview/planner_fields.hpp"

namespace calicostall {

// A read-only view of the leader's scheduler: no call, order, proposal or end of a run can be reached through it.
// `Record` is the scheduler, which must outlive the view.
// Example: collect_snapshot(RecordView(scheduler), moment, limits)
template <class Record>
class RecordView {
public:
    explicit RecordView(const Record& record) : record_(record) {}
    const auto& config() const { return record_.config(); }
    const auto& workers() const { return record_.workers(); }
    const auto& settings() const { return record_.settings(); }
    // The reliability score of a node, 0 to 1.
    double reliability(const std::string& node, Micros now) const {
        return record_.fleet_reliability().score(node, now);
    }
    // Whether a node gets no starts since runs on it failed too often.
    bool is_paused(const std::string& node, Micros now) const {
        return record_.fleet_reliability().is_paused(node, now);
    }
    const PlannerSettings& planner() const { return record_.settings().planner; }
    // What urgent queues used recently: calls visit(service, priority, cpu, memory).
    template <class Visit>
    void each_demand(Visit visit) const {
        record_.each_demand(std::move(visit));
    }
    // Calls visit(job, expected, failed) for each open job. expected(step) is how long a task of it takes, as learnt;
    // failed maps the tasks that failed before to the nodes on which they did.
    template <class Visit>
    void each_open_job(Visit visit) const {
        record_.each_open_job(std::move(visit));
    }

private:
    const Record& record_;
};

}  // namespace calicostall
