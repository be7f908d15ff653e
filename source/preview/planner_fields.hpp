// The planner's settings by name, for snapshots and change files.
#pragma once
#include "control/plan/settings.hpp"

namespace calicostall {

// One of the planner's settings, as a whole number of thousandths (of points, of a ratio, of a second).
struct PlannerField {
    std::string name;
    std::int64_t thousandths = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(name), visit(thousandths);
    }
};

// Calls visit(name, value) for each setting: first the operators' options, then those of the site. `value` is a double,
// Micros or size_t. The names are part of the snapshots' format.
// Example: each_planner_setting(settings, [](std::string_view name, auto& value) { ... });
template <class Settings, class Visit>
void each_planner_setting(Settings& settings, Visit visit) {
    each_planner_option(settings,
                        [&](const char* name, const char*, auto& value) { visit(std::string_view(name), value); });
    visit("remote-factor", settings.remote_factor);
    visit("stop-grace-s", settings.stop_grace);
    visit("restore-s", settings.restore_time);
    visit("checkpoint-s", settings.checkpoint_every);
    visit("slow-pace", settings.slow_threshold);
    visit("trust-least", settings.min_reliability);
    visit("stop-share", settings.stop_share);
    visit("push-early-s", settings.preemption_lead);
    visit("urgent-memory-s", settings.urgent_memory);
    visit("urgent-length-s", settings.urgent_length);
    visit("looks-most", settings.max_items);
    visit("evaluations-most", settings.max_evaluations);
    visit("stops-most", settings.max_stops);
}

// All of the planner's settings, as a snapshot carries them.
std::vector<PlannerField> planner_fields(const PlannerSettings& settings);

// Sets one of them by name; times are given in seconds. Returns false if there is none of this name.
// Example: set_planner_field(settings, "ratio-priority", 2.5)
bool set_planner_field(PlannerSettings& settings, std::string_view setting_name, double number);

}  // namespace calicostall
