#pragma once
#include "common.hpp"
#include "shared/time/clock.hpp"

namespace calicostall {

// A line for a change of state; everything that recurs is counted instead.
// Example: log_line("owner", "epoch {} taken over", epoch);
template <class... Arguments>
void log_line(std::string_view part, fmt::format_string<Arguments...> pattern, Arguments&&... arguments) {
    std::string line = fmt::format("{:.3f} {} {}\n", double(steady_now()) / 1e6, part,
                                   fmt::format(pattern, std::forward<Arguments>(arguments)...));
    std::fwrite(line.data(), 1, line.size(), stderr);
}

// Named counters of one process, printed together when they changed.
// Example: counters().add("sends_failed");
class Counters {
public:
    void add(const char* name, std::uint64_t amount = 1);
    // Example: "accepted=12 sends=40"; empty when nothing changed since the last call.
    std::string changed_text();

private:
    std::mutex lock_;
    std::map<std::string, std::uint64_t> table_;
    std::map<std::string, std::uint64_t> shown_;
};

Counters& counters();

}  // namespace calicostall
