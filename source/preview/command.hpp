// `calicostall preview`: reads a snapshot, simulates the planner forward from it, and reports what it forecasts.
#pragma once
#include "preview/input_files.hpp"
#include "preview/options.hpp"
#include "preview/snapshot_client.hpp"
#include "preview/snapshot_codec.hpp"
#include "preview/verification/command.hpp"
#include "preview/verification/report.hpp"
#include "preview/verification/verifier.hpp"

namespace calicostall {

// Runs the command: a preview of a snapshot, or the verification of previews that were made before.
// Example: PreviewOutcome outcome = run_preview(options); print(outcome.output); return int(outcome.status);
PreviewOutcome run_preview(const PreviewOptions& options);

}  // namespace calicostall
