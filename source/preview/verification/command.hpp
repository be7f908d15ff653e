// `calicostall preview --check` and `--check-logged`: verifies previews against the logs of what then ran.
#pragma once
#include "preview/options.hpp"

namespace calicostall {

// Example: PreviewOutcome outcome = verify_previews(options);
PreviewOutcome verify_previews(const PreviewOptions& options);

}  // namespace calicostall
