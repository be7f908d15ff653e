#include "control/plan/waiting_items.hpp"

namespace calicostall {

namespace {

// Behind every key: the position where an order has ended.
constexpr double end_key = 1e300;

}  // namespace

void WaitingItems::put(Item item, Micros now, double capacity_share) {
    erase(item.id);
    const std::uint64_t id = item.id;
    Entry& entry = entries_.emplace(id, Entry{std::move(item), capacity_share, ValueClass::full, 0}).first->second;
    adjust_demand(entry.item, 1);
    add_to_order(entry, now);
}

void WaitingItems::erase(std::uint64_t id) {
    auto found = entries_.find(id);
    if (found == entries_.end()) return;
    adjust_demand(found->second.item, -1);
    remove_from_order(found->second);
    entries_.erase(found);
}

const Item* WaitingItems::find(std::uint64_t id) const {
    auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.item;
}

void WaitingItems::clear() {
    entries_.clear();
    class_changes_.clear();
    demand_.clear();
    for (Order& order : order_by_class_)
        order.clear();
}

void WaitingItems::advance(Micros now) {
    while (!class_changes_.empty() && class_changes_.begin()->first <= now) {
        const std::uint64_t id = class_changes_.begin()->second;
        class_changes_.erase(class_changes_.begin());
        auto found = entries_.find(id);
        if (found == entries_.end()) continue;
        Entry& entry = found->second;
        if (value_class_of(entry.item.scheduling_priority, now) == entry.value_class) continue;
        remove_from_order(entry);
        add_to_order(entry, now);
    }
}

std::uint32_t WaitingItems::label_demand(NameId label) const {
    auto found = demand_.find(label);
    return found == demand_.end() ? 0 : std::uint32_t(found->second);
}

double WaitingItems::points_per_second(ValueClass value_class) const {
    return value_class == ValueClass::full ? settings_.weight_slack : settings_.weight_waiting;
}

WaitingItems::Cursors WaitingItems::cursors_at(const std::optional<ScanPosition>& position) const {
    Cursors cursors;
    for (size_t value_class = 0; value_class < value_class_count; ++value_class) {
        const Order& order = order_by_class_[value_class];
        cursors[value_class] = position ? order.lower_bound((*position)[value_class]) : order.begin();
    }
    return cursors;
}

WaitingItems::Next WaitingItems::next_item(const Cursors& cursors, Micros now) const {
    Next next;
    for (size_t value_class = 0; value_class < value_class_count; ++value_class) {
        const Order::const_iterator& cursor = cursors[value_class];
        if (cursor == order_by_class_[value_class].end()) continue;
        const double points = points_per_second(ValueClass(value_class)) * double(now) / 1e6 - cursor->first.first;
        if (!next.entry || points > next.points) next = {cursor->second, value_class, points};
    }
    return next;
}

ScanPosition WaitingItems::position_of(const Cursors& cursors) const {
    ScanPosition position;
    for (size_t value_class = 0; value_class < value_class_count; ++value_class) {
        const bool has_ended = cursors[value_class] == order_by_class_[value_class].end();
        position[value_class] = has_ended ? std::pair(end_key, std::uint64_t(0)) : cursors[value_class]->first;
    }
    return position;
}

void WaitingItems::add_to_order(Entry& entry, Micros now) {
    const SchedulingPriority& priority = entry.item.scheduling_priority;
    entry.value_class = value_class_of(priority, now);
    // The points that the item would have at time 0 in the same class, negated: the order begins with the highest.
    entry.key = points_per_second(entry.value_class) * double(now) / 1e6 -
                static_points(settings_, priority, entry.capacity_share, now);
    order_by_class_[size_t(entry.value_class)].emplace(std::pair(entry.key, entry.item.id), &entry);
    if (priority.is_long_running || entry.value_class == ValueClass::none) return;
    const Micros done_by = entry.value_class == ValueClass::full ? priority.deadline : reduced_value_deadline(priority);
    class_changes_.emplace(done_by - priority.critical_path + 1, entry.item.id);
}

void WaitingItems::remove_from_order(const Entry& entry) {
    order_by_class_[size_t(entry.value_class)].erase(std::pair(entry.key, entry.item.id));
}

void WaitingItems::adjust_demand(const Item& item, int sign) {
    for (NameId label : {item.affinity, item.required_label})
        if (label) demand_[label] += sign * std::int64_t(item.task_count);
}

}  // namespace calicostall
