// The plans of a forward simulation: asks the planner and carries out what it decides.
#pragma once
#include "preview/forward.hpp"
#include "preview/forward/account.hpp"
#include "preview/forward/runs.hpp"
#include "preview/forward/state.hpp"
#include "preview/forward/waiting.hpp"

namespace calicostall {

// What came of one plan.
struct ForwardPlanned {
    bool changed = false;     // something starts or stops
    bool unfinished = false;  // items were left out: plan again soon
};

// Example: ForwardPlanned planned = plans.plan();
class ForwardPlans {
public:
    ForwardPlans(ForwardState& state, ForwardAccount& account, ForwardWaiting& waiting, ForwardRuns& runs,
                 const PlannerFunction& planner)
        : state_(state), account_(account), waiting_(waiting), runs_(runs), planner_(planner) {}

    // Plans once, if anything waits.
    ForwardPlanned plan();
    // The same for the first plan, which also says why tasks wait.
    ForwardPlanned first_plan();

private:
    Plan ask_planner();
    ForwardPlanned carry_out(const Plan& plan);
    void note_reasons(const std::vector<Wait>& waits);
    void stop(const Stop& planned);
    void start_all(const std::vector<Start>& starts);
    // `gang`: of the item's earlier starts in this plan, 0 before the first; set where the item is one.
    void start(const ForwardItem& item, const Start& planned, size_t worker, std::uint64_t& gang);
    ForwardRun run_of(const TaskKey& key, const Start& planned, size_t worker) const;

    ForwardState& state_;
    ForwardAccount& account_;
    ForwardWaiting& waiting_;
    ForwardRuns& runs_;
    const PlannerFunction& planner_;
    std::optional<Cursor> resume_;  // where the last plan stopped
};

}  // namespace calicostall
