// Simulates the daemons' planner forward in time from a snapshot, with learnt durations of tasks. Pure: the same
// snapshot gives the same forecast. The parts of the simulation are in simulation/.
#pragma once
#include "control/plan/planner.hpp"
#include "preview/placement_forecast.hpp"
#include "preview/proposed_change.hpp"

namespace calicostall {

// How far a simulation goes, and how often it plans; times in microseconds.
struct SimulationSettings {
    Micros horizon = seconds(60);
    Micros min_plan_interval = milliseconds(2);    // as the daemons' own
    Micros max_plan_interval = milliseconds(250);  // as the daemons' own, while tasks are pending
    Micros max_idle = seconds(12);                 // after so long without any change nothing more will start
    size_t max_plans = 50000;                      // bounds the run time of a simulation
};

// Decides which tasks start where; the daemons' own planner is `make_plan`.
using PlannerFunction = std::function<Plan(const PlanView&)>;

// The snapshot and the change must outlive it.
// Example: PlacementForecast forecast = PlacementSimulator(snapshot, change, {}).run();
class PlacementSimulator {
public:
    PlacementSimulator(const Snapshot& snapshot, const ProposedChange& change, const SimulationSettings& settings,
                       PlannerFunction planner = make_plan);

    PlacementForecast run();

private:
    const Snapshot& snapshot_;
    const ProposedChange& change_;
    SimulationSettings settings_;
    PlannerFunction planner_;
};

}  // namespace calicostall
