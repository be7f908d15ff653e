// Runs the daemons' planner over a snapshot, forward in time by learnt durations. Pure: the same snapshot, the same
// outlook. The parts of the simulation are in forward/.
#pragma once
#include "control/plan/planner.hpp"
#include "preview/change.hpp"
#include "preview/outlook.hpp"

namespace calicostall {

// How far a preview looks ahead, and how often it plans.
struct ForwardSettings {
    Micros horizon = seconds(60);
    Micros plan_apart = milliseconds(2);    // the daemons' least time between plans
    Micros plan_again = milliseconds(250);  // and the longest, while something waits
    Micros idle_most = seconds(12);         // so long without any change: nothing more will start
    size_t plans_most = 50000;
};

// Decides what starts where; the daemons' own planner is `make_plan`.
using PlannerFunction = std::function<Plan(const PlanView&)>;

// One look ahead. The snapshot and the change must outlive it.
// Example: Outlook outlook = Forward(snapshot, change, {}).look();
class Forward {
public:
    Forward(const Snapshot& snapshot, const ProposedChange& change, const ForwardSettings& settings,
            PlannerFunction planner = make_plan);

    Outlook look();

private:
    const Snapshot& snapshot_;
    const ProposedChange& change_;
    ForwardSettings settings_;
    PlannerFunction planner_;
};

}  // namespace calicostall
