/// The items that wait, kept in the order of their static priority. Pure.
#pragma once
#include "control/plan/settings.hpp"
#include "control/plan/static_priority.hpp"
#include "control/plan/view.hpp"

namespace calicostall {

/// Owns the waiting items and three orders of them, one for each value class: within a class the order doesn't change
/// with time, so only those items move whose class changes.
/// Example: WaitingItems items(settings); items.put(item, now); items.advance(now); items.erase(item.id);
class WaitingItems {
public:
    explicit WaitingItems(const PlannerSettings& settings) : settings_(settings) {}
    WaitingItems(const WaitingItems&) = delete;  // the order points into the entries
    WaitingItems& operator=(const WaitingItems&) = delete;

    /// Adds an item, or replaces the one with its number.
    /// @param now  microseconds of the plan's clock
    /// @param capacity_share  the share of a mean worker that one of its tasks takes
    void put(Item item, Micros now, double capacity_share = 0);

    /// Removes an item, if there is one with this number.
    void erase(std::uint64_t id);

    /// Changes what does not move an item in the order: its count, where its siblings are, whom it excludes.
    /// Example: items.update(id, [](Item& item) { item.task_count -= 1; });
    template <class UpdateItem>
    void update(std::uint64_t id, UpdateItem update_item) {
        auto found = entries_.find(id);
        if (found == entries_.end()) return;
        adjust_demand(found->second.item, -1);
        update_item(found->second.item);
        adjust_demand(found->second.item, 1);
    }

    /// The item; null if there is none with this number.
    const Item* find(std::uint64_t id) const;

    size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }
    void clear();

    /// Moves the items whose value class has changed by `now`; to be called before each plan.
    void advance(Micros now);

    /// Calls visit(item, points) in falling static priority until it returns false; from a position on, if given.
    /// Returns the position of what was not visited. The items must have been advanced to `now`.
    template <class Visit>
    ScanPosition visit_in_order(Micros now, Visit visit, const std::optional<ScanPosition>& from = {}) const {
        Cursors cursors = cursors_at(from);
        for (;;) {
            const Next next = next_item(cursors, now);
            if (!next.entry || !visit(next.entry->item, next.points)) break;
            ++cursors[next.value_class];
        }
        return position_of(cursors);
    }

    /// How many waiting tasks ask for a label, near their data or at all: the demand on the workers that have it.
    std::uint32_t label_demand(NameId label) const;

    /// Calls visit(item) for every item, in no order.
    template <class Visit>
    void each(Visit visit) const {
        for (const auto& [id, entry] : entries_)
            visit(entry.item);
    }

private:
    struct Entry {
        Item item;
        double capacity_share = 0;
        ValueClass value_class = ValueClass::full;
        double key = 0;  // in the order of its class
    };
    using Order = std::map<std::pair<double, std::uint64_t>, const Entry*>;  // the highest priority first
    using Cursors = std::array<Order::const_iterator, value_class_count>;
    /// The item that comes next of all classes; without an entry there is none.
    struct Next {
        const Entry* entry = nullptr;
        size_t value_class = 0;
        double points = 0;
    };

    double points_per_second(ValueClass value_class) const;
    Cursors cursors_at(const std::optional<ScanPosition>& position) const;
    Next next_item(const Cursors& cursors, Micros now) const;
    ScanPosition position_of(const Cursors& cursors) const;
    void add_to_order(Entry& entry, Micros now);
    void remove_from_order(const Entry& entry);
    void adjust_demand(const Item& item, int sign);

    PlannerSettings settings_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    std::array<Order, value_class_count> order_by_class_;
    std::set<std::pair<Micros, std::uint64_t>> class_changes_;  // when an item's class may change next
    std::unordered_map<NameId, std::int64_t> demand_;           // waiting tasks, by label
};

}  // namespace calicostall
