// The weights, ratios and bounds of the planner; docs/placement.md says what each does.
#pragma once
#include <cmath>

#include "common.hpp"
#include "shared/record/finding.hpp"

namespace calicostall {

struct PlannerSettings {
    // Of the site.
    double remote_factor = 1.5;
    Micros stop_grace = milliseconds(900), restore = milliseconds(250), checkpoint_every = seconds(1);
    // Stage one: points of the static priority.
    double weight_level = 1000;       // a level of the operator's priority
    double weight_aim = 500;          // can still make its aim
    double weight_hopeless = 100000;  // taken off what can earn nothing any more
    double weight_slack = 1;          // a second less of slack, of what can make its aim
    double weight_waiting = 1;        // a second of waiting, of what is late
    double weight_density = 8;        // each doubling of what a job earns for the room that it still takes
    double weight_room = 1;           // taken off for room: a whole mean worker
    double points_double = 500;       // so many points more are twice the priority (for the ratio below)
    // Stage two: points of the dynamic rank.
    double weight_load = 1;       // spread or pack: an empty against a full worker
    double weight_demand = 0.25;  // workers whose rack waiting work asks for
    double weight_finish = 4;     // each time its duration that it ends later
    double weight_slow = 4;       // a slow worker at all
    double weight_trust = 6;      // no trust at all
    double weight_failed = 12;    // a worker on which the task failed before
    double slow_pace = 1.8, trust_least = 0.05;
    // Preemption.
    double ratio_priority = 2, ratio_remaining = 0.2, ratio_run = 0.2;
    double stop_share = 1;  // how much of stop_grace a stop is expected to take
    Micros push_early =
        milliseconds(50);     // a stop for a reservation leaves so much early: plans are not made all the time
    double waste_most = 0.5;  // work lost by stops, against the work that is started for it
    // Room kept for urgent queues.
    Micros urgent_memory = seconds(8);
    Micros urgent_length = seconds(4);
    double urgent_most = 0.4;
    // A job of which nothing has run for this long starts where its service has less than this share of its room in
    // use: what is kept free there for others, or for a better place later, doesn't hold it back.
    Micros idle_most = milliseconds(1500);
    double idle_share = 0.5;
    // Bounds on one plan.
    size_t looks_most = 1000, evaluations_most = 80000, stops_most = 32;
    double reservations_most = 32;

    // Example: Findings findings; settings.check(findings);
    void check(Findings& findings) const;
};

// Calls see(option, what it does, value) for each weight, ratio and bound that operators may set.
// Example: each_planner_option(settings, [](const char* name, const char* what, double& value) { ... });
template <class Settings, class See>
void each_planner_option(Settings& settings, See see) {
    see("weight-level", "points of a level of a queue's priority", settings.weight_level);
    see("weight-aim", "points of a job that can make its aim", settings.weight_aim);
    see("weight-hopeless", "points taken off a job past three times its aim", settings.weight_hopeless);
    see("weight-slack", "points of a second less of slack", settings.weight_slack);
    see("weight-waiting", "points of a second of waiting, of late jobs", settings.weight_waiting);
    see("weight-density", "points of a doubling of what is earned for the room taken", settings.weight_density);
    see("weight-room", "points taken off for room, a whole mean worker", settings.weight_room);
    see("points-double", "so many points are the double priority", settings.points_double);
    see("weight-load", "points of an empty against a full worker", settings.weight_load);
    see("weight-demand", "points taken off workers whose rack waiting work asks for", settings.weight_demand);
    see("weight-finish", "points taken off for each duration that a task ends later", settings.weight_finish);
    see("weight-slow", "points taken off a slow worker", settings.weight_slow);
    see("weight-trust", "points taken off a worker without trust", settings.weight_trust);
    see("weight-failed", "points taken off a machine where the task failed", settings.weight_failed);
    see("ratio-priority", "least priority of what pushes out against what is pushed out", settings.ratio_priority);
    see("ratio-remaining", "least time left of a run against its time so far, to push it out",
        settings.ratio_remaining);
    see("ratio-run", "least share of its time that work in a gap gets before it may be pushed out", settings.ratio_run);
    see("waste-most", "most work lost by stops against work started for it", settings.waste_most);
    see("urgent-most", "most of a service that is kept for urgent queues", settings.urgent_most);
    see("reservations", "most reservations in a plan", settings.reservations_most);
}

inline void PlannerSettings::check(Findings& findings) const {
    static const std::map<std::string_view, std::pair<double, double>> bounds{
        {"points-double", {1, 1e6}}, {"ratio-priority", {1.01, 1e6}}, {"ratio-remaining", {0, 100}},
        {"ratio-run", {0, 1}},       {"waste-most", {0, 100}},        {"urgent-most", {0, 0.9}},
        {"reservations", {0, 1000}}};
    each_planner_option(*this, [&](const char* name, const char*, double value) {
        auto found = bounds.find(name);
        auto [least, most] = found == bounds.end() ? std::pair(0.0, 1e6) : found->second;
        if (!(value >= least && value <= most))
            findings.add(fmt::format("--{}", name), fmt::format("must lie between {} and {}", least, most));
    });
}

}  // namespace calicostall
