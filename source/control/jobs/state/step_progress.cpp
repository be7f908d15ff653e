// Pending tasks, ready steps and the backlog, counted with each change of a task.
#include "control/jobs/state/scheduler_state.hpp"

namespace calicostall {

namespace {

void set_member(std::set<std::uint32_t>& set, std::uint32_t index, bool is_member) {
    if (is_member)
        set.insert(index);
    else
        set.erase(index);
}

void count(std::uint32_t& number, bool is_more) {
    if (is_more)
        ++number;
    else
        --number;
}

}  // namespace

void SchedulerState::on_occurrence_added(JobRecord& record, Micros wall_clock) {
    if (!record.is_open) return;
    add_progress(record, record.job.status.occurrences.back());
    update_scheduling_priority(record, wall_clock);
}

void SchedulerState::on_task_changed(JobRecord& record, std::uint64_t occurrence_number, std::uint32_t step,
                                     std::uint32_t index, Micros wall_clock) {
    if (!record.is_open) return;
    const auto found = record.progress.find(occurrence_number);
    if (found == record.progress.end()) return;
    std::vector<StepProgress>& steps = found->second;
    const Occurrence* occurrence = record.job.find_occurrence(occurrence_number);
    if (!occurrence) {
        remove_steps(record, occurrence_number, steps);
        record.progress.erase(found);
        update_scheduling_priority(record, wall_clock);
        return;
    }
    StepProgress& progress = steps[step];
    const std::uint32_t unfinished_before = progress.unfinished;
    if (record.job.definition.spec.steps[step].gang)
        for (std::uint32_t member = 0; member < progress.task_flags.size(); ++member)
            count_task(record, *occurrence, step, member, progress);
    else
        count_task(record, *occurrence, step, index, progress);
    update_ready_steps(record, *occurrence, step);
    if (unfinished_before == 0 || progress.unfinished != 0) return;
    // The step is done: later ones may have become ready.
    for (std::uint32_t later = step + 1; later < steps.size(); ++later)
        if (!steps[later].dependencies_done) update_ready_steps(record, *occurrence, later);
    update_scheduling_priority(record, wall_clock);
}

bool SchedulerState::needs_duplicate(const JobRecord& record, const Occurrence& occurrence, std::uint32_t step,
                                     std::uint32_t index) const {
    const Step& step_spec = record.job.definition.spec.steps[step];
    const Task& task = occurrence.steps[step].tasks[index];
    if (task.is_done || task.placements.size() != 1 || !step_spec.duplicate_ok || step_spec.gang) return false;
    const RunId run_id{record.job.definition.id, occurrence.number, step, index, task.placements[0].run};
    const auto found = record.runs.find(run_id);
    if (found == record.runs.end()) return false;
    const auto run = found->second->runs.find(run_id);
    return run != found->second->runs.end() && run->second.is_duplicated;
}

void SchedulerState::add_progress(JobRecord& record, const Occurrence& occurrence) {
    std::vector<StepProgress>& steps = record.progress[occurrence.number];
    steps.assign(occurrence.steps.size(), StepProgress{});
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        StepProgress& progress = steps[step];
        const Step& step_spec = record.job.definition.spec.steps[step];
        progress.task_flags.assign(occurrence.steps[step].tasks.size(), 0);
        if (!step_spec.long_running) {
            const double length = double(durations.expected(record, step)) / 1e6;
            progress.task_cpu_work = double(step_spec.cpu) * length;
            progress.task_memory_work = double(step_spec.memory) * length;
        }
        for (std::uint32_t index = 0; index < progress.task_flags.size(); ++index)
            count_task(record, occurrence, step, index, progress);
    }
    for (std::uint32_t step = 0; step < steps.size(); ++step)
        update_ready_steps(record, occurrence, step);
}

std::uint8_t SchedulerState::flags_of(const JobRecord& record, const Occurrence& occurrence, std::uint32_t step,
                                      std::uint32_t index) const {
    const Task& task = occurrence.steps[step].tasks[index];
    std::uint8_t flags = 0;
    if (task.is_pending()) flags |= pending_flag;
    if (!task.is_done) flags |= unfinished_flag;
    if (!task.placements.empty()) flags |= placed_flag;
    if (needs_duplicate(record, occurrence, step, index)) flags |= duplicate_flag;
    return flags;
}

