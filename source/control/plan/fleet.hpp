// Workers as the planner sees them, kept by resource class so that a plan looks only at those which may fit.
#pragma once
#include "control/plan/view.hpp"

namespace calicostall {

// Example: Fleet fleet; auto place = fleet.add(worker); fleet.begin_run(place, run); fleet.end_run(place, run.id);
// fleet.remove(place); `free` follows the runs; the place of a worker stays the same until it is removed and may be
// used again after.
class Fleet {
public:
    std::uint32_t add(PlanWorker worker) {
        std::uint32_t place;
        if (!spare_.empty())
            place = spare_.back(), spare_.pop_back();
        else
            place = std::uint32_t(slots_.size()), slots_.emplace_back();
        Slot& slot = slots_[place];
        slot = Slot{};
        std::vector<PlanRun> runs = std::move(worker.runs);
        worker.runs.clear();
        worker.free = worker.capacity;
        slot.worker = std::move(worker);
        slot.used = true;
        services_[slot.worker.service].count += 1;
        services_[slot.worker.service].capacity += slot.worker.capacity;
        file(place);
        for (PlanRun& run : runs)
            begin_run(place, std::move(run));
        return place;
    }
    void remove(std::uint32_t place) {
        Slot& slot = slots_[place];
        while (!slot.worker.runs.empty())
            end_run(place, slot.worker.runs.back().id);
        unfile(place);
        auto& service = services_[slot.worker.service];
        service.count -= 1;
        service.capacity -= slot.worker.capacity;
        slot = Slot{};
        spare_.push_back(place);
    }
    // What the worker said of itself; its runs stay.
    void describe(std::uint32_t place, Name service, std::vector<Name> labels, Name rack, const Resources& capacity) {
        PlanWorker& worker = slots_[place].worker;
        unfile(place);
        auto& old = services_[worker.service];
        old.count -= 1, old.capacity -= worker.capacity;
        worker.free += capacity - worker.capacity;
        worker.capacity = capacity, worker.service = service, worker.labels = std::move(labels), worker.rack = rack;
        auto& fresh = services_[service];
        fresh.count += 1, fresh.capacity += capacity;
        file(place);
    }
    // How it is thought of now.
    void judge(std::uint32_t place, bool open, double pace, double trust, std::uint32_t runs_most = 0,
               bool paused = false) {
        PlanWorker& worker = slots_[place].worker;
        worker.open = open, worker.pace = pace, worker.trust = trust, worker.runs_most = runs_most;
        worker.paused = paused;
    }
    // All runs of a worker anew, in one go.
    void renew_runs(std::uint32_t place, std::vector<PlanRun> runs) {
        PlanWorker& worker = slots_[place].worker;
        unfile(place);
        worker.free = worker.capacity;
        for (const PlanRun& run : worker.runs)
            leave_gang(place, run);
        for (const PlanRun& run : runs) {
            worker.free -= run.room;
            if (run.gang) gangs_[run.gang].emplace_back(place, run.id);
        }
        worker.runs = std::move(runs);
        file(place);
    }
    void begin_run(std::uint32_t place, PlanRun run) {
        PlanWorker& worker = slots_[place].worker;
        unfile(place);
        worker.free -= run.room;
        file(place);
        if (run.gang) gangs_[run.gang].emplace_back(place, run.id);
        worker.runs.push_back(std::move(run));
    }
    void end_run(std::uint32_t place, std::uint64_t id) {
        PlanWorker& worker = slots_[place].worker;
        auto found =
            std::find_if(worker.runs.begin(), worker.runs.end(), [&](const PlanRun& run) { return run.id == id; });
        if (found == worker.runs.end()) return;
        unfile(place);
        worker.free += found->room;
        file(place);
        leave_gang(place, *found);
        *found = std::move(worker.runs.back());
        worker.runs.pop_back();
    }
    PlanRun* find_run(std::uint32_t place, std::uint64_t id) {
        for (PlanRun& run : slots_[place].worker.runs)
            if (run.id == id) return &run;
        return nullptr;
    }
    const PlanWorker& at(std::uint32_t place) const { return slots_[place].worker; }
    bool used(std::uint32_t place) const { return place < slots_.size() && slots_[place].used; }
    size_t places() const { return slots_.size(); }
    const std::vector<std::pair<std::uint32_t, std::uint64_t>>* gang(std::uint64_t id) const {
        auto found = gangs_.find(id);
        return found == gangs_.end() ? nullptr : &found->second;
    }
    struct ServiceSum {
        size_t count = 0;
        Resources capacity;
    };
    ServiceSum service(Name name) const {
        auto found = services_.find(name);
        return found == services_.end() ? ServiceSum{} : found->second;
    }
    // Calls `see(place)` for the workers of a service whose class of free room may hold `room`.
    template <class See>
    void candidates(Name service, const Resources& room, See see) const {
        auto found = classes_.find(service);
        if (found == classes_.end()) return;
        auto [least_cpu, least_memory] = class_of(room);
        for (const auto& [key, members] : found->second)
            if (key.first >= least_cpu && key.second >= least_memory)
                for (std::uint32_t place : members)
                    see(place);
    }

private:
    struct Slot {
        PlanWorker worker;
        bool used = false;
        std::pair<int, int> filed;
        size_t position = 0;
    };
    void leave_gang(std::uint32_t place, const PlanRun& run) {
        auto gang = gangs_.find(run.gang);
        if (run.gang == 0 || gang == gangs_.end()) return;
        std::erase(gang->second, std::pair(place, run.id));
        if (gang->second.empty()) gangs_.erase(gang);
    }
    static int magnitude(std::int64_t amount) { return amount <= 0 ? 0 : 64 - __builtin_clzll(std::uint64_t(amount)); }
    static std::pair<int, int> class_of(const Resources& room) { return {magnitude(room.cpu), magnitude(room.memory)}; }
    void file(std::uint32_t place) {
        Slot& slot = slots_[place];
        slot.filed = class_of(slot.worker.free);
        auto& members = classes_[slot.worker.service][slot.filed];
        slot.position = members.size();
        members.push_back(place);
    }
    void unfile(std::uint32_t place) {
        Slot& slot = slots_[place];
        auto& of_service = classes_[slot.worker.service];
        auto& members = of_service[slot.filed];
        members[slot.position] = members.back();
        slots_[members[slot.position]].position = slot.position;
        members.pop_back();
        if (members.empty()) of_service.erase(slot.filed);
    }

    std::vector<Slot> slots_;
    std::vector<std::uint32_t> spare_;
    std::unordered_map<Name, std::map<std::pair<int, int>, std::vector<std::uint32_t>>> classes_;
    std::unordered_map<Name, ServiceSum> services_;
    std::unordered_map<std::uint64_t, std::vector<std::pair<std::uint32_t, std::uint64_t>>> gangs_;
};

}  // namespace calicostall
