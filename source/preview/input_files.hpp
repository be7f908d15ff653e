// The files that `calicostall preview` reads: proposed changes, and snapshots within the logs of daemons.
#pragma once
#include "preview/options.hpp"

namespace calicostall {

// The names of all planner settings that a change file may set under `planner`.
std::vector<std::string> planner_names();

// The content of a file; nothing, and a finding, if it can't be read.
std::optional<std::string> read_input(const std::string& path, Findings& findings);

// Adds a finding for each planner setting that is out of bounds once the change is applied to the snapshot's settings.
// `name` is the file that the change came from.
void validate_planner_settings(const Snapshot& snapshot, const ProposedChange& change, const std::string& name,
                               Findings& findings);

// Reads the configuration and the change file as far as they are given. Everything wrong with them becomes a finding;
// without a snapshot they are checked as far as that is possible.
// Example: Findings findings; ProposedChange change = read_change_files(options, &snapshot, findings);
ProposedChange read_change_files(const PreviewOptions& options, const Snapshot* snapshot, Findings& findings);

// The encoded snapshots that a leader wrote to a log (see snapshot_log_lines()), each with its location in the log.
// One whose last lines are missing is left out; broken lines become findings.
std::vector<std::pair<std::string, std::string>> read_logged_snapshots(std::string_view text, const std::string& log,
                                                                       Findings& findings);

}  // namespace calicostall
