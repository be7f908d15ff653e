#include "preview/simulation/pending_items.hpp"

#include "preview/simulation/estimates.hpp"

namespace calicostall {

void PendingItems::refresh_job(std::uint32_t job) {
    for (const auto& [number, steps] : state_.jobs[job].occurrences)
        refresh_occurrence(job, number);
}

void PendingItems::refresh_occurrence(std::uint32_t job, std::uint64_t number) {
    for (std::uint32_t step = 0; step < state_.jobs[job].snapshot_job->steps.size(); ++step)
        refresh_step(job, number, step);
}

void PendingItems::refresh_step(std::uint32_t job_index, std::uint64_t number, std::uint32_t step_index) {
    const ProjectedJob& job = state_.jobs[job_index];
    const std::vector<ProjectedStep>& steps = job.occurrences.at(number);
    const Step& spec = job.snapshot_job->steps[step_index].spec;
    const PendingItem item{job_index, number, step_index, {}};
    ProjectedStep& step = state_.step_of(item.task(0));
    step.pending.clear();
    std::set<std::uint32_t> single_tasks;
    const bool is_ready = job.are_dependencies_done(steps, step_index);
    for (std::uint32_t index = 0; is_ready && index < step.tasks.size(); ++index) {
        const ProjectedTask& task = step.tasks[index];
        if (task.is_done || task.failures >= job.max_attempts) continue;
        const TaskKey key = item.task(index);
        const bool may_have_copy = spec.duplicate_ok && !spec.gang && state_.tasks_with_copy.contains(key);
        if (task.live_runs == 1 && may_have_copy) single_tasks.insert(index);
        if (task.live_runs > 0) continue;
        if (!spec.gang && state_.failed_nodes.contains(key))
            single_tasks.insert(index);
        else
            step.pending.push_back(index);
    }
    // A gang starts only if all its tasks are pending.
    if (spec.gang && step.pending.size() != step.tasks.size()) step.pending.clear();
    put_step_item(item);
    put_single_task_items(item, std::move(single_tasks));
}

void PendingItems::put_step_item(const PendingItem& item) {
    const size_t count = state_.step_of(item.task(0)).pending.size();
    if (count == 0)
        items_.erase(id_of(item));
    else
        put(item, std::uint32_t(count));
}

void PendingItems::put_single_task_items(const PendingItem& item, std::set<std::uint32_t> single_tasks) {
    ProjectedStep& step = state_.step_of(item.task(0));
    for (std::uint32_t index : step.single_task_items)
        if (!single_tasks.contains(index)) items_.erase(id_of({item.job, item.occurrence, item.step, index}));
    for (std::uint32_t index : single_tasks)
        put({item.job, item.occurrence, item.step, index}, 1);
    step.single_task_items = std::move(single_tasks);
}

void PendingItems::put(const PendingItem& of, std::uint32_t count) {
    Item item = make_item(of, count);
    Fleet::ServiceTotals sum = state_.fleet.service_totals(item.service);
    double mean = sum.worker_count ? double(sum.capacity.cpu) / double(sum.worker_count) : 0;
    double cpu_share = mean > 0 ? double(item.resources.cpu) / mean : 0;
    items_.put(std::move(item), state_.now, cpu_share);
}

Item PendingItems::make_item(const PendingItem& of, std::uint32_t count) {
    const ProjectedJob& job = state_.jobs[of.job];
    const SnapshotStep& step = job.snapshot_job->steps[of.step];
    const Step& spec = step.spec;
    Item item;
    item.id = id_of(of);
    item.scheduling_priority = scheduling_priority_of(job, of.step);
    item.service = job.service;
    item.resources = {spec.cpu, spec.memory, spec.gpu};
    item.task_count = count;
    item.expected_duration = std::max<Micros>(1, step.expected_duration);
    item.required_label = state_.names.intern(spec.required_label);
    item.affinity = state_.names.intern(spec.affinity);
    item.anti_affinity = spec.anti_affinity;
    item.is_gang = spec.gang;
    item.prefers_same_rack = spec.same_rack;
    item.has_checkpoints = spec.checkpoints;
    item.is_preemptable = !spec.long_running;
    for (std::uint32_t index = 0; item.anti_affinity && index < spec.count; ++index)
        for (std::uint32_t fleet_index : fleet_indices_of_runs(of.task(index)))
            item.tasks_per_worker.emplace_back(fleet_index, 1);
    if (of.single_task) {
        item.excluded_workers = fleet_indices_of_runs(of.task(*of.single_task));
        item.deprioritized_workers = fleet_indices_of_failures(of.task(*of.single_task));
    }
    return item;
}

const PendingItem* PendingItems::find(std::uint64_t id) const {
    auto found = items_by_id_.find(id);
    return found == items_by_id_.end() ? nullptr : &found->second;
}

std::vector<TaskKey> PendingItems::tasks_of(const PendingItem& item) const {
    if (item.single_task) return {item.task(*item.single_task)};
    std::vector<TaskKey> keys;
    for (std::uint32_t index : state_.step_of(item.task(0)).pending)
        keys.push_back(item.task(index));
    return keys;
}

TaskKey PendingItems::task_of(const PendingItem& item, std::uint32_t number) const {
    if (item.single_task) return item.task(*item.single_task);
    const std::vector<std::uint32_t>& pending = state_.step_of(item.task(0)).pending;
    return item.task(number < pending.size() ? pending[number] : 0);
}

std::uint64_t PendingItems::id_of(const PendingItem& item) {
    auto [found, is_new] = ids_.try_emplace(item, ids_.size() + 1);
    if (is_new) items_by_id_[found->second] = item;
    return found->second;
}

std::vector<std::uint32_t> PendingItems::fleet_indices_of_runs(const TaskKey& key) const {
    std::vector<std::uint32_t> fleet_indices;
    auto live = state_.live_runs.find(key);
    if (live == state_.live_runs.end()) return fleet_indices;
    for (std::uint64_t run : live->second) {
        const ProjectedWorker& worker = state_.workers[state_.runs.at(run).worker];
        if (worker.is_in_fleet) fleet_indices.push_back(worker.fleet_index);
    }
    return fleet_indices;
}

std::vector<std::uint32_t> PendingItems::fleet_indices_of_failures(const TaskKey& key) const {
    std::vector<std::uint32_t> fleet_indices;
    auto failed = state_.failed_nodes.find(key);
    if (failed == state_.failed_nodes.end()) return fleet_indices;
    for (const ProjectedWorker& worker : state_.workers)
        if (worker.is_in_fleet && failed->second.contains(worker.snapshot.node))
            fleet_indices.push_back(worker.fleet_index);
    return fleet_indices;
}

}  // namespace calicostall
