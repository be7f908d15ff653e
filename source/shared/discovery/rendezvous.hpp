// Rendezvous hashing: every daemon orders all others by a hash of both names and takes the first few. When one of them
// is lost, only those that had chosen it choose anew.
#pragma once
#include "common.hpp"

namespace calicostall {

// The order in which `own_name` prefers `names`; the same at every call, whatever the order of `names`.
// Example: rendezvous_order("agent-mbezi-2", {"10.1.0.10:7720", "10.2.0.40:7720"}).front()
std::vector<std::string> rendezvous_order(const std::string& own_name, std::vector<std::string> names);

}  // namespace calicostall
