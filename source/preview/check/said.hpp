// What a saved preview said, read from its JSON as far as the check needs it.
#pragma once
#include "preview/report.hpp"

namespace calicostall {

struct Said {
    struct Task {
        std::string queue, worker;
        Landing landing = Landing::waits;
        Micros at = -1, ends = -1;
    };
    struct Running {
        std::string queue, worker;
        Micros ends = -1;
    };
    struct Pushed {
        std::string queue, task, worker;
        Micros at = 0;
    };
    Micros wall = 0, horizon = 0;
    std::int64_t unheard = 0;  // workers that its owner had not heard of
    std::string epoch;
    std::set<std::string> jobs;
    std::vector<std::pair<std::string, std::int64_t>> queues;
    std::map<std::string, Task> tasks;  // without copies
    std::map<std::string, Running> running;
    std::vector<Pushed> pushed;
};

// Reads a preview that was saved by --json; everything wrong with it is a finding with its place.
// Example: Findings findings; Said said = read_preview(text, "today.json", false, findings);
Said read_preview(std::string_view text, const std::string& name, bool changed, Findings& findings);

}  // namespace calicostall
