// The state of one call of `make_plan`, and its steps. Private to the planner: callers include
// control/plan/planner.hpp.
#pragma once
#include "control/plan/planner.hpp"

namespace calicostall {

// Looking at so many runs of a worker costs as much as one evaluation.
constexpr size_t runs_per_evaluation = 4;

// The share of a worker's room that is free, by the scarcer of processor and memory; 1 for a worker without either.
// Example: free_share({2000, 512, 0}, {4000, 4096, 0}) == 0.125
double free_share(const Resources& free, const Resources& whole);

// The work of one call of `make_plan`.
// Example: Plan plan = PlanMaker(view).run();
class PlanMaker {
public:
    explicit PlanMaker(const PlanView& view);
    Plan run() &&;

private:
    // Room that this plan gives an item on a worker.
    struct Use {
        Resources room;
        Micros from, until;
        bool reserved;  // else it starts now
        bool backfill;  // started into a gap
        bool firm;      // what starts before it must end in time: it will push nothing out
        double points;  // the static priority of its item
    };
    // What a plan has changed on a worker so far.
    struct Slot {
        bool touched = false, reserved = false;
        Resources free;
        std::vector<Use> planned;          // starts and reservations of this plan
        std::optional<Timeline> timeline;  // built on demand
    };
    // A worker with its dynamic rank; of equal ranks the lower place goes first.
    struct Ranked {
        double rank = 0;
        std::uint32_t place = 0;
        bool operator<(const Ranked& other) const {
            return rank < other.rank || (rank == other.rank && place > other.place);
        }
    };
    // An item that found no room: those like it are not tried again.
    struct Failed {
        Name service, needs;
        Resources room;
        Micros length;  // 0: no task fits, however short
        Reason reason;
    };
    // What was seen while an item looked for a worker.
    struct Seen {
        bool suitable = false, apart = false, trust = false, reserved = false;
    };
    enum class Fit { no, yes, backfill };
    // When one task can run on a worker; without a time at all it begins `never`.
    struct TaskSlot {
        std::uint32_t place = 0;
        Micros from = never, finish = never;
        double busy = 0;
        std::vector<const PlanRun*> push;  // what is to be pushed out for it when its time comes
        bool before(const TaskSlot& other) const {
            return std::tie(finish, busy, place) < std::tie(other.finish, other.busy, other.place);
        }
    };
    // When and where all members of a gang can run.
    struct GangSlot {
        Micros from = never, length = 0;
        std::vector<std::uint32_t> members;  // the workers' places, one for each member
    };
    // A worker that has room for members of a gang.
    struct GangRoom {
        double rank;
        std::uint32_t place, parts, taken;  // parts: how many members fit there
        bool operator<(const GangRoom& other) const {
            return rank < other.rank || (rank == other.rank && place > other.place);
        }
    };
    using PlacedRun = std::pair<std::uint32_t, const PlanRun*>;  // the worker's place, and a run there
    // Runs that would be pushed out together, and what that loses (see `waste_of`).
    struct Victims {
        std::vector<PlacedRun> runs;
        double waste = 0;
    };
    // A bound on the work of a plan.
    struct WorkBound {
        size_t looks, evaluations;
    };

    // Items (items.cpp).
    void take_item();
    bool is_overdue() const;
    std::uint32_t open_tasks();
    const Failed* known_to_fail() const;
    void note_failed(Reason reason);
    void wait(std::uint32_t tasks, Reason reason);

    // Starts now: the worker with the highest rank, ranked again after each start (starts.cpp).
    std::uint32_t start_now(std::uint32_t count, std::uint32_t& held);
    std::vector<Ranked> ranked_workers();
    double rank(std::uint32_t place);
    void start(std::uint32_t place, std::uint32_t task, bool backfill);

    // Whether a task fits a worker (fits.cpp).
    double stretch(const PlanWorker& worker) const;
    Micros length_on(const PlanWorker& worker) const;
    std::uint32_t on_worker(std::uint32_t place) const;
    bool suitable(std::uint32_t place);
    void look_for_suitable();
    Fit fits_now(std::uint32_t place);
    bool may_be_pushed_later(std::uint32_t place, const Timeline& line, Micros length) const;
    std::int64_t backfilled_cpu(std::uint32_t place) const;

    // Free room of a worker, now and later (room.cpp).
    Resources& free_of(std::uint32_t place);
    void use(std::uint32_t place, Micros from, Micros until, bool reserved, bool backfill);
    Timeline& timeline(std::uint32_t place);
    Micros over(const PlanRun& run) const;
    Micros stop_time() const;

    // Reservations (reservations.cpp).
    void reserve_at(std::uint32_t place, std::uint32_t task, Micros from, Micros until);
    TaskSlot slot_on(std::uint32_t place, bool nearby_only);
    std::vector<TaskSlot> slots_on_all(bool nearby_only);
    TaskSlot* earliest_of(std::vector<TaskSlot>& slots);
    std::uint32_t reservations_each() const;
    bool may_reserve() const;
    bool reserve_nearby(std::uint32_t task);
    Reason reserve(std::uint32_t left, std::uint32_t first_task, const Failed* like);
    bool push_for(TaskSlot& slot);
    Reason waiting_reason(const Failed* like);

    // Pushing out (pushing.cpp).
    bool outranks(double high, double low) const;
    Micros threshold() const;
    double points_of(const PlanRun& run) const;
    bool may_push(const PlanRun& run) const;
    double waste_of(const PlanRun& run) const;
    void stop(std::uint32_t place, const PlanRun& run);
    void sooner_by_pushing(TaskSlot& slot, const Timeline& line, const PlanWorker& worker, Micros length);
    std::vector<const PlanRun*> cheap_backfills(const PlanWorker& worker) const;
    TaskSlot push_out(const TaskSlot& otherwise);
    std::optional<Victims> victims_on(std::uint32_t place, const PlanWorker& worker);
    std::vector<const PlanRun*> cheapest_for_item(const PlanWorker& worker, Resources free) const;
    bool add_victim(Victims& victims, std::uint32_t place, const PlanRun& run) const;

    // Gangs: all members at once, or none (gangs.cpp).
    void take_gang();
    bool place_gang_now();
    std::uint32_t parts_that_fit(std::uint32_t place, Micros at, Micros length);
    GangSlot gang_slot(Micros at, Name rack, bool many_racks);
    std::vector<std::uint32_t> spread_members(std::vector<GangRoom> rooms) const;
    std::set<Name> racks() const;
    GangSlot gang_at_rack(Micros at);
    std::vector<Micros> gang_times();
    GangSlot gang_later(bool one_rack);
    void start_gang(const GangSlot& slot);
    void reserve_gang(const GangSlot& slot, Micros length);

    const PlanView& view_;
    const PlannerSettings& settings_;
    Micros now_;
    Plan plan_;
    std::vector<Slot> slots_;  // by the worker's place
    const Item* item_ = nullptr;
    double points_ = 0;     // of the present item
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

}  // namespace calicostall
