// Stage one: the items that wait, kept in the order of their static priority.
#pragma once
#include "control/plan/settings.hpp"
#include "control/plan/view.hpp"

namespace calicostall {

// What a piece of work can still earn: everything, a part, or nothing any more.
enum class Hope : std::uint8_t { aim, late, none };

// Example: hope_of(item.standing, now)
inline Hope hope_of(const Standing& standing, Micros now) {
    if (standing.lasting) return Hope::late;
    if (now + standing.rest <= standing.due) return Hope::aim;
    return now + standing.rest <= standing.begun + 3 * (standing.due - standing.begun) ? Hope::late : Hope::none;
}

// The static priority in points at time `now`. It rises at the same rate for all of the same hope: their order stays.
// Example: static_points(settings, item.standing, share_of_a_worker, now)
inline double static_points(const PlannerSettings& settings, const Standing& standing, double room_share, Micros now) {
    double points = -settings.weight_level * double(standing.level) - settings.weight_room * room_share +
                    settings.weight_density * standing.density;
    switch (hope_of(standing, now)) {
        case Hope::aim:
            return points + settings.weight_aim -
                   settings.weight_slack * double(standing.due - standing.rest - now) / 1e6;
        case Hope::late:
            return points + settings.weight_waiting * double(now - standing.begun) / 1e6;
        case Hope::none:
            return points - settings.weight_hopeless + settings.weight_waiting * double(now - standing.begun) / 1e6;
    }
    return points;
}

// Example: WaitingItems items(settings); items.put(item); items.advance(now); items.erase(id);
// `put` again with the same id replaces the item (its count, duration, standing...).
class WaitingItems {
public:
    explicit WaitingItems(const PlannerSettings& settings) : settings_(settings) {}
    WaitingItems(const WaitingItems&) = delete;  // the order points into the entries
    WaitingItems& operator=(const WaitingItems&) = delete;
    void put(Item item, Micros now, double room_share = 0) {
        erase(item.id);
        Entry entry{std::move(item), room_share, Hope::aim, 0};
        auto [found, fresh] = entries_.emplace(entry.item.id, std::move(entry));
        demand(found->second.item, 1);
        file(found->second, now);
    }
    void erase(std::uint64_t id) {
        auto found = entries_.find(id);
        if (found == entries_.end()) return;
        demand(found->second.item, -1);
        order_[size_t(found->second.hope)].erase(std::pair(found->second.key, id));
        entries_.erase(found);
    }
    // Changes what does not move an item in the order: its count, where its siblings are, what it keeps away from.
    // Example: items.change(id, [](Item& item) { item.count -= 1; });
    template <class Change>
    void change(std::uint64_t id, Change change_item) {
        auto found = entries_.find(id);
        if (found == entries_.end()) return;
        demand(found->second.item, -1);
        change_item(found->second.item);
        demand(found->second.item, 1);
    }
    const Item* find(std::uint64_t id) const {
        auto found = entries_.find(id);
        return found == entries_.end() ? nullptr : &found->second.item;
    }
    size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }
    void clear() {
        entries_.clear(), changes_.clear(), demand_.clear();
        for (Order& order : order_)
            order.clear();
    }
    // Moves the items whose hope has changed; to be called before each plan.
    void advance(Micros now) {
        while (!changes_.empty() && changes_.begin()->first <= now) {
            auto [at, id] = *changes_.begin();
            changes_.erase(changes_.begin());
            auto found = entries_.find(id);
            if (found == entries_.end()) continue;
            Entry& entry = found->second;
            if (hope_of(entry.item.standing, now) == entry.hope) continue;
            order_[size_t(entry.hope)].erase(std::pair(entry.key, id));
            file(entry, now);
        }
    }
    // Calls `see(item, points)` in falling static priority until it returns false; from a cursor on, if given. Returns
    // the cursor of what was not seen.
    template <class See>
    Cursor in_order(Micros now, See see, const std::optional<Cursor>& from = {}) const {
        std::array<Order::const_iterator, 3> at;
        for (size_t hope = 0; hope < 3; ++hope)
            at[hope] = from ? order_[hope].lower_bound((*from)[hope]) : order_[hope].begin();
        for (;;) {
            size_t best = 3;
            double most = 0;
            for (size_t hope = 0; hope < 3; ++hope) {
                if (at[hope] == order_[hope].end()) continue;
                double points = rate(Hope(hope)) * double(now) / 1e6 - at[hope]->first.first;
                if (best == 3 || points > most) best = hope, most = points;
            }
            if (best == 3 || !see(at[best]->second->item, most)) break;
            ++at[best];
        }
        Cursor cursor;
        for (size_t hope = 0; hope < 3; ++hope)
            cursor[hope] = at[hope] == order_[hope].end() ? std::pair(1e300, std::uint64_t(0)) : at[hope]->first;
        return cursor;
    }
    // How many waiting tasks ask for a label (near their data, or at all): the demand on the workers that have it.
    std::uint32_t demand_on(Name label) const {
        auto found = demand_.find(label);
        return found == demand_.end() ? 0 : std::uint32_t(found->second);
    }
    // Calls `see(item)` for every item, in no order.
    template <class See>
    void each(See see) const {
        for (const auto& [id, entry] : entries_)
            see(entry.item);
    }

private:
    struct Entry {
        Item item;
        double room_share = 0;
        Hope hope = Hope::aim;
        double key = 0;
    };
    using Order = std::map<std::pair<double, std::uint64_t>, const Entry*>;  // the highest first
    double rate(Hope hope) const { return hope == Hope::aim ? settings_.weight_slack : settings_.weight_waiting; }
    void file(Entry& entry, Micros now) {
        entry.hope = hope_of(entry.item.standing, now);
        // The points at time 0 of the same hope, negated: the set begins with the highest.
        entry.key =
            rate(entry.hope) * double(now) / 1e6 - static_points(settings_, entry.item.standing, entry.room_share, now);
        order_[size_t(entry.hope)].emplace(std::pair(entry.key, entry.item.id), &entry);
        const Standing& standing = entry.item.standing;
        if (standing.lasting || entry.hope == Hope::none) return;
        Micros until = (entry.hope == Hope::aim ? standing.due : standing.begun + 3 * (standing.due - standing.begun)) -
                       standing.rest;
        changes_.emplace(until + 1, entry.item.id);
    }
    void demand(const Item& item, int sign) {
        for (Name label : {item.affinity, item.needs})
            if (label) demand_[label] += sign * std::int64_t(item.count);
    }
    PlannerSettings settings_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    std::array<Order, 3> order_;
    std::set<std::pair<Micros, std::uint64_t>> changes_;
    std::unordered_map<Name, std::int64_t> demand_;
};

}  // namespace calicostall
