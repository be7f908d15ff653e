/// One call of `make_plan`. Private to the planner: callers include control/plan/planner.hpp.
#pragma once
#include "control/plan/planner.hpp"

namespace calicostall {

/// Looking at so many runs of a worker costs as much as one evaluation.
constexpr size_t runs_per_evaluation = 4;

/// The share of a worker's capacity that is free, by the scarcer of processor and memory; 1 for a worker without
/// either. Example: free_fraction({2000, 512, 0}, {4000, 4096, 0}) == 0.125
double free_fraction(const Resources& free, const Resources& capacity);

/// Builds one plan, item by item. Owns what the plan has changed so far; the view belongs to the caller. Its methods
/// stand in a file for each concern, as the sections below say.
/// Example: Plan plan = PlanBuilder(view).build();
class PlanBuilder {
public:
    explicit PlanBuilder(const PlanView& view);
    Plan build() &&;

private:
    /// Resources that this plan gives an item on a worker.
    struct Allocation {
        Resources resources;
        Micros from, until;
        bool is_reservation;   // else it starts now
        bool backfill;         // started into a gap
        bool cannot_preempt;   // what starts before it must end in time
        double static_points;  // of its item
    };
    /// What the plan has changed on a worker so far.
    struct WorkerState {
        bool is_initialized = false, has_reservation = false;
        Resources free;
        std::vector<Allocation> allocations;
        std::optional<Timeline> timeline;  // built on demand
    };
    /// A worker with its dynamic rank; of equal ranks the lower index goes first.
    struct RankedWorker {
        double rank = 0;
        std::uint32_t worker_index = 0;
        bool operator<(const RankedWorker& other) const {
            return rank < other.rank || (rank == other.rank && worker_index > other.worker_index);
        }
    };
    /// An item that didn't fit: those like it are not tried again.
    struct FailedItem {
        NameId service, required_label;
        Resources resources;
        Micros min_duration;  // 0: no task fits, however short
        UnplacedReason reason;
    };
    /// What was seen on the workers while the present item looked for one.
    struct WorkerObservations {
        bool any_suitable = false, any_anti_affinity = false, any_unreliable = false, any_reserved = false;
    };
    enum class Fit { no, yes, backfill };
    /// When one task can run on a worker; without a time at all it begins `never`.
    struct TaskSlot {
        std::uint32_t worker_index = 0;
        Micros from = never, finish = never;
        double load_before = 0;
        std::vector<const PlanRun*> victims;  // what is to be preempted for it when its time comes
        bool is_better_than(const TaskSlot& other) const {
            return std::tie(finish, load_before, worker_index) <
                   std::tie(other.finish, other.load_before, other.worker_index);
        }
    };
    /// When and where all members of a gang can run; without a time at all it begins `never`.
    struct GangSlot {
        Micros from = never, duration = 0;
        std::vector<std::uint32_t> members;  // the workers' indexes, one for each member
    };
    /// A worker that has resources for members of a gang.
    struct GangCapacity {
        double rank;
        std::uint32_t worker_index;
        std::uint32_t member_limit, assigned;
        bool operator<(const GangCapacity& other) const {
            return rank < other.rank || (rank == other.rank && worker_index > other.worker_index);
        }
    };
    using PlacedRun = std::pair<std::uint32_t, const PlanRun*>;  // the worker's index, and a run there
    /// Runs that would be preempted together, and what that loses (see `waste_of`).
    struct Victims {
        std::uint32_t worker_index = 0;  // where they make way
        std::vector<PlacedRun> runs;
        double waste = 0;
    };
    /// A bound on the work of a plan.
    struct WorkBound {
        size_t items, evaluations;
    };

    // The scan of the waiting items (planner.cpp).
    ScanPosition scan(const WorkBound& bound, const std::optional<ScanPosition>& from, bool must_examine_one);
    bool is_exhausted(const WorkBound& bound) const;

    // Items (items.cpp).
    void plan_item();
    void plan_tasks();
    bool is_starved() const;
    std::uint32_t startable_tasks();
    const FailedItem* find_similar_failure() const;
    void remember_failure(UnplacedReason reason);
    void add_unplaced(std::uint32_t tasks, UnplacedReason reason);

    // Starts now: the worker with the highest rank, ranked again after each start (starts.cpp).
    std::uint32_t start_tasks(std::uint32_t count, std::uint32_t& deferred);
    std::vector<RankedWorker> ranked_workers();
    double rank(std::uint32_t worker_index);
    void start_task(std::uint32_t worker_index, std::uint32_t task, bool backfill);

