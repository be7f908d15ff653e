// Stage two and the plan as a whole: one view in, one plan out. Pure; the daemon, the simulator and the preview call
// it.
#pragma once
#include <cmath>

#include "control/plan/demand.hpp"
#include "control/plan/fleet.hpp"
#include "control/plan/settings.hpp"
#include "control/plan/timeline.hpp"
#include "control/plan/view.hpp"
#include "control/plan/waiting.hpp"

namespace calicostall {

// Everything a plan is made of. All times by one clock: whose is the caller's matter (the daemon: wall time of the
// core).
struct PlanView {
    const PlannerSettings& settings;
    const WaitingItems& items;
    const Fleet& fleet;
    const UrgentDemand& demand;     // what urgent queues used lately
    std::int64_t urgent_level = 0;  // the least level of all queues
    Micros now = 0;
    std::optional<Cursor> resume;  // as the plan before said: its bound on work was reached there
};

// When a run is expected to be over: an overdue one takes a quarter of its time longer.
// Example: expected_over(run, now)
inline Micros expected_over(const PlanRun& run, Micros now) {
    if (run.expected_end > now) return run.expected_end;
    return now + std::max<Micros>(milliseconds(20), run.stopping ? 0 : (now - run.started) / 4);
}

// The work of one call of `make_plan`.
class PlanMaker {
public:
    explicit PlanMaker(const PlanView& view)
        : view_(view), settings_(view.settings), now_(view.now), slots_(view.fleet.places()) {}

    Plan run() && {
        // The head of the order is looked at each time; below it a plan goes on where the one before stopped. The head
        // takes a quarter of both bounds at most, and one item below it is looked at whatever it costs: so every item
        // has its turn, however dear those before it are.
        size_t most = view_.resume ? settings_.looks_most / 4 : settings_.looks_most;
        size_t evaluations = view_.resume ? settings_.evaluations_most / 4 : settings_.evaluations_most;
        bool more = false, first = false;
        auto look = [&](const Item& item, double points) {
            more = !first && (plan_.looked_at >= most || plan_.evaluations > evaluations);
            first = false;
            if (more) return false;
            ++plan_.looked_at;
            item_ = &item, points_ = points;
            take_item();
            return true;
        };
        Cursor stopped = view_.items.in_order(now_, look);
        if (more && view_.resume) {
            for (size_t hope = 0; hope < 3; ++hope)
                stopped[hope] = std::max(stopped[hope], (*view_.resume)[hope]);
            most = settings_.looks_most;
            evaluations = settings_.evaluations_most;
            first = true;
            stopped = view_.items.in_order(now_, look, stopped);
        }
        plan_.unfinished = more;
        if (more) plan_.resume = stopped;
        return std::move(plan_);
    }

private:
    struct Use {
        Resources room;
        Micros from, until;
        bool reserved;  // else it starts now
        bool backfill;  // started into a gap
        bool firm;      // what starts before it must end in time: it will push nothing out
        double points;
    };
    // What a plan has changed on a worker so far.
    struct Slot {
        bool touched = false, reserved = false;
        Resources free;
        std::vector<Use> planned;          // starts and reservations of this plan
        std::optional<Timeline> timeline;  // built when somebody asks
    };
    struct Ranked {
        double rank = 0;
        std::uint32_t place = 0;
        bool operator<(const Ranked& other) const {
            return rank < other.rank || (rank == other.rank && place > other.place);
        }
    };
    struct Failed {
        Name service, needs;
        Resources room;
        Micros length;
        Reason reason;
    };
    // What was seen while an item looked for a worker.
    struct Seen {
        bool suitable = false, apart = false, trust = false, reserved = false, fits = false;
    };

    // --- one item ---

