/// Plans for the scheduler's state: keeps the planner's view of jobs and workers up to date by what has changed, asks
/// for a plan and carries it out.
#pragma once
#include "control/jobs/planning/fleet_view.hpp"
#include "control/jobs/planning/item_view.hpp"
#include "control/jobs/planning/planner_clock.hpp"
#include "control/jobs/state/scheduler_state.hpp"
#include "control/plan/planner.hpp"

namespace calicostall {

/// What a plan came to.
struct PlanOutcome {
    bool is_complete = true;       ///< all that is ready was looked at; else the next plan goes on from there
    bool has_conflicts = false;    ///< a start was left out as another one of the same plan had taken its place
    std::uint64_t operations = 0;  ///< items and workers looked at
};

/// One task that is to start.
struct TaskStart {
    JobRecord& record;
    Occurrence& occurrence;
    std::uint32_t step = 0, index = 0;
    WorkerRecord& worker;
    bool is_first_of_item = false;  ///< of a gang: its first member
};

/// Owns the planner's views of the fleet and of the waiting tasks; jobs, workers and what has changed of them belong to
/// the state.
/// Example: PlanOutcome outcome = planning.plan(now, wall_clock, start, preempt);
class Planning {
public:
    /// Begins a run and returns its record.
    using StartRun = std::function<RunRecord&(const TaskStart&)>;
    /// Stops a run that makes way for another.
    using PreemptRun = std::function<void(WorkerRecord&, RunRecord&)>;

    /// The state must outlive this.
    explicit Planning(SchedulerState& state);

    /// Makes a plan and carries it out: first what is preempted, then what starts.
    /// @param now  monotonic time in microseconds
    /// @param wall_clock  the time of day at `now`, in microseconds
    PlanOutcome plan(Micros now, Micros wall_clock, const StartRun& start, const PreemptRun& preempt);

    /// Forgets all jobs and workers: a leadership ends.
    void clear();

    const Fleet& fleet() const { return fleet_view_.fleet(); }
    const WaitingItems& items() const { return item_view_.items(); }
    const UrgentDemand& demand() const { return fleet_view_.demand(); }

    /// Calls visit(service, level, cpu, memory) for what urgent queues used recently: thousandths of a core, MB.
    template <class Visit>
    void for_each_demand(Visit visit) const {
        demand().each([&](NameId service, std::int64_t level, double cpu, double memory) {
            visit(names_.text(service), level, cpu, memory);
        });
    }

private:
    void synchronize(Micros now, Micros wall_clock);
    void execute_stops(const Plan& plan, const PreemptRun& preempt) const;
    bool execute_starts(const Plan& plan, const StartRun& start);

    SchedulerState& state_;
    NameTable names_;
    PlannerClock clock_;
    FleetView fleet_view_;
    ItemView item_view_;
    std::optional<ScanPosition> resume_from_;  // where the plan before stopped, if it wasn't complete
};

}  // namespace calicostall
