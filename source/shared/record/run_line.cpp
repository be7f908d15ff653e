#include "shared/record/run_line.hpp"

#include <boost/json.hpp>

namespace calicostall {

std::string RunLine::line() const {
    boost::json::object object{{"event", names[size_t(event)]}, {"wall_us", wall}};
    if (!task.empty()) object["task"] = task;
    if (run) object["run"] = run;
    if (!worker.empty()) object["worker"] = worker;
    if (!queue.empty()) object["queue"] = queue;
    if (!how.empty()) object["how"] = how;
    if (!job.empty()) object["job"] = job;
    return boost::json::serialize(object);
}

void read_run_lines(std::string_view text, const std::string& name, std::vector<RunLine>& lines, Findings& findings) {
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
