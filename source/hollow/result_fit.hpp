// Fits a line through the results of experiments.
#pragma once
#include "hollow/linear_fit.hpp"
#include "shared/diagnostics/finding.hpp"

namespace calicostall {

// Fits a line through lines of results: the number `of` over the number `over`, both named by their paths in the lines.
// A line that lacks one of them is a finding.
// Example: fit_result_lines(text, "step.workers", "owner.cpu_share", findings).slope
LinearFit fit_result_lines(const std::string& text, const std::string& over, const std::string& of, Findings& findings);

}  // namespace calicostall
