// The work that waits in a forward simulation, as items for the planner.
#pragma once
#include "preview/forward/state.hpp"

namespace calicostall {

// What an item stands for: one task, or all tasks of a step that wait and are alike.
struct ForwardItem {
    std::uint32_t job = 0;
    std::uint64_t time = 0;
    std::uint32_t step = 0;
    std::optional<std::uint32_t> single;  // the one task of the item
    auto operator<=>(const ForwardItem&) const = default;
    TaskKey task(std::uint32_t index) const { return {job, time, step, index}; }
};

// Example: waiting.refresh_job(job); PlanView view{..., waiting.items(), ...}; waiting.find(plan.starts[0].item)
class ForwardWaiting {
public:
    explicit ForwardWaiting(ForwardState& state) : state_(state), items_(state.planner) {}

    // Tells the planner's list of items what waits now: of a job, of one of its times, of one step.
    void refresh_job(std::uint32_t job);
    void refresh_time(std::uint32_t job, std::uint64_t number);
    void refresh_step(std::uint32_t job, std::uint64_t number, std::uint32_t step);

    // To be called before each plan.
    void advance() { items_.advance(state_.now); }
    const WaitingItems& items() const { return items_; }
    bool empty() const { return items_.empty(); }
    // What an item of a plan stands for; none if it isn't known.
    const ForwardItem* find(std::uint64_t id) const;
    // The tasks of an item, in the order in which a plan numbers them, and one of them by its number there.
    std::vector<TaskKey> tasks_of(const ForwardItem& item) const;
    TaskKey task_of(const ForwardItem& item, std::uint32_t number) const;

private:
    std::uint64_t id_of(const ForwardItem& item);
    void put(const ForwardItem& item, std::uint32_t count);
    void put_step(const ForwardItem& item);
    void put_singles(const ForwardItem& item, std::set<std::uint32_t> singles);
    Item plan_item(const ForwardItem& item, std::uint32_t count);
    // Where in the fleet runs of a task take room.
    std::vector<std::uint32_t> places_of(const TaskKey& key) const;
    // Where in the fleet a task failed before.
    std::vector<std::uint32_t> places_of_failures(const TaskKey& key) const;

    ForwardState& state_;
    WaitingItems items_;
    std::map<ForwardItem, std::uint64_t> ids_;
    std::unordered_map<std::uint64_t, ForwardItem> items_by_id_;
};

}  // namespace calicostall
