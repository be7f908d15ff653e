// Gangs: all members start at one time, or none.
#include "control/plan/planner/plan_maker.hpp"

namespace calicostall {

namespace {

constexpr size_t times_scanned = 16;  // so few times are tried one by one; of more, half are left out at each trial

}  // namespace

void PlanMaker::take_gang() {
    const Item& item = *item_;
    if (open_tasks() < item.count) return wait(item.count, Reason::urgent_room);
    if (item.earliest <= now_ && !known_to_fail() && place_gang_now()) return;
    if (may_reserve()) {
        GangSlot later = gang_later(false);
        if (later.from < never) reserve_gang(later, later.length);
    }
    if (!seen_.suitable) look_for_suitable();
    if (!seen_.suitable) return wait(item.count, Reason::label);
    wait(item.count, item.earliest > now_ ? Reason::due_time : Reason::gang);
}

// Starts the gang if it fits now. On more than one rack it takes `remote_factor` times as long: one rack later may end
// it sooner, and is then reserved. Returns false if it doesn't fit now.
bool PlanMaker::place_gang_now() {
    const Item& item = *item_;
    GangSlot whole = gang_slot(now_, 0, false);
    GangSlot rack;
    if (item.same_rack) rack = gang_at_rack(now_);
    if (rack.from < never) {
        start_gang(rack);
        return true;
    }
    if (whole.from >= never) return false;
    GangSlot later;
    if (item.same_rack && may_reserve() && !overdue_) later = gang_later(true);
    if (later.from < never &&
        later.from + item.duration < now_ + Micros(double(item.duration) * settings_.remote_factor)) {
        reserve_gang(later, item.duration);
        wait(item.count, Reason::nearby);
        return true;
    }
    start_gang(whole);
    return true;
}

// How many members fit on a worker for `length` from `at` on.
std::uint32_t PlanMaker::parts_that_fit(std::uint32_t place, Micros at, Micros length) {
    if (!suitable(place)) return 0;
    ++plan_.evaluations;
    Resources free;
    if (at <= now_ && (!slots_[place].reserved || overdue_))
        free = free_of(place);
    else
        free = timeline(place).least(at, at + length);
    std::int64_t parts = item_->count;
    const Resources& room = item_->room;
    if (room.cpu > 0) parts = std::min(parts, free.cpu / room.cpu);
    if (room.memory > 0) parts = std::min(parts, free.memory / room.memory);
    if (room.gpu > 0) parts = std::min(parts, free.gpu / room.gpu);
    if (item_->anti_affinity) parts = std::min<std::int64_t>(parts, item_->anti_affinity);
    if (view_.fleet.at(place).runs_most) parts = std::min<std::int64_t>(parts, 1);
    return std::uint32_t(std::max<std::int64_t>(parts, 0));
}

// Where all members go at one time, on one rack or (0) on any; without room for all, it begins `never`.
PlanMaker::GangSlot PlanMaker::gang_slot(Micros at, Name rack, bool many_racks) {
    const Item& item = *item_;
    Micros length = item.duration;
    if (item.same_rack && many_racks) length = Micros(double(length) * settings_.remote_factor);
    std::vector<GangRoom> rooms;
    std::uint64_t sum = 0;
    view_.fleet.candidates(item.service, at <= now_ ? item.room : Resources{}, [&](std::uint32_t place) {
        const PlanWorker& worker = view_.fleet.at(place);
        if (rack && worker.rack != rack) return;
        std::uint32_t parts = parts_that_fit(place, at, Micros(double(length) * stretch(worker)));
        if (parts == 0) return;
        rooms.push_back({rank(place), place, parts, 0});
        sum += parts;
    });
    if (sum < item.count) return {};
    return {at, length, spread_members(std::move(rooms))};
}

// Each member goes to the worker with the highest rank, which is ranked anew after it. There must be room for all.
std::vector<std::uint32_t> PlanMaker::spread_members(std::vector<GangRoom> rooms) const {
    const Item& item = *item_;
    std::make_heap(rooms.begin(), rooms.end());
    std::vector<std::uint32_t> members;
    while (members.size() < item.count) {
        std::pop_heap(rooms.begin(), rooms.end());
        GangRoom& room = rooms.back();
        members.push_back(room.place);
        const Resources& capacity = view_.fleet.at(room.place).capacity;
        double step =
            settings_.weight_load * (free_share(capacity, capacity) - free_share(capacity - item.room, capacity));
        room.rank += item.standing.level <= view_.urgent_level ? -step : step;
        if (++room.taken >= room.parts)
            rooms.pop_back();
        else
            std::push_heap(rooms.begin(), rooms.end());
    }
    return members;
}

std::set<Name> PlanMaker::racks() const {
    std::set<Name> racks;
    view_.fleet.candidates(item_->service, {}, [&](std::uint32_t place) { racks.insert(view_.fleet.at(place).rack); });
    return racks;
}

// The first rack on which all members fit at that time.
PlanMaker::GangSlot PlanMaker::gang_at_rack(Micros at) {
    for (Name rack : racks()) {
        GangSlot slot = gang_slot(at, rack, false);
        if (slot.from < never) return slot;
    }
    return {};
}

// The times at which the free room of some worker changes, the item's earliest time before them.
std::vector<Micros> PlanMaker::gang_times() {
    std::vector<Micros> times{std::max(now_, item_->earliest)};
    view_.fleet.candidates(item_->service, {}, [&](std::uint32_t place) {
        if (!suitable(place)) return;
        for (const auto& [at, free] : timeline(place).steps())
            if (at > times[0]) times.push_back(at);
    });
    std::sort(times.begin() + 1, times.end());
    times.erase(std::unique(times.begin(), times.end()), times.end());
    return times;
}

// The first time at which all members fit together; of very many times some are tried.
PlanMaker::GangSlot PlanMaker::gang_later(bool one_rack) {
    const std::vector<Micros> times = gang_times();
    auto attempt = [&](size_t index) {
        return one_rack ? gang_at_rack(times[index]) : gang_slot(times[index], 0, item_->same_rack);
    };
    size_t low = 0;
    size_t high = times.size();  // the answer lies in [low, high)
    GangSlot found;
    while (high - low > times_scanned) {
        size_t middle = low + (high - low) / 2;
        GangSlot slot = attempt(middle);
        if (slot.from < never) {
            found = std::move(slot);
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    for (size_t index = low; index < high; ++index) {
        GangSlot slot = attempt(index);
        if (slot.from < never) return slot;
    }
    return found;
}

void PlanMaker::start_gang(const GangSlot& slot) {
    for (std::uint32_t task = 0; task < slot.members.size(); ++task)
        start(slot.members[task], task, false);
}

void PlanMaker::reserve_gang(const GangSlot& slot, Micros length) {
    for (std::uint32_t task = 0; task < slot.members.size(); ++task)
        reserve_at(slot.members[task], task, slot.from, slot.from + length);
    ++reservations_made_;
}

}  // namespace calicostall
