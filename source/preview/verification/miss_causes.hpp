// Names the most likely cause of a wrong prediction. Knows which runs did not take as long as predicted and which tasks
// started on other workers, since both disturb what comes after them.
#pragma once
#include "preview/verification/run_log_index.hpp"

namespace calicostall {

// What a cause is looked for.
struct MissContext {
    std::string task;
    std::vector<std::string> workers;  // the predicted worker and the one that ran it, as far as there are any
    Micros until = 0;                  // only what happened up to then can be the cause, after the snapshot
    bool is_early = false;             // the task started before its predicted time
};

// The preview and the log must outlive it.
// Example: MissCauses(preview, log, tolerance).find({task, {worker}, until}) == "worker lost"
class MissCauses {
public:
    // `tolerance`: a run that takes so much longer or shorter than predicted (microseconds) is still as predicted.
    MissCauses(const SavedPreview& preview, const RunLogIndex& log, Micros tolerance);

    // The first cause that holds; the more certain ones are tried first. "unexplained" if none does.
    std::string find(const MissContext& miss) const;

private:
    struct TaskTime {
        Micros at = 0;
        std::string task;
    };

    void add_estimate_errors();
    // A run that takes longer or shorter than predicted frees its resources at another time.
    void check_duration(const std::string& task, const RunLogIndex::RunStart& start, Micros predicted);
    void add_misplaced_starts();

    // Each returns the cause, or nothing if none of its kind holds.
    std::optional<std::string> cluster_cause(const MissContext& miss) const;
    std::optional<std::string> worker_cause(const MissContext& miss) const;
    std::optional<std::string> remote_cause(const MissContext& miss) const;
    bool has_lost_worker(const MissContext& miss) const;
    bool has_new_arrival(const MissContext& miss) const;
    // Whether another task of the same occurrence of the job took longer or shorter than predicted.
    bool has_sibling_estimate_error(const MissContext& miss) const;

    const SavedPreview& preview_;
    const RunLogIndex& log_;
    Micros tolerance_;
    EventTimes estimate_errors_by_worker_;
    std::map<std::string, std::vector<TaskTime>> estimate_errors_by_occurrence_;  // by "JOB.OCCURRENCE"
    EventTimes misplaced_starts_;                                                 // by the worker that ran the task
};

}  // namespace calicostall