    void take_item() {
        const Item& item = *item_;
        if (item.blocked != Item::Blocked::no)
            return wait(item.count, item.blocked == Item::Blocked::dependency ? Reason::dependency
                                    : item.blocked == Item::Blocked::budget   ? Reason::budget
                                                                              : Reason::due_time);
        if (view_.fleet.service(item.service).count == 0) return wait(item.count, Reason::label);
        seen_ = {};
        overdue_ = is_overdue();
        if (item.gang) return take_gang();
        std::uint32_t open = open_tasks();
        std::uint32_t placed = 0, held = 0;
        if (open > 0 && item.earliest <= now_ && !known_to_fail()) placed = start_now(open, held);
        std::uint32_t left = open - placed - held;
        if (open < item.count) wait(item.count - open, Reason::urgent_room);
        if (held) wait(held, Reason::nearby);
        if (left == 0) return;
        const Failed* like = known_to_fail();
        Reason reason = reserve(left, placed + held, like);
        if (!like && item.earliest <= now_ && !seen_.apart && !seen_.trust && item.away.empty() &&
            item.on_worker.empty())
            note_failed(reason);
        wait(left, reason);
    }
    // Whether nothing of the item's job has run for long though its service has room to spare. Then one start, or one
    // gang, goes ahead of everything that is kept free.
    bool is_overdue() const {
        const Item& item = *item_;
        if (item.idle_since == 0 || now_ - item.idle_since < settings_.idle_most) return false;
        Resources used = view_.demand.in_use(item.service);
        if (auto planned = planned_.find(item.service); planned != planned_.end()) used += planned->second;
        const Resources whole = view_.fleet.service(item.service).capacity;
        auto spare = [this](std::int64_t in_use, std::int64_t capacity) {
            return double(in_use) <= settings_.idle_share * double(capacity);
        };
        return spare(used.cpu, whole.cpu) && spare(used.memory, whole.memory) && spare(used.gpu, whole.gpu);
    }
    // How many tasks a less urgent level may start: the rest of the room is kept for what urgent queues used lately.
    std::uint32_t open_tasks() {
        const Item& item = *item_;
        if (item.standing.level <= view_.urgent_level) return item.count;
        auto service = view_.fleet.service(item.service);
        auto kept = view_.demand.kept_from(item.service, item.standing.level, item.duration, service.capacity);
        if (kept.cpu <= 0 && kept.memory <= 0) return item.count;
        Resources used = view_.demand.in_use(item.service) + planned_[item.service];
        double most = double(item.count);
        if (item.room.cpu > 0)
            most = std::min(most, (double(service.capacity.cpu - used.cpu) - kept.cpu) / double(item.room.cpu));
        if (item.room.memory > 0)
            most = std::min(most,
                            (double(service.capacity.memory - used.memory) - kept.memory) / double(item.room.memory));
        // A level is never shut out wholly.
        bool first = view_.demand.in_use(item.service, item.standing.level) == Resources{} &&
                     planned_levels_[{item.service, item.standing.level}] == 0;
        bool let_in = first || overdue_;
        if (item.gang) return most >= double(item.count) || let_in ? item.count : 0;
        return std::uint32_t(std::clamp(most, let_in ? 1.0 : 0.0, double(item.count)));
    }
    // Items like one that found no room before it are not tried again: as large, as long, and as particular.
    const Failed* known_to_fail() const {
        const Item& item = *item_;
        if (overdue_) return nullptr;
        for (const Failed& each : failed_)
            if (each.service == item.service && (each.needs == 0 || each.needs == item.needs) &&
                item.room.holds(each.room) && item.duration >= each.length && (each.length == 0 || !item.checkpoints))
                return &each;
        return nullptr;
    }
    void note_failed(Reason reason) {
        const Item& item = *item_;
        if (failed_.size() >= 32 || (seen_.reserved && item.checkpoints)) return;
        failed_.push_back({item.service, item.needs, item.room, seen_.reserved ? item.duration : 0,
                           reason == Reason::pushing ? Reason::room : reason});
    }
    void wait(std::uint32_t tasks, Reason reason) { plan_.waits.push_back({item_->id, tasks, reason}); }

    // --- stage two: the worker with the highest rank, anew after each start ---

