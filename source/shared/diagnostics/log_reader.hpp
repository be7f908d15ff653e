// Reads the lines that log_line wrote, "SECONDS COMPONENT TEXT", back from a log.
#pragma once
#include "common.hpp"

namespace calicostall {

// Calls visit(the text, the number of the line from 1) for each line of a component.
// Example: for_each_log_line(text, "run", [](std::string_view payload, size_t line) { ... });
void for_each_log_line(std::string_view text, std::string_view component,
                       const std::function<void(std::string_view payload, size_t line)>& visit);

}  // namespace calicostall
