#include "control/jobs/planning/item_view.hpp"

namespace calicostall {

namespace {

/// Since when the step's tasks have waited as the planner counts it: each long-running step by itself, any other while
/// nothing of its job runs. Monotonic microseconds; 0: they don't.
Micros idle_since(JobRecord& record, const StepKey& key, Micros now) {
    const Step& step = record.job.definition.spec.steps[key.step];
    if (step.long_running) return record.progress.at(key.occurrence)[key.step].pending_since;
    if (!record.runs.empty()) return 0;
    if (record.idle_since == 0) record.idle_since = now;
    return record.idle_since;
}

}  // namespace

ItemView::ItemView(SchedulerState& state, NameTable& names, const FleetView& fleet_view, const PlannerClock& clock)
    : state_(state), names_(names), fleet_view_(fleet_view), clock_(clock), items_(state.settings.planner) {}

void ItemView::update_step(const StepKey& key, Micros now) {
    JobRecord* record = find_ready(key);
    if (!record) return remove_step(key);
    Division division = divide(*record, key);
    StepItems& items = items_by_step_[key];
    if (division.group.empty())
        remove_item(std::exchange(items.group, 0));
    else
        put_item(items.group, key, *record, std::move(division.group), now);
    for (const auto& [task, item] : items.singles) {
        auto kept = division.singles.find(task);
        if (kept == division.singles.end())
            remove_item(item);
        else
            kept->second = item;
    }
    for (auto& [task, item] : division.singles)
        put_item(item, key, *record, {task}, now);
    items.singles = std::move(division.singles);
}

void ItemView::clear() {
    items_by_step_.clear();
    tasks_by_item_.clear();
    items_.clear();
}

const ItemTasks* ItemView::find(std::uint64_t item) const {
    auto found = tasks_by_item_.find(item);
    return found == tasks_by_item_.end() ? nullptr : &found->second;
}

/// The step's job, if it is open and the step is ready; else null.
JobRecord* ItemView::find_ready(const StepKey& key) {
    auto found = state_.jobs.find(key.job);
    if (found == state_.jobs.end() || !found->second.is_open) return nullptr;
    auto steps = found->second.progress.find(key.occurrence);
    if (steps == found->second.progress.end() || !steps->second[key.step].is_listed) return nullptr;
    return &found->second;
}

ItemView::Division ItemView::divide(const JobRecord& record, const StepKey& key) {
    const StepProgress& progress = record.progress.at(key.occurrence)[key.step];
    Division division;
    if (record.job.definition.spec.steps[key.step].gang) {
        // A gang waits as a whole, or not at all.
        if (progress.placed == 0 && progress.pending.size() == progress.task_flags.size())
            division.group.assign(progress.pending.begin(), progress.pending.end());
        return division;
    }
    for (std::uint32_t task : progress.pending) {
        const bool has_failed =
            !record.failed_nodes.empty() && record.failed_nodes.contains({key.occurrence, key.step, task});
        if (has_failed)
            division.singles[task] = 0;
        else
            division.group.push_back(task);
    }
    for (std::uint32_t task : progress.to_duplicate)
        division.singles[task] = 0;
    return division;
}

void ItemView::remove_step(const StepKey& key) {
    auto known = items_by_step_.find(key);
    if (known == items_by_step_.end()) return;
    remove_item(known->second.group);
    for (const auto& [task, item] : known->second.singles)
        remove_item(item);
    items_by_step_.erase(known);
}

void ItemView::remove_item(std::uint64_t item) {
    if (item == 0) return;
    items_.erase(item);
    tasks_by_item_.erase(item);
}

/// Enters an item, or replaces it; one without a number gets the next.
void ItemView::put_item(std::uint64_t& id, const StepKey& key, JobRecord& record, std::vector<std::uint32_t> tasks,
                        Micros now) {
    if (id == 0) id = ++last_item_;
    Item item = make_item(key, record, now);
    item.id = id;
    item.task_count = std::uint32_t(tasks.size());
    if (const Occurrence* occurrence = record.job.find_occurrence(key.occurrence)) {
        const std::vector<Task>& all_tasks = occurrence->steps[key.step].tasks;
        if (item.anti_affinity) count_tasks_on_workers(item, record, all_tasks);
        if (tasks.size() == 1 && !item.is_gang) {
            exclude_workers(item, record, all_tasks[tasks[0]]);
            deprioritize_workers(item, key, record, tasks[0]);
        }
    }
    const double capacity_share = share_of_mean_worker(item);
    items_.put(std::move(item), now, capacity_share);
    tasks_by_item_[id] = {key, std::move(tasks)};
}

/// An item with all that the tasks of a step have in common.
Item ItemView::make_item(const StepKey& key, JobRecord& record, Micros now) {
    const Step& step = record.job.definition.spec.steps[key.step];
    Item item;
    item.scheduling_priority = clock_.to_monotonic(record.scheduling_priority);
    item.scheduling_priority.value_density = state_.value_density(record);
    item.scheduling_priority.is_long_running = step.long_running;
    item.service = names_.intern(state_.service_of(record.job));
    item.resources = {step.cpu, step.memory, step.gpu};
    item.expected_duration = std::max<Micros>(1, state_.durations.expected(record, key.step));
    item.required_label = names_.intern(step.required_label);
    item.affinity = names_.intern(step.affinity);
    item.anti_affinity = step.anti_affinity;
    item.idle_since = idle_since(record, key, now);
    item.is_gang = step.gang;
    item.prefers_same_rack = step.same_rack;
    item.has_checkpoints = step.checkpoints;
    item.is_preemptable = !step.long_running;
    return item;
}

void ItemView::count_tasks_on_workers(Item& item, const JobRecord& record, const std::vector<Task>& tasks) const {
    for (const Task& task : tasks)
        for (const Placement& placement : task.placements) {
            const auto& incarnation = record.job.status.incarnations[placement.worker_index];
            if (auto index = fleet_view_.index_of(incarnation.worker_id)) item.tasks_per_worker.emplace_back(*index, 1);
        }
}

/// A duplicate keeps away from the run that it is to outrun.
void ItemView::exclude_workers(Item& item, const JobRecord& record, const Task& task) const {
    for (const Placement& placement : task.placements) {
        const auto& incarnation = record.job.status.incarnations[placement.worker_index];
        if (auto index = fleet_view_.index_of(incarnation.worker_id)) item.excluded_workers.push_back(*index);
    }
}

/// Workers on machines where the task failed are chosen last.
void ItemView::deprioritize_workers(Item& item, const StepKey& key, const JobRecord& record, std::uint32_t task) const {
    auto failed = record.failed_nodes.find({key.occurrence, key.step, task});
    if (failed == record.failed_nodes.end()) return;
    for (const std::string& node : failed->second) {
        auto worker = state_.worker_by_node.find(node);
        if (worker == state_.worker_by_node.end()) continue;
        if (auto index = fleet_view_.index_of(worker->second)) item.deprioritized_workers.push_back(*index);
    }
}

/// The processors of one task against those of the mean worker of its service; 0 where there is none.
double ItemView::share_of_mean_worker(const Item& item) const {
    const auto service = fleet_view_.fleet().service_totals(item.service);
    const double mean = service.worker_count ? double(service.capacity.cpu) / double(service.worker_count) : 0;
    return mean > 0 ? double(item.resources.cpu) / mean : 0;
}

}  // namespace calicostall