void SchedulerState::count_task(const JobRecord& record, const Occurrence& occurrence, std::uint32_t step,
                                std::uint32_t index, StepProgress& progress) {
    ++operation_count;
    const std::uint8_t flags = flags_of(record, occurrence, step, index);
    const std::uint8_t changed = flags ^ progress.task_flags[index];
    if (!changed) return;
    progress.task_flags[index] = flags;
    if (changed & pending_flag) set_member(progress.pending, index, flags & pending_flag);
    if (changed & duplicate_flag) set_member(progress.to_duplicate, index, flags & duplicate_flag);
    if (changed & unfinished_flag) count(progress.unfinished, flags & unfinished_flag);
    if (changed & placed_flag) count(progress.placed, flags & placed_flag);
}

// Puts the step among the ready ones, or takes it out, and counts its pending tasks.
void SchedulerState::update_ready_steps(JobRecord& record, const Occurrence& occurrence, std::uint32_t step) {
    std::vector<StepProgress>& steps = record.progress.at(occurrence.number);
    StepProgress& progress = steps[step];
    const Step& step_spec = record.job.definition.spec.steps[step];
    if (!progress.dependencies_done)
        progress.dependencies_done = std::all_of(step_spec.dependencies.begin(), step_spec.dependencies.end(),
                                                 [&](std::uint32_t earlier) { return steps[earlier].unfinished == 0; });
    update_backlog(record, progress, std::int64_t(progress.pending.size()));
    update_pending_since(progress, step_spec.long_running);
    const bool is_ready = progress.dependencies_done && (!progress.pending.empty() || !progress.to_duplicate.empty());
    if (!is_ready) return remove_from_ready_steps(record, occurrence.number, step);
    StepKey key{record.job.definition.id, occurrence.number, step};
    if (!progress.is_listed) ready_steps.insert(key);
    progress.is_listed = true;
    dirty_steps.insert(std::move(key));
    needs_plan = true;
}

void SchedulerState::update_pending_since(StepProgress& progress, bool is_long_running) const {
    if (!is_long_running || !progress.dependencies_done || progress.pending.empty())
        progress.pending_since = 0;
    else if (progress.pending_since == 0)
        progress.pending_since = now;
}

void SchedulerState::remove_from_ready_steps(JobRecord& record, std::uint64_t occurrence_number, std::uint32_t step) {
    StepProgress& progress = record.progress.at(occurrence_number)[step];
    if (!progress.is_listed) return;
    progress.is_listed = false;
    StepKey key{record.job.definition.id, occurrence_number, step};
    ready_steps.erase(key);
    dirty_steps.insert(std::move(key));
}

// Takes all steps of an occurrence out of the ready ones and the backlog.
void SchedulerState::remove_steps(JobRecord& record, std::uint64_t occurrence_number,
                                  std::vector<StepProgress>& steps) {
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        remove_from_ready_steps(record, occurrence_number, step);
        update_backlog(record, steps[step], 0);
    }
}

// Work of jobs that can't earn any more keeps no other job out.
void SchedulerState::update_backlog(JobRecord& record, StepProgress& progress, std::int64_t pending) {
    QueueBacklog& queue = backlog[record.queue_name()];
    const std::int64_t ready = progress.dependencies_done ? pending : 0;
    queue.ready_tasks += ready - progress.counted_ready;
    progress.counted_ready = ready;
    const std::int64_t counts = record.value_class == ValueClass::none ? 0 : pending;
    const std::int64_t added = counts - progress.counted_pending;
    progress.counted_pending = counts;
    queue.pending_tasks += added;
    queue.cpu_work += double(added) * progress.task_cpu_work;
    queue.memory_work += double(added) * progress.task_memory_work;
    if (queue.pending_tasks != 0) return;
    // No rounding error stays behind.
    queue.cpu_work = 0;
    queue.memory_work = 0;
}

// The job's first run has begun, or its last one is over: the time for which its steps have been pending starts anew.
void SchedulerState::on_idle_changed(JobRecord& record) {
    record.idle_since = 0;
    mark_ready_steps_dirty(record);
}

}  // namespace calicostall
