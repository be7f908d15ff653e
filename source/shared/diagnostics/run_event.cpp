#include "shared/diagnostics/run_event.hpp"

#include <boost/json.hpp>

#include "shared/diagnostics/log_reader.hpp"

namespace calicostall {

namespace {

// Reads the fields of one event; what is wrong becomes a finding at the field.
class RunEventReader {
public:
    RunEventReader(const boost::json::object& object, std::string location, Findings& findings)
        : object_(object), location_(std::move(location)), findings_(findings) {}

    RunEvent read() {
        RunEvent event;
        read_kind(event);
        read_wall_clock(event);
        read_run(event);
        event.task = text("task");
        event.worker_id = text("worker");
        event.queue = text("queue");
        event.outcome = text("how");
        return event;
    }

private:
    void read_kind(RunEvent& event) {
        const std::string name = text("event");
        const auto found = std::find(RunEvent::kind_names.begin(), RunEvent::kind_names.end(), name);
        if (found == RunEvent::kind_names.end()) return add_finding("event", fmt::format("'{}' is unknown", name));
        event.kind = RunEvent::Kind(found - RunEvent::kind_names.begin());
    }
    void read_wall_clock(RunEvent& event) {
        const auto* value = object_.if_contains("wall_us");
        if (!value) return add_finding("wall_us", "is missing");
        if (!value->is_int64()) return add_finding("wall_us", "must be a whole number");
        event.wall_clock = value->as_int64();
    }
    void read_run(RunEvent& event) {
        const auto* value = object_.if_contains("run");
        if (!value) return;
        if (!value->is_int64() || value->as_int64() < 0) return add_finding("run", "must be a whole number");
        event.run = std::uint32_t(value->as_int64());
    }
    // Empty when the field is missing.
    std::string text(const char* field) {
        const auto* value = object_.if_contains(field);
        if (!value) return {};
        if (value->is_string()) return std::string(value->as_string());
        add_finding(field, "must be a text");
        return {};
    }
    void add_finding(const char* field, std::string text) {
        findings_.add(fmt::format("{} {}", location_, field), std::move(text));
    }

    const boost::json::object& object_;
    std::string location_;
    Findings& findings_;
};

}  // namespace

std::string RunEvent::to_json() const {
    boost::json::object object{{"event", kind_names[size_t(kind)]}, {"wall_us", wall_clock}};
    if (!task.empty()) object["task"] = task;
    if (run) object["run"] = run;
    if (!worker_id.empty()) object["worker"] = worker_id;
    if (!queue.empty()) object["queue"] = queue;
    if (!outcome.empty()) object["how"] = outcome;
    if (!job_summary.empty()) object["job"] = job_summary;
    return boost::json::serialize(object);
}

void parse_run_events(std::string_view text, const std::string& name, std::vector<RunEvent>& events,
                      Findings& findings) {
    for_each_log_line(text, "run", [&](std::string_view payload, size_t number) {
        if (!payload.starts_with('{')) return;
        const std::string location = fmt::format("{}:{}", name, number);
        boost::system::error_code error;
        const boost::json::value document = boost::json::parse(payload, error);
        if (error) return findings.add(location, "cannot be read as JSON: " + error.message());
        if (!document.is_object()) return findings.add(location, "must be a table");
        events.push_back(RunEventReader(document.as_object(), location, findings).read());
    });
}

}  // namespace calicostall
