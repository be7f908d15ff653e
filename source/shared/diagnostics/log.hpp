#pragma once
#include "common.hpp"
#include "shared/time/clock.hpp"

namespace calicostall {

// A line for a change of state; everything that recurs is counted instead.
// Example: log_line("control", "leadership began term={}", term);
template <class... Arguments>
void log_line(std::string_view component, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    std::string line = fmt::format("{:.3f} {} {}\n", double(steady_now()) / 1e6, component,
                                   fmt::format(format, std::forward<Arguments>(arguments)...));
    std::fwrite(line.data(), 1, line.size(), stderr);
}

// Named counters of one process, printed together when they changed.
// Example: counters().add("sends_failed");
class Counters {
public:
    void add(const char* name, std::uint64_t amount = 1);
    // Example: "accepted=12 sends=40"; empty when nothing changed since the last call.
    std::string changes_text();

private:
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> values_;
    std::map<std::string, std::uint64_t> last_reported_;
};

Counters& counters();

}  // namespace calicostall
