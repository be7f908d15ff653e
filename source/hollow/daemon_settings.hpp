// The settings files of the daemons that an experiment tests.
#pragma once
#include "hollow/experiment.hpp"

namespace calicostall {

// Writes a file NAME.json into the folder for each daemon that the experiment names. Returns what couldn't be written.
// Example: write_daemon_settings(experiment, "target/hollow") writes target/hollow/control-1.json and so on
Findings write_daemon_settings(const Experiment& experiment, const std::string& folder);

}  // namespace calicostall
