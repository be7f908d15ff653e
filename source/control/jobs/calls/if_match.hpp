/// The `If-Match` header of an operator's configuration change. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

/// What the header says; both are unset where it is missing.
struct IfMatch {
    std::optional<std::uint64_t> version;  ///< the configuration that the change builds on
    bool is_malformed = false;             ///< the header is there and holds no version
};

/// Reads a whole number, with or without quotes; an empty header counts as missing.
/// Example: parse_if_match("\"5\"").version == 5
IfMatch parse_if_match(std::string_view header);

}  // namespace calicostall
