// Pushing out: which runs may make way for the present item, what that loses, and which are stopped for it.
#include <cmath>

#include "control/plan/planner/plan_maker.hpp"

namespace calicostall {

namespace {

constexpr Micros late_aims = 3;               // late work earns something until so many times its aim
constexpr Micros saved_most = seconds(3600);  // time saved by a stop counts up to this

}  // namespace

// Whether the one priority, in points, is as many times the other as pushing out asks for.
bool PlanMaker::outranks(double high, double low) const {
    return high - low >= std::log2(settings_.ratio_priority) * settings_.points_double;
}

// The time after which the item would earn less than it can now.
Micros PlanMaker::threshold() const {
    const Standing& standing = item_->standing;
    switch (hope_of(standing, now_)) {
        case Hope::aim:
            return standing.due;
        case Hope::late:
            return standing.lasting ? never : standing.begun + late_aims * (standing.due - standing.begun);
        case Hope::none:
            return 0;
    }
    return 0;
}

// The points of a run as it stands, its done part taken off.
double PlanMaker::points_of(const PlanRun& run) const {
    Standing standing = run.standing;
    standing.rest = std::max<Micros>(0, standing.rest - (now_ - run.started));
    return static_points(settings_, standing, 0, now_);
}

// Whether the ratios allow that a run makes way for this item.
bool PlanMaker::may_push(const PlanRun& run) const {
    if (!run.preemptable || run.stopping || stopped_.contains(run.id)) return false;
    double invested = double(std::max<Micros>(now_ - run.started, 0));
    double remaining = double(expected_over(run, now_) - now_);
    return remaining >= settings_.ratio_remaining * invested && outranks(points_, points_of(run));
}

// Thousandths of a core times microseconds that a stop loses.
double PlanMaker::waste_of(const PlanRun& run) const {
    Micros lost = now_ - run.started;
    if (run.checkpoints) lost = std::min(lost, settings_.restore);
    return double(run.room.cpu) * double(lost + stop_time());
}

void PlanMaker::stop(std::uint32_t place, const PlanRun& run) {
    plan_.stops.push_back({run.id, place, item_->id});
    stopped_.insert(run.id);
    slots_[place].timeline.reset();
}

// Runs that were started into a gap count as gone when the gap ends, where that costs less than it saves.
void PlanMaker::sooner_by_pushing(TaskSlot& slot, const Timeline& line, const PlanWorker& worker, Micros length) {
    Micros ready = now_ + stop_time();
    if (slot.from <= ready || item_->earliest > now_ || hope_of(item_->standing, now_) == Hope::none) return;
    if (plan_.stops.size() >= settings_.stops_most) return;
    std::vector<const PlanRun*> cheap = cheap_backfills(worker);
    if (cheap.empty()) return;
    Timeline soft = line;
    for (const PlanRun* run : cheap)
        soft.give(run->room, ready, over(*run));
    Micros from = soft.earliest(item_->room, length, now_);
    if (from >= slot.from) return;
    Resources free = line.least(from, from + length);
    double waste = 0;
    std::sort(cheap.begin(), cheap.end(), [](const PlanRun* left, const PlanRun* right) {
        return std::pair(left->room.cpu, left->id) < std::pair(right->room.cpu, right->id);
    });
    std::vector<const PlanRun*> push;
    for (const PlanRun* run : cheap) {
        if (free.holds(item_->room)) break;
        if (over(*run) <= from) continue;
        free += run->room;
        waste += waste_of(*run);
        push.push_back(run);
    }
    Micros saved = std::min(slot.from, now_ + saved_most) - from;
    if (!free.holds(item_->room)) return;
    if (waste > settings_.waste_most * double(item_->room.cpu) * double(saved)) return;
    slot.from = from;
    slot.push = std::move(push);
}

// Runs in gaps of a worker that may be pushed out and lose little.
std::vector<const PlanRun*> PlanMaker::cheap_backfills(const PlanWorker& worker) const {
    std::vector<const PlanRun*> cheap;
    for (const PlanRun& run : worker.runs)
        if (run.backfill && run.checkpoints && run.gang == 0 && may_push(run)) cheap.push_back(&run);
    return cheap;
}

// Pushes runs out where that loses least, if the item would otherwise come too late and so comes in time. Returns the
// slot made so; without one, it begins `never`.
PlanMaker::TaskSlot PlanMaker::push_out(const TaskSlot& otherwise) {
    const TaskSlot none;
    Micros limit = threshold();
    Micros ready = now_ + stop_time();
    if (limit == 0 || no_victims_ || item_->earliest > now_ || plan_.stops.size() >= settings_.stops_most) return none;
    bool needed = otherwise.from >= never || otherwise.from + item_->standing.rest > limit;
    bool in_time = limit >= never || ready + item_->standing.rest <= limit;
    if (!needed || !in_time) return none;
    std::optional<Victims> best;
    std::uint32_t best_place = 0;
    view_.fleet.candidates(item_->service, {}, [&](std::uint32_t place) {
        if (!suitable(place)) return;
        const PlanWorker& worker = view_.fleet.at(place);
        if (stretch(worker) > 1 || slots_[place].reserved) return;
        plan_.evaluations += 1 + worker.runs.size() / runs_per_evaluation;
        std::optional<Victims> victims = victims_on(place, worker);
        if (!victims || (best && victims->waste >= best->waste)) return;
        best = std::move(victims);
        best_place = place;
    });
    no_victims_ = !best;  // nor will there be any once more is reserved
    if (!best) return none;
    if (best->waste > settings_.waste_most * double(item_->room.cpu) * double(item_->duration)) return none;
    if (plan_.stops.size() + best->runs.size() > settings_.stops_most) return none;
    for (const auto& [place, run] : best->runs)
        stop(place, *run);
    return {best_place, ready, ready + item_->duration, 0, {}};
}

// The runs of a worker that would make way for one task, with the other members of their gangs.
std::optional<PlanMaker::Victims> PlanMaker::victims_on(std::uint32_t place, const PlanWorker& worker) {
    Resources free = free_of(place);
    for (const PlanRun& run : worker.runs)
        if (run.stopping || stopped_.contains(run.id)) free += run.room;
    if (free.holds(item_->room)) return std::nullopt;  // that room comes without a further stop
    std::vector<const PlanRun*> chosen = cheapest_for_item(worker, free);
    if (chosen.empty()) return std::nullopt;
    Victims victims;
    std::set<std::uint64_t> gangs;
    for (const PlanRun* run : chosen) {
        if (run->gang && !gangs.insert(run->gang).second) continue;
        if (!add_victim(victims, place, *run)) return std::nullopt;
    }
    return victims;
}

// Runs that together with what is `free` give the room of one task, the cheapest first; empty if all that may be pushed
// out don't. The free room alone must be too small.
std::vector<const PlanRun*> PlanMaker::cheapest_for_item(const PlanWorker& worker, Resources free) const {
    std::vector<const PlanRun*> able;
    for (const PlanRun& run : worker.runs)
        if (may_push(run)) able.push_back(&run);
    std::sort(able.begin(), able.end(), [&](const PlanRun* left, const PlanRun* right) {
        return std::pair(waste_of(*left), left->id) < std::pair(waste_of(*right), right->id);
    });
    std::vector<const PlanRun*> chosen;
    for (const PlanRun* run : able) {
        if (free.holds(item_->room)) break;
        chosen.push_back(run);
        free += run->room;
    }
    if (!free.holds(item_->room)) return {};
    // Spare what turned out not to be needed, the dearest first.
    for (size_t index = chosen.size(); index-- > 0;) {
        if (!(free - chosen[index]->room).holds(item_->room)) continue;
        free -= chosen[index]->room;
        chosen.erase(chosen.begin() + std::ptrdiff_t(index));
    }
    return chosen;
}

// All members of a gang go together: none, and false, if one of them may not.
bool PlanMaker::add_victim(Victims& victims, std::uint32_t place, const PlanRun& run) const {
    if (run.gang == 0) {
        victims.runs.emplace_back(place, &run);
        victims.waste += waste_of(run);
        return true;
    }
    std::vector<PlacedRun> members;
    const auto* gang = view_.fleet.gang(run.gang);
    if (!gang) return false;
    for (const auto& [other, id] : *gang)
        for (const PlanRun& member : view_.fleet.at(other).runs) {
            if (member.id != id) continue;
            if (!may_push(member)) return false;
            members.emplace_back(other, &member);
        }
    for (const PlacedRun& member : members) {
        victims.runs.push_back(member);
        victims.waste += waste_of(*member.second);
    }
    return true;
}

}  // namespace calicostall
