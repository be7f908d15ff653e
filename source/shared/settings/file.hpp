// Reading files.
#pragma once
#include "common.hpp"

namespace calicostall {

// The bytes of a file; nothing when it can't be opened.
// Example: std::optional<std::string> text = read_file(path);
std::optional<std::string> read_file(const std::string& path);

}  // namespace calicostall
