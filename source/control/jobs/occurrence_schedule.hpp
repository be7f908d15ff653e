// When the occurrences of recurring jobs fall due. Times that are due while many occurrences of their job are open wait
// until one of them has ended: a job may have a million times due at once, and each open one costs the leader memory
// and, at each change of the job, time.
#pragma once
#include "control/jobs/state/scheduler_state.hpp"

namespace calicostall {

// Owns the due times, by the wall clock in microseconds. Occurrences begin in the state.
class OccurrenceSchedule {
public:
    explicit OccurrenceSchedule(SchedulerState& state) : state_(state) {}

    // The job's next occurrence is to begin when it falls due; nothing to do for a job without one.
    void add(const JobRecord& record);
    // Begins the occurrences that are due, one of each job at a time, as far as its open ones leave room.
    void start_due(Micros wall_clock);
    // When the next occurrence of any job falls due; nothing when there is none.
    std::optional<Micros> next_due_at() const;
    void clear() { due_.clear(); }

private:
    void start_next(JobRecord& record, Micros wall_clock);

    SchedulerState& state_;
    std::multimap<Micros, std::string> due_;  // -> job id
};

}  // namespace calicostall
