// The id of one run of one task, and how a run may end.
#pragma once
#include "common.hpp"

namespace calicostall {

// Identifies one run of one task in the whole cluster.
struct RunId {
    std::string job;
    std::uint64_t occurrence = 0;
    std::uint32_t step = 0, index = 0;  // of the task
    std::uint32_t run = 0;
    auto operator<=>(const RunId&) const = default;

    // The task's name in the worker protocol.
    // Example: "5c0e7a21d94b36f8.0.1.17"
    std::string task_name() const;
    // @param task  a task's name as above
    // @param run   the run number, which the protocol carries apart
    // @return nothing where `task` is no task's name
    static std::optional<RunId> parse(std::string_view task, std::uint32_t run);
};

// How a run ended. All but `lost` are also words of the worker protocol; `lost` is the end of a run whose worker
// incarnation is over.
enum class RunOutcome { done, failed, stopped, lease_expired, gang_broken, gang_incomplete, lost };

// Reads an outcome of the worker protocol ("done", "failed", "stopped", "lapsed", "broken" or "alone").
std::optional<RunOutcome> parse_run_outcome(std::string_view text);

// The protocol's word for an outcome; "lost" for RunOutcome::lost, which the run log needs.
const char* run_outcome_text(RunOutcome outcome);

}  // namespace calicostall
