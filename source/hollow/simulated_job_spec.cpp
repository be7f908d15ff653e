#include "hollow/simulated_job_spec.hpp"

namespace calicostall {

SimulatedJobSpec SimulatedJobSpec::read(const std::string& text) {
    SimulatedJobSpec spec;
    auto number = [&](const char* name) -> std::optional<std::int64_t> {
        size_t found = text.find(name);
        if (found == std::string::npos) return std::nullopt;
        return std::atoll(text.c_str() + found + std::string_view(name).size());
    };
    if (auto duration_ms = number(" ms=")) spec.duration = milliseconds(std::max<std::int64_t>(0, *duration_ms));
    if (auto gang = number(" gang=")) spec.gang_size = std::uint32_t(std::max<std::int64_t>(1, *gang));
    return spec;
}

std::string SimulatedJobSpec::text(size_t bytes) const {
    std::string text = fmt::format("hollow ms={} gang={} ", duration / 1000, gang_size);
    if (text.size() < bytes) text.append(bytes - text.size(), 'x');
    return text;
}

}  // namespace calicostall
