#include "shared/settings/file.hpp"

#include <fstream>
#include <sstream>

namespace calicostall {

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream stream(path, std::ios::binary);
    if (!stream) return std::nullopt;
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

}  // namespace calicostall
