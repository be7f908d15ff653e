#include "shared/diagnostics/log_reader.hpp"

namespace calicostall {

void for_each_log_line(std::string_view text, std::string_view component,
                       const std::function<void(std::string_view payload, size_t line)>& visit) {
    size_t number = 0;
    const std::string marker = fmt::format(" {} ", component);
    while (!text.empty()) {
        const size_t end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        ++number;
        const size_t found_at = line.find(marker);
        if (found_at != std::string_view::npos) visit(line.substr(found_at + marker.size()), number);
    }
}

}  // namespace calicostall
