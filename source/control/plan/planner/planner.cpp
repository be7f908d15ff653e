// The planner's public functions, and the order in which a plan looks at the waiting items.
#include "control/plan/planner.hpp"

#include "control/plan/planner/plan_builder.hpp"

namespace calicostall {

namespace {

constexpr Micros overrun_divisor = 4;             // an overdue run is given its time so far divided by this
constexpr Micros min_overrun = milliseconds(20);  // and no less than this
constexpr size_t head_divisor = 4;  // a plan that resumes spends 1 / head_divisor of its work on the head of the order

}  // namespace

Micros estimated_end(const PlanRun& run, Micros now) {
    if (run.expected_end > now) return run.expected_end;
    const Micros overrun = run.is_stopping ? 0 : (now - run.started_at) / overrun_divisor;
    return now + std::max<Micros>(min_overrun, overrun);
}

Plan make_plan(const PlanView& view) {
    return PlanBuilder(view).build();
}

PlanBuilder::PlanBuilder(const PlanView& view)
    : view_(view), settings_(view.settings), now_(view.now), worker_states_(view.fleet.index_count()) {}

/// The head of the order is looked at each time; below it a plan goes on where the one before stopped. The head takes a
/// quarter of both bounds at most, and one item below it is looked at whatever it costs: so every item is reached in
/// the end, however costly those before it are.
Plan PlanBuilder::build() && {
    const WorkBound full_bound{settings_.max_items, settings_.max_evaluations};
    const WorkBound head_bound{settings_.max_items / head_divisor, settings_.max_evaluations / head_divisor};
    ScanPosition stopped = scan(view_.resume_from ? head_bound : full_bound, {}, false);
    if (plan_.is_incomplete && view_.resume_from) {
        for (size_t value_class = 0; value_class < stopped.size(); ++value_class)
            stopped[value_class] = std::max(stopped[value_class], (*view_.resume_from)[value_class]);
        stopped = scan(full_bound, stopped, true);
    }
    if (plan_.is_incomplete) plan_.resume_from = stopped;
    return std::move(plan_);
}

/// Plans item after item until the bound on work is reached; the plan is incomplete then. Returns where it stopped.
ScanPosition PlanBuilder::scan(const WorkBound& bound, const std::optional<ScanPosition>& from, bool must_examine_one) {
    auto plan_next = [&](const Item& item, double points) {
        plan_.is_incomplete = !must_examine_one && is_exhausted(bound);
        must_examine_one = false;
        if (plan_.is_incomplete) return false;
        ++plan_.items_examined;
        item_ = &item;
        points_ = points;
        plan_item();
        return true;
    };
    return view_.items.visit_in_order(now_, plan_next, from);
}

bool PlanBuilder::is_exhausted(const WorkBound& bound) const {
    return plan_.items_examined >= bound.items || plan_.evaluations > bound.evaluations;
}

}  // namespace calicostall
