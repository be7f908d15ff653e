// What ran, as the owners write it to their logs, and its reading.
#pragma once
#include "common.hpp"
#include "shared/record/finding.hpp"

namespace calicostall {

// One change: a job accepted or ended, a run started or ended, a worker that is over, an owner that begins.
struct RunLine {
    enum class Event { accepted, job_ended, start, end, worker_over, owner } event = Event::start;
    Micros wall = 0;
    std::string task;    // "ID.TIME.STEP.INDEX"; of a job: its ID
    std::string worker;  // its life
    std::string queue;   // "HOST|PREFIX"
    std::string how;     // how a run or a job ended; of an owner: its epoch
    std::uint32_t run = 0;
    std::string job = {};  // of an accepted job: what it asks for, see `asked_text`; not read back

    static constexpr std::array<const char*, 6> names{"accepted", "job_ended", "start", "end", "worker_over", "owner"};
    // Example:
    // {"event":"start","wall_us":1764645600000000,"task":"5c0e7a21d94b36f8.0.1.17","run":1,"worker":"i-3","queue":"a.example|/q/"}
    std::string line() const;
};

// Calls see(rest of the line, number of the line) for each line of a log that belongs to a part.
// Example: each_log_line(text, "run", [](std::string_view rest, size_t line) { ... });
template <class See>
void each_log_line(std::string_view text, std::string_view part, See see) {
    size_t number = 0;
    const std::string mark = fmt::format(" {} ", part);
    while (!text.empty()) {
        size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        ++number;
        if (size_t at = line.find(mark); at != std::string_view::npos) see(line.substr(at + mark.size()), number);
    }
}

// Adds the lines of one daemon's log. Other lines are passed over; a broken one is a finding.
// Example: Findings findings; std::vector<RunLine> lines; read_run_lines(text, "control-1.log", lines, findings);
void read_run_lines(std::string_view text, const std::string& name, std::vector<RunLine>& lines, Findings& findings);

}  // namespace calicostall
