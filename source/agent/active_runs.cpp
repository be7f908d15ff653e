#include "agent/active_runs.hpp"

namespace calicostall {

void ActiveRuns::on_status(std::uint64_t query, const WorkerStatus& status) {
    for (const ActiveRun& active : status.active) {
        std::uint64_t& shown_by = runs_[{active.task, active.run}];
        shown_by = std::max(shown_by, query);
    }
    for (const FinishedRun& finished : status.finished)
        runs_.erase({finished.task, finished.run});
    std::erase_if(runs_, [query](const auto& each) { return each.second < query; });
}

}  // namespace calicostall