    std::uint32_t start_now(std::uint32_t count, std::uint32_t& held) {
        const Item& item = *item_;
        std::vector<Ranked> heap;
        view_.fleet.candidates(item.service, item.room, [&](std::uint32_t place) {
            ++plan_.evaluations;
            if (fits_now(place) != Fit::no) heap.push_back({rank(place), place});
        });
        std::make_heap(heap.begin(), heap.end());
        std::uint32_t placed = 0;
        bool look_nearby = item.affinity != 0 && !overdue_;
        while (placed + held < count && !heap.empty()) {
            std::pop_heap(heap.begin(), heap.end());
            std::uint32_t place = heap.back().place;
            heap.pop_back();
            if (look_nearby && !view_.fleet.at(place).has(item.affinity)) {
                look_nearby = reserve_nearby(placed + held);
                if (look_nearby) {
                    ++held;
                    heap.push_back({rank(place), place});
                    std::push_heap(heap.begin(), heap.end());
                    continue;
                }
            }
            Fit fit = fits_now(place);  // a reservation may have been made since it was ranked
            ++plan_.evaluations;
            if (fit == Fit::no) continue;
            start(place, placed + held, fit == Fit::backfill);
            ++placed;
            if (fits_now(place) != Fit::no) {
                heap.push_back({rank(place), place});
                std::push_heap(heap.begin(), heap.end());
            }
        }
        if (placed) seen_.fits = true;
        return placed;
    }
    // How many times its usual duration the item takes on a worker.
    double stretch(const PlanWorker& worker) const {
        double factor = item_->affinity && !worker.has(item_->affinity) ? settings_.remote_factor : 1;
        return worker.pace > settings_.slow_pace ? factor * worker.pace : factor;
    }
    Micros length_on(const PlanWorker& worker) const { return Micros(double(item_->duration) * stretch(worker)); }
    std::uint32_t on_worker(std::uint32_t place) const {
        std::uint32_t count = 0;
        for (const auto& [other, tasks] : item_->on_worker)
            if (other == place) count += tasks;
        if (auto found = started_.find({item_->id, place}); found != started_.end()) count += found->second;
        return count;
    }
    // Whether a worker may get a task of the item at all, whatever its load.
    bool suitable(std::uint32_t place) {
        const PlanWorker& worker = view_.fleet.at(place);
        if (!worker.open || !worker.has(item_->needs) || !worker.capacity.holds(item_->room)) return false;
        seen_.suitable = true;
        if (std::find(item_->away.begin(), item_->away.end(), place) != item_->away.end())
            return seen_.apart = true, false;
        if (item_->anti_affinity && on_worker(place) >= item_->anti_affinity) return seen_.apart = true, false;
        if (worker.trust < settings_.trust_least) return seen_.trust = true, false;
        if (worker.paused && !overdue_) return seen_.trust = true, false;
        if (worker.runs_most && !overdue_ && worker.runs.size() + slots_[place].planned.size() >= worker.runs_most)
            return seen_.trust = true, false;
        return true;
    }
    enum class Fit { no, yes, backfill };
    Fit fits_now(std::uint32_t place) {
        if (!free_of(place).holds(item_->room) || !suitable(place)) return Fit::no;
        Slot& slot = slots_[place];
        if (!slot.reserved || overdue_) return Fit::yes;
        const PlanWorker& worker = view_.fleet.at(place);
        Micros length = length_on(worker);
        Timeline& line = timeline(place);
        if (line.holds(item_->room, now_, now_ + length)) return Fit::yes;
        if (may_be_pushed_later(place, line, length)) return Fit::backfill;
        seen_.reserved = true;
        return Fit::no;
    }
    // What may be pushed out again starts in a gap too, if it gets a fair part of its time before, and if pushing it
    // out will then cost less than it saves.
    bool may_be_pushed_later(std::uint32_t place, const Timeline& line, Micros length) const {
        if (!item_->checkpoints || !item_->preemptable || item_->gang) return false;
        Micros until = line.ends_at(item_->room, now_);
        if (until - now_ < stop_time() + settings_.push_early ||
            double(until - now_) < settings_.ratio_run * double(length))
            return false;
        // With all that was started into gaps there: they would be pushed out together.
        const Slot& slot = slots_[place];
        std::int64_t cpu = item_->room.cpu;
        for (const PlanRun& run : view_.fleet.at(place).runs)
            cpu += run.backfill ? run.room.cpu : 0;
        for (const Use& use : slot.planned)
            cpu += use.backfill ? use.room.cpu : 0;
        double waste = double(cpu) * double(settings_.restore + stop_time()), left = double(now_ + length - until);
        for (const Use& use : slot.planned) {
            if (!use.reserved || use.from >= now_ + length || use.until <= until) continue;
            if (use.firm || !outranks(use.points, points_) ||
                waste > settings_.waste_most * double(use.room.cpu) * left)
                return false;
            if (left < settings_.ratio_remaining * double(until - now_)) return false;
        }
        return true;
    }
    // The dynamic rank: load, demand, and how much longer it takes there. All about one worker, so that only a worker
    // that was given something is ranked again.
    double rank(std::uint32_t place) {
        const PlanWorker& worker = view_.fleet.at(place);
        const Resources& free = free_of(place);
        double left;
        if (item_->standing.level <= view_.urgent_level)
            left = share(free, worker.capacity);  // spread: the emptiest first
        else
            left = 1 - share(free - item_->room, worker.capacity);  // pack: the best filled first
        double points = settings_.weight_load * left - settings_.weight_finish * (stretch(worker) - 1) -
                        settings_.weight_trust * (1 - worker.trust);
        if (worker.pace > settings_.slow_pace) points -= settings_.weight_slow;
        if (std::find(item_->disliked.begin(), item_->disliked.end(), place) != item_->disliked.end())
            points -= settings_.weight_failed;
        if (worker.rack && worker.rack != item_->affinity) {
            double wanted = double(view_.items.demand_on(worker.rack));
            points -= settings_.weight_demand * wanted / (wanted + 16);
        }
        return points;
    }
    static double share(const Resources& free, const Resources& whole) {
        double by_cpu = whole.cpu > 0 ? double(free.cpu) / double(whole.cpu) : 1,
               by_memory = whole.memory > 0 ? double(free.memory) / double(whole.memory) : 1;
        return std::min(by_cpu, by_memory);
    }
    void start(std::uint32_t place, std::uint32_t task, bool backfill) {
        plan_.starts.push_back({item_->id, task, place, backfill});
        Micros until = item_->standing.lasting ? never : now_ + length_on(view_.fleet.at(place));
        use(place, now_, until, false, backfill);
        slots_[place].free -= item_->room;
        if (!item_->gang) overdue_ = false;
        planned_[item_->service] += item_->room;
        planned_levels_[{item_->service, item_->standing.level}]++;
        started_[{item_->id, place}]++;
    }

