// Stage two and the plan as a whole: one view in, one plan out. Pure; the daemon, the simulator and the preview call it.
#pragma once
#include "control/plan/fleet.hpp"
#include "control/plan/settings.hpp"
#include "control/plan/view.hpp"
#include "control/plan/waiting.hpp"
#include "control/plan/demand.hpp"

namespace calicostall {

// Everything a plan is made of. All times by one clock: whose is the caller's matter (the daemon: wall time of the core).
struct PlanView {
    const PlannerSettings& settings;
    const WaitingItems& items;
    const Fleet& fleet;
    const UrgentDemand& demand;   // what urgent queues used lately
    std::int64_t urgent_level = 0;  // the least level of all queues
    Micros now = 0;
};

// Example: items.advance(now); demand.advance(now); Plan plan = make_plan({settings, items, fleet, demand, 0, now});
inline Plan make_plan(const PlanView& view) {
    Plan plan;
    view.items.in_order(view.now, [&](const Item& item, double) {
        plan.waits.push_back({item.id, item.count, Reason::unfinished});
        return true;
    });
    return plan;
}

}  // namespace calicostall
