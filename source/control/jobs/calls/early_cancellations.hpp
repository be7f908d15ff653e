/// Cancellations that arrive before the job that they cancel. Pure: time is passed in.
#pragma once
#include "common.hpp"

namespace calicostall {

/// Remembers for a short time which unknown jobs were cancelled: a client may give a job up while its submission is
/// still on the way. Such a job is accepted as cancelled, so that it stays one job and nothing of it starts. A queue's
/// cancellations are its own: another queue may accept the same id as another job.
/// Owns the list of these cancellations; it lives as long as one leadership.
/// Example: if (early_cancellations.consume({queue.host, queue.path_prefix, id}, now)) record.job.cancel(wall_clock);
class EarlyCancellations {
public:
    /// A job as its client names it: the same id at two queues is two jobs.
    struct JobName {
        std::string host, path_prefix, id;
        auto operator<=>(const JobName&) const = default;
    };

    /// Records the cancellation of an unknown job.
    /// @param now  monotonic time in microseconds, as in `consume`
    void record(const JobName& job, Micros now);

    /// Whether the job that is submitted now was cancelled shortly before; its entry is removed.
    bool consume(const JobName& job, Micros now);

    void clear();

private:
    std::map<JobName, Micros> valid_until_;
    std::deque<JobName> by_age_;  // the oldest first
};

}  // namespace calicostall
