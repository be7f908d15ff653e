// Addresses of the form HOST:PORT.
#pragma once
#include "common.hpp"
#include "shared/diagnostics/finding.hpp"

namespace calicostall {

// Returns the address as it is; one of another form becomes a finding at `location`.
// Example: checked_address("10.0.0.4:8161", "seeds.0", findings)
std::string checked_address(std::string address, const std::string& location, Findings& findings);

// Example: address_host("10.0.0.4:8166") == "10.0.0.4"
std::string address_host(const std::string& address);

}  // namespace calicostall