    // Whether a task fits a worker (feasibility.cpp).
    double duration_factor(const PlanWorker& worker) const;
    Micros duration_on(const PlanWorker& worker) const;
    std::uint32_t tasks_on_worker(std::uint32_t worker_index) const;
    bool is_suitable(std::uint32_t worker_index);
    void check_all_workers();
    Fit fit_now(std::uint32_t worker_index);
    bool may_be_preempted_later(std::uint32_t worker_index, const Timeline& line, Micros duration) const;
    std::int64_t backfilled_cpu(std::uint32_t worker_index) const;

    // Free resources of a worker, now and later (capacity.cpp).
    Resources& free_resources(std::uint32_t worker_index);
    void allocate(std::uint32_t worker_index, Micros from, Micros until, bool is_reservation, bool backfill);
    Timeline& timeline(std::uint32_t worker_index);
    Micros release_time(const PlanRun& run) const;
    Micros expected_stop_time() const;

    // Reservations (reservations.cpp).
    void add_reservation(std::uint32_t worker_index, std::uint32_t task, Micros from, Micros until);
    TaskSlot earliest_slot_on(std::uint32_t worker_index, bool near_data_only);
    std::vector<TaskSlot> earliest_slots(bool near_data_only);
    TaskSlot* best_slot(std::vector<TaskSlot>& slots);
    std::uint32_t max_reservations_per_item() const;
    bool may_reserve() const;
    bool reserve_near_data(std::uint32_t task);
    UnplacedReason reserve_tasks(std::uint32_t remaining, std::uint32_t first_task, const FailedItem* similar);
    bool preempt_for(TaskSlot& slot);
    UnplacedReason unplaced_reason(const FailedItem* similar);

    // Preemption (preemption.cpp).
    bool outranks(double high, double low) const;
    Micros value_deadline() const;
    double points_of(const PlanRun& run) const;
    bool may_preempt(const PlanRun& run) const;
    double waste_of(const PlanRun& run) const;
    void stop_run(std::uint32_t worker_index, const PlanRun& run);
    void advance_by_preemption(TaskSlot& slot, const Timeline& line, const PlanWorker& worker, Micros duration);
    std::vector<const PlanRun*> cheap_backfill_victims(const PlanWorker& worker) const;
    TaskSlot preempt(const TaskSlot& fallback);
    bool is_preemption_useful(const TaskSlot& fallback) const;
    std::optional<Victims> cheapest_victims_of_all();
    std::optional<Victims> victims_on(std::uint32_t worker_index, const PlanWorker& worker);
    std::vector<const PlanRun*> cheapest_victims(const PlanWorker& worker, Resources free) const;
    bool add_victim(Victims& victims, std::uint32_t worker_index, const PlanRun& run) const;

    // Gangs: all members at once, or none (gangs.cpp).
    void plan_gang();
    bool start_gang_now();
    std::uint32_t members_that_fit(std::uint32_t worker_index, Micros at, Micros duration);
    GangSlot find_gang_slot(Micros at, NameId rack, bool many_racks);
    std::vector<std::uint32_t> assign_members(std::vector<GangCapacity> candidates) const;
    std::set<NameId> racks() const;
    GangSlot find_gang_slot_on_one_rack(Micros at);
    std::vector<Micros> candidate_times();
    GangSlot earliest_gang_slot(bool one_rack);
    void start_gang(const GangSlot& slot);
    void reserve_gang(const GangSlot& slot, Micros duration);

    const PlanView& view_;
    const PlannerSettings& settings_;
    Micros now_;
    Plan plan_;
    std::vector<WorkerState> worker_states_;  // by the worker's index

    // Of the present item:
    const Item* item_ = nullptr;
    double points_ = 0;
    bool is_starved_ = false;
    bool has_no_victims_ = false;  // as found by a look at all workers
    WorkerObservations observations_;

    std::vector<FailedItem> failed_items_;
    std::set<std::uint64_t> stopped_;  // runs
    size_t reservations_made_ = 0;     // a gang counts once
    std::map<NameId, Resources> planned_by_service_;
    std::map<std::pair<NameId, std::int64_t>, std::uint32_t> starts_by_level_;  // of a service
    std::map<std::pair<std::uint64_t, std::uint32_t>, std::uint32_t>
        tasks_by_worker_;  // (item, worker) -> tasks of this plan
};

}  // namespace calicostall
