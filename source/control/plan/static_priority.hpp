/// Stage one of the planner: the static priority of work, by what it can still earn. Pure.
#pragma once
#include "control/plan/settings.hpp"
#include "control/plan/view.hpp"

namespace calicostall {

/// Work earns a reduced value until so many times its target, and nothing after.
constexpr Micros reduced_value_targets = 3;

/// What a piece of work can still earn: its full value, a reduced one, or nothing any more.
enum class ValueClass : std::uint8_t { full, reduced, none };
constexpr std::size_t value_class_count = 3;

/// What the work earns if it goes on at `now` without a break; microseconds of the priority's clock.
/// Example: value_class_of(item.scheduling_priority, now) == ValueClass::full
ValueClass value_class_of(const SchedulingPriority& priority, Micros now);

/// When the work earns nothing any more if it isn't done, in microseconds of the priority's clock.
Micros reduced_value_deadline(const SchedulingPriority& priority);

/// The static priority in points; docs/placement.md says what each weight does. It rises with time at one rate for all
/// work of one value class, so their order stays.
/// @param capacity_share  the share of a mean worker that a task takes
/// Example: static_points(settings, item.scheduling_priority, 0.25, now)
double static_points(const PlannerSettings& settings, const SchedulingPriority& priority, double capacity_share,
                     Micros now);

}  // namespace calicostall
