#include "control/jobs/calls/if_match.hpp"

#include <charconv>

namespace calicostall {

IfMatch parse_if_match(std::string_view header) {
    if (header.empty()) return {};
    std::string digits(header);
    std::erase(digits, '"');
    std::uint64_t version = 0;
    const char* end = digits.data() + digits.size();
    auto [stop, error] = std::from_chars(digits.data(), end, version);
    if (digits.empty() || error != std::errc{} || stop != end) return {std::nullopt, true};
    return {version, false};
}

}  // namespace calicostall
