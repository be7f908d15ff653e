// The planner's weights and ratios by name, for snapshots and change files.
#pragma once
#include "control/plan/settings.hpp"

namespace calicostall {

// One value of the planner's settings, as a whole number of thousandths (of points, of a ratio, of a second).
struct PlannerField {
    std::string name;
    std::int64_t thousandths = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) { visit(name), visit(thousandths); }
};

// Calls see(name, value) for each setting; `value` is a double, a Micros or a size_t by reference.
// Example: each_planner_setting(settings, [](std::string_view name, auto& value) { ... });
template <class Settings, class See>
void each_planner_setting(Settings& settings, See see) {
    see("remote_factor", settings.remote_factor), see("stop_grace_s", settings.stop_grace), see("restore_s", settings.restore);
    see("checkpoint_s", settings.checkpoint_every), see("weight_level", settings.weight_level), see("weight_aim", settings.weight_aim);
    see("weight_hopeless", settings.weight_hopeless), see("weight_slack", settings.weight_slack), see("weight_waiting", settings.weight_waiting);
    see("weight_room", settings.weight_room), see("points_double", settings.points_double), see("weight_load", settings.weight_load);
    see("weight_demand", settings.weight_demand), see("weight_finish", settings.weight_finish), see("weight_slow", settings.weight_slow);
    see("weight_trust", settings.weight_trust), see("slow_pace", settings.slow_pace), see("trust_least", settings.trust_least);
    see("ratio_priority", settings.ratio_priority), see("ratio_remaining", settings.ratio_remaining), see("ratio_run", settings.ratio_run), see("stop_share", settings.stop_share);
    see("push_early_s", settings.push_early), see("waste_most", settings.waste_most), see("urgent_memory_s", settings.urgent_memory), see("urgent_length_s", settings.urgent_length);
    see("urgent_most", settings.urgent_most), see("looks_most", settings.looks_most), see("evaluations_most", settings.evaluations_most);
    see("reservations_most", settings.reservations_most), see("stops_most", settings.stops_most);
}
inline std::vector<PlannerField> planner_fields(const PlannerSettings& settings) {
    std::vector<PlannerField> fields;
    each_planner_setting(settings, [&](std::string_view name, const auto& value) {
        using Value = std::remove_cvref_t<decltype(value)>;
        double scaled = std::is_same_v<Value, Micros> ? double(value) / 1000 : double(value) * 1000;
        fields.push_back({std::string(name), std::int64_t(std::llround(scaled))});
    });
    return fields;
}
// Sets one of them by name; false: there is none of this name.
// Example: set_planner_field(settings, "ratio_priority", 2.5)
inline bool set_planner_field(PlannerSettings& settings, std::string_view wanted, double number) {
    bool found = false;
    each_planner_setting(settings, [&](std::string_view name, auto& value) {
        using Value = std::remove_cvref_t<decltype(value)>;
        if (name != wanted) return;
        found = true;
        value = std::is_same_v<Value, Micros> ? Value(std::llround(number * 1e6)) : Value(number);
    });
    return found;
}

}  // namespace calicostall
