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
    double weight_level = 1000;   // a level of the operator's priority
    double weight_aim = 500;      // can still make its aim
    double weight_hopeless = 100000;  // taken off what can earn nothing any more
    double weight_slack = 1;      // a second less of slack, of what can make its aim
    double weight_waiting = 1;    // a second of waiting, of what is late
    double weight_room = 1;       // taken off for room: a whole mean worker
    double points_double = 500;   // so many points more are twice the priority (for the ratio below)
    // Stage two: points of the dynamic rank.
    double weight_load = 1;       // spread or pack: an empty against a full worker
    double weight_demand = 0.25;  // workers whose rack waiting work asks for
    double weight_finish = 4;     // each time its duration that it ends later
    double weight_slow = 4;       // a slow worker at all
    double weight_trust = 6;      // no trust at all
    double slow_pace = 1.8, trust_least = 0.05;
    // Preemption.
    double ratio_priority = 2, ratio_remaining = 0.2, ratio_run = 0.2;
    double stop_share = 1;        // how much of stop_grace a stop is expected to take
    Micros push_early = milliseconds(50);  // a stop for a reservation leaves so much early: plans are not made all the time
    double waste_most = 0.5;      // work lost by stops, against the work that is started for it
    // Room kept for urgent queues.
    Micros urgent_memory = seconds(8);
    Micros urgent_length = seconds(4);
    double urgent_most = 0.4;
    // Bounds on one plan.
    size_t looks_most = 1000, evaluations_most = 80000, reservations_most = 32, stops_most = 32;

    // Example: Findings findings; settings.check(findings);
    void check(Findings& findings) const {
        auto within = [&](const char* name, double value, double least, double most) {
            if (!(value >= least && value <= most)) findings.add(name, fmt::format("must lie between {} and {}", least, most));
        };
        for (auto [name, value] : {std::pair{"--weight-level", weight_level}, {"--weight-aim", weight_aim}, {"--weight-hopeless", weight_hopeless}, {"--weight-slack", weight_slack},
                                   {"--weight-waiting", weight_waiting}, {"--weight-room", weight_room}, {"--weight-load", weight_load}, {"--weight-demand", weight_demand},
                                   {"--weight-finish", weight_finish}, {"--weight-slow", weight_slow}, {"--weight-trust", weight_trust}})
            within(name, value, 0, 1e6);
        within("--points-double", points_double, 1, 1e6);
        within("--ratio-priority", ratio_priority, 1.01, 1e6);
        within("--ratio-remaining", ratio_remaining, 0, 100);
        within("--ratio-run", ratio_run, 0, 1);
        within("--stop-share", stop_share, 0, 1);
        within("--waste-most", waste_most, 0, 100);
        within("--urgent-most", urgent_most, 0, 0.9);
        within("--reservations", double(reservations_most), 0, 1000);
    }
};

}  // namespace calicostall
