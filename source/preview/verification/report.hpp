// The result of a verification as a table for a person and as JSON for programs.
#pragma once
#include <boost/json.hpp>

#include "preview/verification/result.hpp"

namespace calicostall {

// A row for each queue, their sum, the causes, and the first `max_misses` wrong predictions.
// Example: fmt::print("{}", verification_text(result, 20));
std::string verification_text(const VerificationResult& result, size_t max_misses);

// All queues and all wrong predictions.
boost::json::object verification_json(const VerificationResult& result);

}  // namespace calicostall
