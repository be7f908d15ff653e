#include "preview/planner_fields.hpp"

namespace calicostall {

std::vector<PlannerField> planner_fields(const PlannerSettings& settings) {
    std::vector<PlannerField> fields;
    each_planner_setting(settings, [&](std::string_view name, const auto& value) {
        using Value = std::remove_cvref_t<decltype(value)>;
        double scaled = std::is_same_v<Value, Micros> ? double(value) / 1000 : double(value) * 1000;
        fields.push_back({std::string(name), std::int64_t(std::llround(scaled))});
    });
    return fields;
}

bool set_planner_field(PlannerSettings& settings, std::string_view setting_name, double number) {
    bool found = false;
    each_planner_setting(settings, [&](std::string_view name, auto& value) {
        using Value = std::remove_cvref_t<decltype(value)>;
        if (name != setting_name) return;
        found = true;
        value = std::is_same_v<Value, Micros> ? Value(std::llround(number * 1e6)) : Value(number);
    });
    return found;
}

}  // namespace calicostall
