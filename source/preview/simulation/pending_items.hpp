// The pending tasks of a simulation, as items for the planner.
#pragma once
#include "preview/simulation/state.hpp"

namespace calicostall {

// What an item stands for: one task, or all pending tasks of a step that the planner needn't tell apart.
struct PendingItem {
    std::uint32_t job = 0;
    std::uint64_t occurrence = 0;
    std::uint32_t step = 0;
    std::optional<std::uint32_t> single_task;  // the one task of the item
    auto operator<=>(const PendingItem&) const = default;
    TaskKey task(std::uint32_t index) const { return {job, occurrence, step, index}; }
};

// Example: pending.refresh_job(job); PlanView view{..., pending.items(), ...}; pending.find(plan.starts[0].item)
class PendingItems {
public:
    explicit PendingItems(SimulationState& state) : state_(state), items_(state.planner_settings) {}

    // Updates the planner's items: those of a job, of one of its occurrences, or of one step.
    void refresh_job(std::uint32_t job);
    void refresh_occurrence(std::uint32_t job, std::uint64_t number);
    void refresh_step(std::uint32_t job, std::uint64_t number, std::uint32_t step);

    // To be called before each plan.
    void advance() { items_.advance(state_.now); }
    const WaitingItems& items() const { return items_; }
    bool empty() const { return items_.empty(); }
    // What an item of a plan stands for; nullptr if it is unknown.
    const PendingItem* find(std::uint64_t id) const;
    // The tasks of an item in the order in which a plan numbers them, and one of them by that number.
    std::vector<TaskKey> tasks_of(const PendingItem& item) const;
    TaskKey task_of(const PendingItem& item, std::uint32_t number) const;

private:
    std::uint64_t id_of(const PendingItem& item);
    void put(const PendingItem& item, std::uint32_t count);
    void put_step_item(const PendingItem& item);
    void put_single_task_items(const PendingItem& item, std::set<std::uint32_t> single_tasks);
    Item make_item(const PendingItem& item, std::uint32_t count);
    // The workers that have live runs of a task.
    std::vector<std::uint32_t> fleet_indices_of_runs(const TaskKey& key) const;
    // The workers on whose nodes a task failed before.
    std::vector<std::uint32_t> fleet_indices_of_failures(const TaskKey& key) const;

    SimulationState& state_;
    WaitingItems items_;
    std::map<PendingItem, std::uint64_t> ids_;
    std::unordered_map<std::uint64_t, PendingItem> items_by_id_;
};

}  // namespace calicostall
