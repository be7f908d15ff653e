// The validation of decoded snapshots: a snapshot may come from a file that anyone can edit.
#pragma once
#include "preview/snapshot.hpp"

namespace calicostall {

// Checks every field; everything wrong becomes a finding with its location in the snapshot. The locations use the
// published names of the fields.
// Example: "jobs[3].steps[1].depends_on: must name earlier steps only"
void validate_snapshot(const Snapshot& snapshot, Findings& findings);

}  // namespace calicostall
