// What ran, as the owners write it to their logs, and its reading.
#pragma once
#include <boost/json.hpp>

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

    static constexpr std::array<const char*, 6> names{"accepted", "job_ended", "start", "end", "worker_over", "owner"};
    // Example:
    // {"event":"start","wall_us":1764645600000000,"task":"5c0e7a21d94b36f8.0.1.17","run":1,"worker":"i-3","queue":"a.example|/q/"}
    std::string line() const {
        boost::json::object object{{"event", names[size_t(event)]}, {"wall_us", wall}};
        if (!task.empty()) object["task"] = task;
        if (run) object["run"] = run;
        if (!worker.empty()) object["worker"] = worker;
        if (!queue.empty()) object["queue"] = queue;
        if (!how.empty()) object["how"] = how;
        return boost::json::serialize(object);
    }
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
inline void read_run_lines(std::string_view text, const std::string& name, std::vector<RunLine>& lines,
                           Findings& findings) {
    each_log_line(text, "run", [&](std::string_view rest, size_t number) {
        if (!rest.starts_with('{')) return;
        std::string place = fmt::format("{}:{}", name, number);
        boost::system::error_code error;
        boost::json::value whole = boost::json::parse(rest, error);
        if (error || !whole.is_object())
            return findings.add(place, error ? "cannot be read as JSON: " + error.message() : "must be a table");
        const boost::json::object& object = whole.as_object();
        auto text_of = [&](const char* field) -> std::string {
            const auto* value = object.if_contains(field);
            if (value && !value->is_string()) findings.add(place + " " + field, "must be a text");
            return value && value->is_string() ? std::string(value->as_string()) : std::string();
        };
        RunLine line;
        std::string event = text_of("event");
        auto known = std::find(RunLine::names.begin(), RunLine::names.end(), event);
        if (known == RunLine::names.end())
            findings.add(place + " event", fmt::format("'{}' is unknown", event));
        else
            line.event = RunLine::Event(known - RunLine::names.begin());
        const auto* wall = object.if_contains("wall_us");
        if (!wall || !wall->is_int64())
            findings.add(place + " wall_us", wall ? "must be a whole number" : "is missing");
        else
            line.wall = wall->as_int64();
        if (const auto* run = object.if_contains("run")) {
            if (!run->is_int64() || run->as_int64() < 0)
                findings.add(place + " run", "must be a whole number");
            else
                line.run = std::uint32_t(run->as_int64());
        }
        line.task = text_of("task"), line.worker = text_of("worker"), line.queue = text_of("queue"),
        line.how = text_of("how");
        lines.push_back(std::move(line));
    });
}

}  // namespace calicostall
