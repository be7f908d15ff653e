/// The waiting tasks as the planner sees them, kept up to date from the scheduler's state.
#pragma once
#include "control/jobs/planning/fleet_view.hpp"
#include "control/plan/waiting_items.hpp"

namespace calicostall {

/// The tasks that an item of the planner stands for.
struct ItemTasks {
    StepKey step;
    std::vector<std::uint32_t> tasks;  // their indexes within the step
};

/// Mirrors the steps that are ready into the planner's waiting items. Most tasks of a step are alike and make up one
/// item; those that have failed somewhere and duplicates are items by themselves. Owns the items and which tasks they
/// stand for; the jobs belong to the state.
/// Example: item_view.update_step(key, now); item_view.advance(now); plan with item_view.items()
class ItemView {
public:
    /// The state, the names, the fleet's view and the clock must outlive the view.
    ItemView(SchedulerState& state, NameTable& names, const FleetView& fleet_view, const PlannerClock& clock);

    /// Takes in that a step has become ready, has changed or is ready no longer.
    /// @param now  monotonic time in microseconds
    void update_step(const StepKey& key, Micros now);

    /// Orders the items for a plan at `now`.
    void advance(Micros now) { items_.advance(now); }

    void clear();

    /// What the item stands for; null if there is no such item.
    const ItemTasks* find(std::uint64_t item) const;

    const WaitingItems& items() const { return items_; }

private:
    /// The items of one step. An item's number is 0 until it has one.
    struct StepItems {
        std::uint64_t group = 0;                         // the tasks that are alike
        std::map<std::uint32_t, std::uint64_t> singles;  // task -> item
    };
    /// How the waiting tasks of a step divide into items.
    struct Division {
        std::vector<std::uint32_t> group;
        std::map<std::uint32_t, std::uint64_t> singles;
    };

    JobRecord* find_ready(const StepKey& key);
    static Division divide(const JobRecord& record, const StepKey& key);
    void remove_step(const StepKey& key);
    void remove_item(std::uint64_t item);
    void put_item(std::uint64_t& id, const StepKey& key, JobRecord& record, std::vector<std::uint32_t> tasks,
                  Micros now);
    Item make_item(const StepKey& key, JobRecord& record, Micros now);
    void count_tasks_on_workers(Item& item, const JobRecord& record, const std::vector<Task>& tasks) const;
    void exclude_workers(Item& item, const JobRecord& record, const Task& task) const;
    void deprioritize_workers(Item& item, const StepKey& key, const JobRecord& record, std::uint32_t task) const;
    double share_of_mean_worker(const Item& item) const;

    SchedulerState& state_;
    NameTable& names_;
    const FleetView& fleet_view_;
    const PlannerClock& clock_;
    WaitingItems items_;
    std::map<StepKey, StepItems> items_by_step_;
    std::unordered_map<std::uint64_t, ItemTasks> tasks_by_item_;
    std::uint64_t last_item_ = 0;
};

}  // namespace calicostall