    // --- what is free, now and later ---

    Resources& free_of(std::uint32_t place) {
        Slot& slot = slots_[place];
        if (!slot.touched) slot.touched = true, slot.free = view_.fleet.at(place).free;
        return slot.free;
    }
    void use(std::uint32_t place, Micros from, Micros until, bool reserved, bool backfill) {
        free_of(place);
        Slot& slot = slots_[place];
        slot.planned.push_back({item_->room, from, until, reserved, backfill, item_->gang, points_});
        if (slot.timeline) slot.timeline->take(item_->room, from, until);
    }
    Timeline& timeline(std::uint32_t place) {
        Slot& slot = slots_[place];
        if (slot.timeline) return *slot.timeline;
        const PlanWorker& worker = view_.fleet.at(place);
        plan_.evaluations += 1 + worker.runs.size() / 4;
        std::vector<std::pair<Micros, Resources>> ends;
        ends.reserve(worker.runs.size());
        for (const PlanRun& run : worker.runs)
            ends.emplace_back(over(run), run.room);
        slot.timeline.emplace(now_, worker.free, std::move(ends));
        for (const auto& each : slot.planned)
            slot.timeline->take(each.room, each.from, each.until);
        return *slot.timeline;
    }
    Micros over(const PlanRun& run) const {
        if (stopped_.contains(run.id)) return now_ + stop_time();
        return expected_over(run, now_);
    }
    Micros stop_time() const {
        return std::max<Micros>(1, Micros(settings_.stop_share * double(settings_.stop_grace)));
    }

    // --- reservations ---

