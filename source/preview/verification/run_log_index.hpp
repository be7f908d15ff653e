// What ran after a preview, indexed from the run events of the daemons' logs. Owns no events: only what the
// verification looks up. All times are microseconds after the snapshot of the preview.
#pragma once
#include "preview/verification/saved_preview.hpp"
#include "shared/diagnostics/run_event.hpp"

namespace calicostall {

// Names of tasks have the form "JOB.OCCURRENCE.STEP.INDEX".
// Example: job_of("5c0e7a21d94b36f8.0.1.17") == "5c0e7a21d94b36f8"
std::string job_of(const std::string& task);
// Example: occurrence_of("5c0e7a21d94b36f8.0.1.17") == "5c0e7a21d94b36f8.0"
std::string occurrence_of(const std::string& task);

// Times of events by a key, a worker's or a job's ID.
using EventTimes = std::map<std::string, std::vector<Micros>>;

// Whether an event of the key happened at `until` or before.
bool has_event_until(const EventTimes& times, const std::string& key, Micros until);

// Example: RunLogIndex log(preview, events, 0); if (const auto* start = log.find_start(task)) use(start->worker);
class RunLogIndex {
public:
    struct RunStart {
        std::string worker;
        Micros at = 0;
    };
    struct RunEnd {
        std::string outcome;  // as the log states it: "done", "failed", "stopped"
        Micros at = 0;
    };

    // `logs_complete_until`: see VerificationSettings. The preview is only read during the construction.
    RunLogIndex(const SavedPreview& preview, const std::vector<RunEvent>& events, Micros logs_complete_until);

    // Up to when predictions can be compared: the end of the logs or the preview's horizon, whichever is earlier.
    Micros covered_until() const { return covered_until_; }
    // When the first thing happened that no preview can know; the largest time if nothing did.
    Micros first_disturbance() const { return first_disturbance_; }
    // When another leader began, if one did.
    std::optional<Micros> leader_changed_at() const { return leader_changed_at_; }

    // The first start and the first end of a task's runs; nullptr if the logs hold none.
    const RunStart* find_start(const std::string& task) const;
    const RunEnd* find_end(const std::string& task) const;
    // How a job ended, as find_end().
    const RunEnd* find_job_end(const std::string& job) const;
    // When a run of the task was first stopped.
    std::optional<Micros> first_stop(const std::string& task) const;
    // Whether a run of the task was stopped within `tolerance` of `at`.
    bool was_stopped_near(const std::string& task, Micros at, Micros tolerance) const;

    // Workers whose runs were declared over, and when.
    const std::map<std::string, Micros>& lost_workers() const { return lost_workers_; }
    // Starts of jobs that the snapshot did not hold, by worker.
    const EventTimes& unpredicted_starts() const { return unpredicted_starts_; }
    const EventTimes& failures_by_worker() const { return failures_by_worker_; }
    const EventTimes& failures_by_job() const { return failures_by_job_; }

private:
    void add(const SavedPreview& preview, const RunEvent& event);
    void add_run_end(const RunEvent& event, Micros at);
    static bool is_unpredictable(const SavedPreview& preview, const RunEvent& event);

    Micros covered_until_ = 0;
    Micros first_disturbance_ = std::numeric_limits<Micros>::max();
    std::optional<Micros> leader_changed_at_;
    std::map<std::string, RunStart> starts_;
    std::map<std::string, RunEnd> ends_;
    std::map<std::string, RunEnd> job_ends_;
    std::multimap<std::string, Micros> stops_;
    std::map<std::string, Micros> lost_workers_;
    EventTimes unpredicted_starts_;
    EventTimes failures_by_worker_;
    EventTimes failures_by_job_;
};

}  // namespace calicostall
