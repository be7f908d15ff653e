/// The planner: one view in, one plan out. Pure; the daemon, the simulator and the preview call it.
#pragma once
#include "control/plan/fleet.hpp"
#include "control/plan/plan.hpp"
#include "control/plan/settings.hpp"
#include "control/plan/timeline.hpp"
#include "control/plan/urgent_demand.hpp"
#include "control/plan/view.hpp"
#include "control/plan/waiting_items.hpp"

namespace calicostall {

/// Everything a plan is made of. It owns nothing: what it refers to must outlive the call. All times are microseconds
/// of one clock, which the caller chooses.
struct PlanView {
    const PlannerSettings& settings;
    const WaitingItems& items;
    const Fleet& fleet;
    const UrgentDemand& demand;     // what urgent queues used recently
    std::int64_t urgent_level = 0;  // the lowest level of all queues
    Micros now = 0;
    std::optional<ScanPosition> resume_from;  // where the plan before stopped, if it reached its bound on work
};

/// When a run is expected to end; an overdue one takes a quarter of its time longer.
/// Example: estimated_end(run, now)
Micros estimated_end(const PlanRun& run, Micros now);

/// Decides what starts, what is reserved and what is preempted now; docs/placement.md explains the stages. The view's
/// items and demand must have been advanced to `view.now`.
/// Example: items.advance(now); demand.advance(now); Plan plan = make_plan({settings, items, fleet, demand, 0, now});
Plan make_plan(const PlanView& view);

}  // namespace calicostall