    void reserve_at(std::uint32_t place, std::uint32_t task, Micros from, Micros until) {
        plan_.reservations.push_back({item_->id, task, place, item_->room, from, until});
        use(place, from, until, true, false);
        slots_[place].reserved = true;
        started_[{item_->id, place}]++;
    }
    struct Slotted {
        std::uint32_t place = 0;
        Micros from = never, finish = never;
        double busy = 0;
        std::vector<const PlanRun*> push;  // what is to be pushed out for it when its time comes
        bool before(const Slotted& other) const {
            return std::tie(finish, busy, place) < std::tie(other.finish, other.busy, other.place);
        }
    };
    // The earliest slot of one task on a worker; without one, it begins `never`.
    Slotted slot_on(std::uint32_t place, bool nearby_only) {
        Slotted slot{place, never, never, 0, {}};
        if (!suitable(place)) return slot;
        const PlanWorker& worker = view_.fleet.at(place);
        if (nearby_only && !worker.has(item_->affinity)) return slot;
        ++plan_.evaluations;
        const Micros length = length_on(worker);
        Timeline& line = timeline(place);
        slot.from = line.earliest(item_->room, length, std::max(now_, item_->earliest));
        if (!nearby_only) sooner_by_pushing(slot, line, worker, length);
        if (slot.from < never) slot.finish = slot.from + length;
        return slot;
    }
    // Those of all workers on which there is one.
    std::vector<Slotted> slots_on_all(bool nearby_only) {
        std::vector<Slotted> slots;
        view_.fleet.candidates(item_->service, {}, [&](std::uint32_t place) {
            Slotted slot = slot_on(place, nearby_only);
            if (slot.from < never) slots.push_back(std::move(slot));
        });
        return slots;
    }
    // The slot in which one task ends first; of equal ones that of the worker with the least work before it.
    Slotted* earliest_of(std::vector<Slotted>& slots) {
        Slotted* best = nullptr;
        for (Slotted& slot : slots) {
            if (slot.from >= never || (best && slot.finish > best->finish)) continue;
            slot.busy = busy_before(timeline(slot.place), view_.fleet.at(slot.place), slot.from);
            if (!best || slot.before(*best)) best = &slot;
        }
        return best;
    }
    // Runs that were started into a gap count as gone when the gap ends, where that costs less than it saves.
    void sooner_by_pushing(Slotted& slot, const Timeline& line, const PlanWorker& worker, Micros length) {
        Micros ready = now_ + stop_time();
        if (slot.from <= ready || item_->earliest > now_ || hope_of(item_->standing, now_) == Hope::none ||
            plan_.stops.size() >= settings_.stops_most)
            return;
        std::vector<const PlanRun*> cheap;
        for (const PlanRun& run : worker.runs)
            if (run.backfill && run.checkpoints && run.gang == 0 && may_push(run)) cheap.push_back(&run);
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
            free += run->room, waste += waste_of(*run), push.push_back(run);
        }
        Micros saved = std::min(slot.from, now_ + seconds(3600)) - from;
        if (!free.holds(item_->room) || waste > settings_.waste_most * double(item_->room.cpu) * double(saved)) return;
        slot.from = from, slot.push = std::move(push);
    }
    static double busy_before(const Timeline& line, const PlanWorker& worker, Micros until) {
        double busy = 0;
        const auto& steps = line.steps();
        for (size_t place = 0; place < steps.size() && steps[place].first < until; ++place) {
            Micros end = place + 1 < steps.size() ? std::min(until, steps[place + 1].first) : until;
            busy += (1 - share(steps[place].second, worker.capacity)) * double(end - steps[place].first);
        }
        return busy;
    }
    std::uint32_t reservations_each() const { return std::uint32_t(std::max(1.0, settings_.reservations_most / 4)); }
    bool may_reserve() const {
        return double(reservations_made_) < settings_.reservations_most &&
               plan_.evaluations <= settings_.evaluations_most;
    }
    // A task that fits away from its data now waits if a slot near it ends it sooner.
    bool reserve_nearby(std::uint32_t task) {
        if (!may_reserve() || item_->standing.lasting) return false;
        Micros away = now_ + Micros(double(item_->duration) * settings_.remote_factor);
        std::vector<Slotted> slots = slots_on_all(true);
        const Slotted* slot = earliest_of(slots);
        if (!slot || slot->finish >= away || slot->from <= now_) return false;
        reserve_at(slot->place, task, slot->from, slot->finish);
        ++reservations_made_;
        return true;
    }
    // Earliest feasible times for the first tasks that did not fit; runs are pushed out where that earns more.
    Reason reserve(std::uint32_t left, std::uint32_t first_task, const Failed* like) {
        bool pushing = false;
        std::vector<Slotted> slots;
        std::optional<size_t> stops_before;  // when `slots` was made: a stop changes it all
        no_victims_ = false;
        for (std::uint32_t task = 0; task < std::min(left, reservations_each()) && may_reserve(); ++task) {
            if (item_->standing.lasting && task > 0) break;
            if (stops_before != plan_.stops.size()) slots = slots_on_all(false);
            stops_before = plan_.stops.size();
            Slotted* earliest = earliest_of(slots);
            Slotted slot = earliest ? *earliest : Slotted{};
            if (slot.push.empty()) {
                if (Slotted pushed = push_out(slot); pushed.from < never) slot = pushed, pushing = true;
            } else if (slot.from <= now_ + stop_time() + settings_.push_early &&
                       plan_.stops.size() + slot.push.size() <= settings_.stops_most) {
                for (const PlanRun* run : slot.push)
                    stop(slot.place, *run);
                pushing = true;
            }
            if (slot.from >= never) break;
            reserve_at(slot.place, first_task + task, slot.from, item_->standing.lasting ? never : slot.finish);
            ++reservations_made_;
            // A reservation changes the slots of its own worker only.
            if (earliest && stops_before == plan_.stops.size()) *earliest = slot_on(earliest->place, false);
        }
        if (pushing) return Reason::pushing;
        if (item_->earliest > now_) return Reason::due_time;
        if (seen_.reserved) return Reason::reservation;
        if (like) return like->reason;
        if (!seen_.suitable) {
            view_.fleet.candidates(item_->service, {}, [&](std::uint32_t place) { suitable(place); });
            if (!seen_.suitable) return Reason::label;
        }
        if (seen_.apart) return Reason::apart;
        return seen_.trust ? Reason::trust : Reason::room;
    }
    void stop(std::uint32_t place, const PlanRun& run) {
        plan_.stops.push_back({run.id, place, item_->id});
        stopped_.insert(run.id);
        slots_[place].timeline.reset();
    }

