// What `calicostall preview` is asked for, and what it returns to the command line. Plain data.
#pragma once
#include "preview/placement_simulator.hpp"
#include "preview/verification/result.hpp"
#include "preview/verification/saved_preview.hpp"

namespace calicostall {

// The options of `calicostall preview`. Paths are empty where an option was not given.
struct PreviewOptions {
    std::vector<std::string> replica_addresses;  // "HOST:PORT", asked in this order when no snapshot file is given
    std::string snapshot_path;                   // read the snapshot from this file
    std::string save_path;                       // write the snapshot to this file
    std::string config_path;                     // a proposed configuration
    std::string change_path;                     // proposed planner settings and workers
    std::string saved_preview_path;              // verify this preview against the logs
    bool has_logged_snapshots = false;           // verify the previews of all snapshots in the logs
    SavedPreviewPart saved_part = SavedPreviewPart::baseline;  // the part of the saved preview to verify
    std::vector<std::string> log_paths;                        // of the daemons
    bool is_json_output = false;                               // JSON instead of tables
    size_t max_misses = 20;                                    // wrong predictions that a table lists
    SimulationSettings simulation;
    VerificationSettings verification;
};

// The exit status of each outcome.
enum class PreviewStatus { good = 0, unreachable = 1, bad_input = 2, alarm = 3 };

// The result of the command; only the caller prints it.
struct PreviewOutcome {
    PreviewStatus status = PreviewStatus::good;
    std::string output;
    Findings findings;
};

}  // namespace calicostall
