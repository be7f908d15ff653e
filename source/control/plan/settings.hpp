/// The weights, ratios and bounds of the planner; docs/placement.md says what each does.
#pragma once
#include <cmath>

#include "common.hpp"
#include "shared/diagnostics/finding.hpp"

namespace calicostall {

/// Durations are microseconds. Weights are points of the static priority or of the dynamic rank.
struct PlannerSettings {
    // Of the site.
    double remote_factor = 1.5;               // how many times its duration work takes away from its data
    Micros stop_grace = milliseconds(900);    // how long a run may take to stop
    Micros restore_time = milliseconds(250);  // what a run with checkpoints loses by a stop
    Micros checkpoint_every = seconds(1);     // how often workers are asked to keep a checkpoint
    // Stage one: points of the static priority.
    double weight_level = 1000;       // a level of the operator's priority
    double weight_on_target = 500;    // can still meet its target
    double weight_no_value = 100000;  // taken off what can earn nothing any more
    double weight_slack = 1;          // a second less of slack, of what can meet its target
    double weight_waiting = 1;        // a second of waiting, of what is late
    double weight_density = 8;        // each doubling of what a job earns for the capacity that it still takes
    double weight_resources = 1;      // taken off for resources: a full mean worker
    double points_double = 500;       // so many points more are twice the priority (for the ratio below)
    // Stage two: points of the dynamic rank.
    double weight_load = 1;         // spread or pack: an empty against a full worker
    double weight_demand = 0.25;    // workers whose rack waiting work asks for
    double weight_finish = 4;       // each time its duration that it ends later
    double weight_slow = 4;         // a slow worker at all
    double weight_reliability = 6;  // no reliability at all
    double weight_failed = 12;      // a worker on which the task failed before
    double slow_threshold = 1.8;    // a worker with a larger slowdown counts as slow
    double min_reliability = 0.05;  // a worker below it gets nothing
    // Preemption.
    double ratio_priority = 2;     // what preempts has so many times the priority
    double ratio_remaining = 0.2;  // what is preempted has this share of its time so far still before it
    double ratio_run = 0.2;        // work in a gap gets this share of its time before it may be preempted
    double stop_share = 1;         // how much of stop_grace a stop is expected to take
    Micros preemption_lead =
        milliseconds(50);    // a stop for a reservation leaves so much early: plans are not made all the time
    double max_waste = 0.5;  // work lost by stops, against the work that is started for it
    // Headroom for urgent queues.
    Micros urgent_memory = seconds(8);  // in which a peak decays to 1/e
    Micros urgent_length = seconds(4);  // work of this length or longer leaves all the headroom
    double max_urgent_share = 0.4;      // of a service
    // A job of which nothing has run for `max_idle` starts where its service has less than `max_idle_usage` of its
    // capacity in use: what is kept free there for others, or for a better slot later, doesn't hold it back.
    Micros max_idle = milliseconds(1500);
    double max_idle_usage = 0.5;
    // Bounds on one plan.
    size_t max_items = 1000;
    size_t max_evaluations = 80000;
    size_t max_stops = 32;
    double max_reservations = 32;

    /// Adds what is out of bounds to `findings`.
    /// Example: Findings findings; settings.check(findings);
    void check(Findings& findings) const;
};

/// Calls visit(option, what it does, value) for each weight, ratio and bound that operators may set. The options keep
/// the names and texts that operators know.
/// Example: each_planner_option(settings, [](const char* name, const char* what, double& value) { ... });
template <class Settings, class Visit>
void each_planner_option(Settings& settings, Visit visit) {
    visit("weight-level", "points of a level of a queue's priority", settings.weight_level);
    visit("weight-aim", "points of a job that can make its aim", settings.weight_on_target);
    visit("weight-hopeless", "points taken off a job past three times its aim", settings.weight_no_value);
    visit("weight-slack", "points of a second less of slack", settings.weight_slack);
    visit("weight-waiting", "points of a second of waiting, of late jobs", settings.weight_waiting);
    visit("weight-density", "points of a doubling of what is earned for the room taken", settings.weight_density);
    visit("weight-room", "points taken off for room, a whole mean worker", settings.weight_resources);
    visit("points-double", "so many points are the double priority", settings.points_double);
    visit("weight-load", "points of an empty against a full worker", settings.weight_load);
    visit("weight-demand", "points taken off workers whose rack waiting work asks for", settings.weight_demand);
    visit("weight-finish", "points taken off for each duration that a task ends later", settings.weight_finish);
    visit("weight-slow", "points taken off a slow worker", settings.weight_slow);
    visit("weight-trust", "points taken off a worker without trust", settings.weight_reliability);
    visit("weight-failed", "points taken off a machine where the task failed", settings.weight_failed);
    visit("ratio-priority", "least priority of what pushes out against what is pushed out", settings.ratio_priority);
    visit("ratio-remaining", "least time left of a run against its time so far, to push it out",
          settings.ratio_remaining);
    visit("ratio-run", "least share of its time that work in a gap gets before it may be pushed out",
          settings.ratio_run);
    visit("waste-most", "most work lost by stops against work started for it", settings.max_waste);
    visit("urgent-most", "most of a service that is kept for urgent queues", settings.max_urgent_share);
    visit("reservations", "most reservations in a plan", settings.max_reservations);
}

}  // namespace calicostall