    // --- pushing out ---

    bool outranks(double high, double low) const {
        return high - low >= std::log2(settings_.ratio_priority) * settings_.points_double;
    }
    // The time after which the item would earn less than it can now.
    Micros threshold() const {
        const Standing& standing = item_->standing;
        switch (hope_of(standing, now_)) {
            case Hope::aim:
                return standing.due;
            case Hope::late:
                return standing.lasting ? never : standing.begun + 3 * (standing.due - standing.begun);
            case Hope::none:
                return 0;
        }
        return 0;
    }
    // The points of a run as it stands, its done part taken off.
    double points_of(const PlanRun& run) const {
        Standing standing = run.standing;
        standing.rest = std::max<Micros>(0, standing.rest - (now_ - run.started));
        return static_points(settings_, standing, 0, now_);
    }
    // Whether the ratios allow that a run makes way for this item.
    bool may_push(const PlanRun& run) const {
        if (!run.preemptable || run.stopping || stopped_.contains(run.id)) return false;
        double invested = double(std::max<Micros>(now_ - run.started, 0)),
               remaining = double(expected_over(run, now_) - now_);
        return remaining >= settings_.ratio_remaining * invested && outranks(points_, points_of(run));
    }
    // Thousandths of a core times microseconds that a stop loses.
    double waste_of(const PlanRun& run) const {
        Micros lost = now_ - run.started;
        if (run.checkpoints) lost = std::min(lost, settings_.restore);
        return double(run.room.cpu) * double(lost + stop_time());
    }
    struct Victims {
        std::vector<std::pair<std::uint32_t, const PlanRun*>> runs;
        double waste = 0;
    };
    // All parts of a gang go together: none if one of them may not.
    bool add_victim(Victims& victims, std::uint32_t place, const PlanRun& run) const {
        if (run.gang == 0) {
            victims.runs.emplace_back(place, &run);
            victims.waste += waste_of(run);
            return true;
        }
        std::vector<std::pair<std::uint32_t, const PlanRun*>> members;
        const auto* gang = view_.fleet.gang(run.gang);
        if (!gang) return false;
        for (const auto& [other, id] : *gang)
            for (const PlanRun& member : view_.fleet.at(other).runs)
                if (member.id == id) {
                    if (!may_push(member)) return false;
                    members.emplace_back(other, &member);
                }
        for (const auto& member : members)
            victims.runs.push_back(member), victims.waste += waste_of(*member.second);
        return true;
    }
    Slotted push_out(const Slotted& otherwise) {
        Slotted none;
        Micros limit = threshold(), ready = now_ + stop_time();
        if (limit == 0 || no_victims_ || item_->earliest > now_ || plan_.stops.size() >= settings_.stops_most)
            return none;
        bool needed = otherwise.from >= never || otherwise.from + item_->standing.rest > limit;
        bool in_time = limit >= never || ready + item_->standing.rest <= limit;
        if (!needed || !in_time) return none;
        std::optional<Victims> best;
        std::uint32_t best_place = 0;
        view_.fleet.candidates(item_->service, {}, [&](std::uint32_t place) {
            if (!suitable(place)) return;
            const PlanWorker& worker = view_.fleet.at(place);
            if (stretch(worker) > 1 || slots_[place].reserved) return;
            plan_.evaluations += 1 + worker.runs.size() / 4;
            auto victims = victims_on(place, worker);
            if (victims && (!best || victims->waste < best->waste)) best = std::move(victims), best_place = place;
        });
        no_victims_ = !best;  // nor will there be any once more is reserved
        if (!best || best->waste > settings_.waste_most * double(item_->room.cpu) * double(item_->duration) ||
            plan_.stops.size() + best->runs.size() > settings_.stops_most)
            return none;
        for (const auto& [place, run] : best->runs)
            stop(place, *run);
        return {best_place, ready, ready + item_->duration, 0, {}};
    }
    std::optional<Victims> victims_on(std::uint32_t place, const PlanWorker& worker) {
        Resources free = free_of(place);
        for (const PlanRun& run : worker.runs)
            if (run.stopping || stopped_.contains(run.id)) free += run.room;
        if (free.holds(item_->room)) return std::nullopt;  // that room comes without a further stop
        std::vector<const PlanRun*> able;
        for (const PlanRun& run : worker.runs)
            if (may_push(run)) able.push_back(&run);
        std::sort(able.begin(), able.end(), [&](const PlanRun* left, const PlanRun* right) {
            return std::pair(waste_of(*left), left->id) < std::pair(waste_of(*right), right->id);
        });
        std::vector<const PlanRun*> chosen;
        for (const PlanRun* run : able) {
            if (free.holds(item_->room)) break;
            chosen.push_back(run), free += run->room;
        }
        if (!free.holds(item_->room)) return std::nullopt;
        // Spare what turned out not to be needed, the dearest first.
        for (size_t index = chosen.size(); index-- > 0;)
            if ((free - chosen[index]->room).holds(item_->room))
                free -= chosen[index]->room, chosen.erase(chosen.begin() + std::ptrdiff_t(index));
        Victims victims;
        std::set<std::uint64_t> gangs;
        for (const PlanRun* run : chosen) {
            if (run->gang && !gangs.insert(run->gang).second) continue;
            if (!add_victim(victims, place, *run)) return std::nullopt;
        }
        return victims;
    }

