// The planner's public functions, and the order in which a plan looks at the waiting items.
#include "control/plan/planner.hpp"

#include "control/plan/planner/plan_maker.hpp"

namespace calicostall {

namespace {

constexpr Micros overdue_part = 4;                  // an overdue run is given its time so far divided by this
constexpr Micros overdue_least = milliseconds(20);  // and no less than this
constexpr size_t head_part = 4;  // a plan that goes on where another stopped spends 1 / head_part on the head

}  // namespace

Micros expected_over(const PlanRun& run, Micros now) {
    if (run.expected_end > now) return run.expected_end;
    Micros longer = run.stopping ? 0 : (now - run.started) / overdue_part;
    return now + std::max<Micros>(overdue_least, longer);
}

Plan make_plan(const PlanView& view) {
    return PlanMaker(view).run();
}

PlanMaker::PlanMaker(const PlanView& view)
    : view_(view), settings_(view.settings), now_(view.now), slots_(view.fleet.places()) {}

// The head of the order is looked at each time; below it a plan goes on where the one before stopped. The head takes a
// quarter of both bounds at most, and one item below it is looked at whatever it costs: so every item has its turn,
// however dear those before it are.
Plan PlanMaker::run() && {
    const WorkBound whole{settings_.looks_most, settings_.evaluations_most};
    const WorkBound head{settings_.looks_most / head_part, settings_.evaluations_most / head_part};
    WorkBound bound = view_.resume ? head : whole;
    bool more = false;
    bool first = false;
    auto look = [&](const Item& item, double points) {
        more = !first && (plan_.looked_at >= bound.looks || plan_.evaluations > bound.evaluations);
        first = false;
        if (more) return false;
        ++plan_.looked_at;
        item_ = &item;
        points_ = points;
        take_item();
        return true;
    };
    Cursor stopped = view_.items.in_order(now_, look);
    if (more && view_.resume) {
        for (size_t hope = 0; hope < stopped.size(); ++hope)
            stopped[hope] = std::max(stopped[hope], (*view_.resume)[hope]);
        bound = whole;
        first = true;
        stopped = view_.items.in_order(now_, look, stopped);
    }
    plan_.unfinished = more;
    if (more) plan_.resume = stopped;
    return std::move(plan_);
}

}  // namespace calicostall
