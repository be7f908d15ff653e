#include "control/plan/static_priority.hpp"

namespace calicostall {

Micros reduced_value_deadline(const SchedulingPriority& priority) {
    return priority.submitted_at + reduced_value_targets * (priority.deadline - priority.submitted_at);
}

ValueClass value_class_of(const SchedulingPriority& priority, Micros now) {
    if (priority.is_long_running) return ValueClass::reduced;
    const Micros done_at = now + priority.critical_path;
    if (done_at <= priority.deadline) return ValueClass::full;
    return done_at <= reduced_value_deadline(priority) ? ValueClass::reduced : ValueClass::none;
}

double static_points(const PlannerSettings& settings, const SchedulingPriority& priority, double capacity_share,
                     Micros now) {
    const double points = -settings.weight_level * double(priority.level) - settings.weight_resources * capacity_share +
                          settings.weight_density * priority.value_density;
    const Micros slack = priority.deadline - priority.critical_path - now;
    const Micros waited = now - priority.submitted_at;
    switch (value_class_of(priority, now)) {
        case ValueClass::full:
            return points + settings.weight_on_target - settings.weight_slack * double(slack) / 1e6;
        case ValueClass::reduced:
            return points + settings.weight_waiting * double(waited) / 1e6;
        case ValueClass::none:
            return points - settings.weight_no_value + settings.weight_waiting * double(waited) / 1e6;
    }
    return points;
}

}  // namespace calicostall
