// `calicostall preview`: reads a snapshot, looks ahead, says what it saw.
#pragma once
#include "preview/check.hpp"
#include "preview/fetch.hpp"

namespace calicostall {

// The options of `calicostall preview`.
struct PreviewOptions {
    std::vector<std::string> control;  // addresses of replicas
    std::string snapshot, save;        // files
    std::string configuration, change;
    std::string check;
    std::vector<std::string> logs;
    bool json = false, changed = false, check_logged = false;
    size_t misses_most = 20;
    ForwardSettings forward;
    CheckSettings checking;
};

// The exit status of each outcome.
enum class PreviewStatus { good = 0, unreachable = 1, bad_input = 2, alarm = 3 };

// Names of everything that a change file may set under `planner`.
std::vector<std::string> planner_names();
// Reads a file; one that can't be read is a finding.
std::optional<std::string> read_input(const std::string& path, Findings& findings);
// Notes planner settings of a change that are unknown or out of bounds; `name` is the file they came from.
void check_planner(const Snapshot& snapshot, const ProposedChange& change, const std::string& name, Findings& findings);

// Reads everything that was given; says all that is wrong with it.
// Example: Findings findings; ProposedChange change = read_change_files(options, &snapshot, findings);
ProposedChange read_change_files(const PreviewOptions& options, const Snapshot* snapshot, Findings& findings);

// What a run of the command leaves behind; only the caller prints it.
struct PreviewOutcome {
    PreviewStatus status = PreviewStatus::good;
    std::string out;
    Findings findings;
};

// The snapshots that control wrote to a log, with the place of each. One whose last lines are missing is left out.
std::vector<std::pair<std::string, std::string>> read_snapshot_lines(std::string_view text, const std::string& log,
                                                                     Findings& findings);

// Compares saved previews with the logs of what then ran.
PreviewOutcome check_preview(const PreviewOptions& options);

// Example: PreviewOutcome outcome = run_preview(options); print(outcome.out); return int(outcome.status);
PreviewOutcome run_preview(const PreviewOptions& options);

}  // namespace calicostall
