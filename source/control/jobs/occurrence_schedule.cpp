#include "control/jobs/occurrence_schedule.hpp"

namespace calicostall {

namespace {

// Of one job.
constexpr size_t max_open_occurrences = 100;
constexpr std::uint64_t max_open_tasks = 20000;
// Until a time that is due is looked at again where its job has too many open ones.
constexpr Micros retry_interval = milliseconds(200);

bool has_room_for_occurrence(const Job& job) {
    const std::uint64_t open = job.status.occurrences.size();
    std::uint64_t tasks = 0;
    for (const Step& step : job.definition.spec.steps)
        tasks += step.count;
    return open == 0 || (open < max_open_occurrences && (open + 1) * tasks <= max_open_tasks);
}

}  // namespace

void OccurrenceSchedule::add(const JobRecord& record) {
    if (auto due_at = record.job.next_due_at()) due_.emplace(*due_at, record.job.definition.id);
}

void OccurrenceSchedule::start_due(Micros wall_clock) {
    while (!due_.empty() && due_.begin()->first <= wall_clock) {
        const std::string id = due_.begin()->second;
        due_.erase(due_.begin());
        const auto found = state_.jobs.find(id);
        if (found == state_.jobs.end() || found->second.job.has_ended()) continue;
        JobRecord& record = found->second;
        const auto due_at = record.job.next_due_at();
        if (!due_at) continue;
        if (*due_at <= wall_clock && !has_room_for_occurrence(record.job)) {
            due_.emplace(wall_clock + retry_interval, id);
            continue;
        }
        if (*due_at <= wall_clock) start_next(record, wall_clock);
        add(record);
    }
}

void OccurrenceSchedule::start_next(JobRecord& record, Micros wall_clock) {
    record.job.add_occurrence();
    state_.record_arrival(record);
    state_.on_occurrence_added(record, wall_clock);
    state_.schedule_persist(record);
    state_.needs_plan = true;
}

std::optional<Micros> OccurrenceSchedule::next_due_at() const {
    return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
}

}  // namespace calicostall