    // --- gangs: all parts at once, or none ---

    void take_gang() {
        const Item& item = *item_;
        if (open_tasks() < item.count) return wait(item.count, Reason::urgent_room);
        if (item.earliest <= now_ && !known_to_fail()) {
            GangSlot whole = gang_slot(now_, 0, false), rack;
            if (item.same_rack) rack = gang_at_rack(now_);
            // On more than one rack it takes remote_factor times as long: one rack later may end it sooner.
            if (rack.from < never) return start_gang(rack);
            if (whole.from < never) {
                GangSlot later = item.same_rack && may_reserve() && !overdue_ ? gang_later(true) : GangSlot{};
                if (later.from >= never ||
                    later.from + item.duration >= now_ + Micros(double(item.duration) * settings_.remote_factor) ||
                    !item.same_rack)
                    return start_gang(whole);
                reserve_gang(later, item.duration);
                return wait(item.count, Reason::nearby);
            }
        }
        if (may_reserve()) {
            GangSlot later = gang_later(false);
            if (later.from < never) reserve_gang(later, later.length);
        }
        if (!seen_.suitable) view_.fleet.candidates(item.service, {}, [&](std::uint32_t place) { suitable(place); });
        wait(item.count, !seen_.suitable ? Reason::label : item.earliest > now_ ? Reason::due_time : Reason::gang);
    }
    struct GangSlot {
        Micros from = never, length = 0;
        std::vector<std::uint32_t> members;
    };
    std::uint32_t parts_that_fit(std::uint32_t place, Micros at, Micros length) {
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
    // Where all parts go at one time, the emptiest worker first and anew after each part.
    GangSlot gang_slot(Micros at, Name rack, bool many_racks) {
        const Item& item = *item_;
        Micros length = item.duration;
        if (item.same_rack && many_racks) length = Micros(double(length) * settings_.remote_factor);
        struct Room {
            double rank;
            std::uint32_t place, parts, taken;
        };
        std::vector<Room> rooms;
        std::uint64_t sum = 0;
        view_.fleet.candidates(item.service, at <= now_ ? item.room : Resources{}, [&](std::uint32_t place) {
            const PlanWorker& worker = view_.fleet.at(place);
            if (rack && worker.rack != rack) return;
            std::uint32_t parts = parts_that_fit(place, at, Micros(double(length) * stretch(worker)));
            if (parts) rooms.push_back({rank(place), place, parts, 0}), sum += parts;
        });
        if (sum < item.count) return {};
        auto worse = [](const Room& left, const Room& right) {
            return left.rank < right.rank || (left.rank == right.rank && left.place > right.place);
        };
        std::make_heap(rooms.begin(), rooms.end(), worse);
        GangSlot slot{at, length, {}};
        while (slot.members.size() < item.count) {
            std::pop_heap(rooms.begin(), rooms.end(), worse);
            Room& room = rooms.back();
            slot.members.push_back(room.place);
            const PlanWorker& worker = view_.fleet.at(room.place);
            double step = settings_.weight_load * (share(worker.capacity, worker.capacity) -
                                                   share(worker.capacity - item.room, worker.capacity));
            room.rank += item.standing.level <= view_.urgent_level ? -step : step;
            if (++room.taken >= room.parts)
                rooms.pop_back();
            else
                std::push_heap(rooms.begin(), rooms.end(), worse);
        }
        return slot;
    }
    std::set<Name> racks() const {
        std::set<Name> racks;
        view_.fleet.candidates(item_->service, {},
                               [&](std::uint32_t place) { racks.insert(view_.fleet.at(place).rack); });
        return racks;
    }
    GangSlot gang_at_rack(Micros at) {
        for (Name rack : racks())
            if (GangSlot slot = gang_slot(at, rack, false); slot.from < never) return slot;
        return {};
    }
    // The first time at which all parts fit together; of very many times some are tried.
    GangSlot gang_later(bool one_rack) {
        std::vector<Micros> times{std::max(now_, item_->earliest)};
        view_.fleet.candidates(item_->service, {}, [&](std::uint32_t place) {
            if (!suitable(place)) return;
            for (const auto& [at, free] : timeline(place).steps())
                if (at > times[0]) times.push_back(at);
        });
        std::sort(times.begin() + 1, times.end());
        times.erase(std::unique(times.begin(), times.end()), times.end());
        auto attempt = [&](size_t index) {
            return one_rack ? gang_at_rack(times[index]) : gang_slot(times[index], 0, item_->same_rack);
        };
        size_t low = 0, high = times.size();  // the answer lies in [low, high)
        GangSlot found;
        while (high - low > 16) {
            size_t middle = low + (high - low) / 2;
            GangSlot slot = attempt(middle);
            if (slot.from < never)
                found = std::move(slot), high = middle;
            else
                low = middle + 1;
        }
        for (size_t index = low; index < high; ++index)
            if (GangSlot slot = attempt(index); slot.from < never) return slot;
        return found;
    }
    void start_gang(const GangSlot& slot) {
        for (std::uint32_t task = 0; task < slot.members.size(); ++task)
            start(slot.members[task], task, false);
    }
    void reserve_gang(const GangSlot& slot, Micros length) {
        for (std::uint32_t task = 0; task < slot.members.size(); ++task)
            reserve_at(slot.members[task], task, slot.from, slot.from + length);
        ++reservations_made_;
    }

    const PlanView& view_;
    const PlannerSettings& settings_;
    Micros now_;
    Plan plan_;
    std::vector<Slot> slots_;
    const Item* item_ = nullptr;
    double points_ = 0;
    bool overdue_ = false;  // of the present item
    Seen seen_;
    std::vector<Failed> failed_;
    std::set<std::uint64_t> stopped_;
    size_t reservations_made_ = 0;  // a gang counts once
    bool no_victims_ = false;       // for the present item, as found by a look at all workers
    std::map<Name, Resources> planned_;
    std::map<std::pair<Name, std::int64_t>, std::uint32_t> planned_levels_;
    std::map<std::pair<std::uint64_t, std::uint32_t>, std::uint32_t> started_;  // (item, worker) -> tasks of this plan
};

// Example: items.advance(now); demand.advance(now); Plan plan = make_plan({settings, items, fleet, demand, 0, now});
inline Plan make_plan(const PlanView& view) {
    return PlanMaker(view).run();
}

}  // namespace calicostall
