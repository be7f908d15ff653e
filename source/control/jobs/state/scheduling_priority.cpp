// What a job can earn, and when that changes.
#include "control/jobs/state/scheduler_state.hpp"

namespace calicostall {

namespace {

// The earliest occurrence that has unfinished tasks; else the latest. The last one before a pause stays in the list.
const Occurrence* current_occurrence(const JobRecord& record) {
    const std::vector<Occurrence>& occurrences = record.job.status.occurrences;
    for (const Occurrence& occurrence : occurrences) {
        const auto progress = record.progress.find(occurrence.number);
        if (progress == record.progress.end()) continue;
        for (const StepProgress& step : progress->second)
            if (step.unfinished != 0) return &occurrence;
    }
    return occurrences.empty() ? nullptr : &occurrences.back();
}

// How many tasks of the step are not done at the job's first open occurrence; all of them before it has one.
std::uint64_t unfinished_tasks(const JobRecord& record, std::uint32_t step) {
    const std::uint64_t all = record.job.definition.spec.steps[step].count;
    const Occurrence* occurrence = current_occurrence(record);
    if (!occurrence) return all;
    const auto progress = record.progress.find(occurrence->number);
    if (progress != record.progress.end()) return progress->second[step].unfinished;
    return occurrence->steps[step].is_done() ? 0 : all;
}

}  // namespace

void SchedulerState::update_scheduling_priority(JobRecord& record, Micros wall_clock) {
    if (!record.is_open) return;
    const PriorityEvaluation evaluation = evaluate_priority(record, wall_clock);
    if (evaluation.changes_at != 0) priority_changes_due.emplace(evaluation.changes_at, record.job.definition.id);
    if (evaluation.value_class == record.value_class && evaluation.scheduling_priority == record.scheduling_priority)
        return;
    record.value_class = evaluation.value_class;
    record.priority = evaluation.scheduling_priority.level;
    record.scheduling_priority = evaluation.scheduling_priority;
    for (const Occurrence& occurrence : record.job.status.occurrences)
        if (record.progress.contains(occurrence.number))
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step)
                update_ready_steps(record, occurrence, step);
}

void SchedulerState::update_due_priorities(Micros wall_clock) {
    while (!priority_changes_due.empty() && priority_changes_due.begin()->first <= wall_clock) {
        const std::string id = priority_changes_due.begin()->second;
        priority_changes_due.erase(priority_changes_due.begin());
        const auto found = jobs.find(id);
        if (found == jobs.end() || !found->second.is_open) continue;
        ++operation_count;
        update_scheduling_priority(found->second, wall_clock);
    }
}

SchedulerState::PriorityEvaluation SchedulerState::evaluate_priority(const JobRecord& record, Micros wall_clock) {
    const SchedulingPriority priority = scheduling_priority_of(record);
    const ValueClass value_class = value_class_of(priority, wall_clock);
    if (priority.is_long_running || value_class == ValueClass::none) return {value_class, priority, 0};
    // The value is full up to the target, and reduced up to three times the target.
    const Micros target = priority.deadline - priority.submitted_at;
    const std::int64_t targets = value_class == ValueClass::full ? 1 : 3;
    return {value_class, priority, priority.submitted_at + targets * target - priority.critical_path + 1};
}

SchedulingPriority SchedulerState::scheduling_priority_of(const JobRecord& record) {
    const JobDefinition& definition = record.job.definition;
    const Queue* queue = queue_of(record.job);
    const Micros target = queue ? queue->target : definition.target;
    const double extension = queue ? queue->extension : definition.extension;
    const CriticalPath path = critical_path_of(record);
    const Occurrence* occurrence = current_occurrence(record);
    SchedulingPriority priority;
    priority.critical_path = path.remaining;
    priority.is_long_running = path.is_long_running;
    priority.level = queue ? queue->priority : definition.priority;
    priority.submitted_at =
        record.job.is_recurring()
            ? definition.spec.first_at + Micros(occurrence ? occurrence->number : 0) * definition.spec.interval
            : definition.accepted_wall_clock;
    priority.deadline = priority.submitted_at + Micros(extension * double(path.total)) + target;
    priority.value_density = value_density(record);
    return priority;
}

SchedulerState::CriticalPath SchedulerState::critical_path_of(const JobRecord& record) {
    const std::vector<Step>& steps = record.job.definition.spec.steps;
    const ServiceCapacity capacity = capacity_of(record.job);
    std::vector<Micros> total(steps.size()), remaining(steps.size());  // up to the end of each step
    CriticalPath path;
    for (std::uint32_t index = 0; index < steps.size(); ++index) {
        ++operation_count;
        const Step& step = steps[index];
        Micros total_before = 0, remaining_before = 0;
        for (std::uint32_t earlier : step.dependencies) {
            total_before = std::max(total_before, total[earlier]);
            remaining_before = std::max(remaining_before, remaining[earlier]);
        }
        const Micros expected = durations.expected(record, index);
        const std::uint64_t open_tasks = unfinished_tasks(record, index);
        const StepDurations all{expected, durations.expected_longest(record, index, step.count)};
        const StepDurations rest{expected, durations.expected_longest(record, index, open_tasks)};
        total[index] = total_before + duration_in_share(step, step.count, all, capacity, target_share);
        remaining[index] = remaining_before + duration_in_share(step, open_tasks, rest, capacity, full_share);
        path.total = std::max(path.total, total[index]);
        path.remaining = std::max(path.remaining, remaining[index]);
        path.is_long_running = path.is_long_running || step.long_running;
    }
    return path;
}

double SchedulerState::value_density(const JobRecord& record) const {
    const ServiceCapacity capacity = capacity_of(record.job);
    const double value = job_value(work_of(record, capacity).core_seconds, mean_work.mean(record.queue_name()));
    const std::vector<Step>& steps = record.job.definition.spec.steps;
    JobWork rest;
    for (std::uint32_t step = 0; step < steps.size(); ++step)
        rest.add(steps[step], unfinished_tasks(record, step), durations.expected(record, step), capacity);
    return log_value_density(value, rest.capacity_seconds) + (record.has_aging_boost ? large_job_boost : 0);
}

ServiceCapacity SchedulerState::capacity_of(const Job& job) const {
    const auto usage = usage_by_service.find(service_of(job));
    if (usage == usage_by_service.end()) return {};
    return {double(usage->second.capacity_cpu), double(usage->second.capacity_memory)};
}

// The work of one whole occurrence.
JobWork SchedulerState::work_of(const JobRecord& record, const ServiceCapacity& capacity) const {
    const std::vector<Step>& steps = record.job.definition.spec.steps;
    JobWork work;
    for (std::uint32_t step = 0; step < steps.size(); ++step)
        work.add(steps[step], steps[step].count, durations.expected(record, step), capacity);
    return work;
}

}  // namespace calicostall
