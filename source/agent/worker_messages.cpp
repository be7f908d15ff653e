#include "agent/worker_messages.hpp"

#include "shared/settings/field_reader.hpp"

namespace calicostall {

namespace {

std::optional<boost::json::object> parse_object(const std::string& body) {
    boost::system::error_code error;
    boost::json::value parsed = boost::json::parse(body, error);
    if (error || !parsed.is_object()) return std::nullopt;
    return std::move(parsed.as_object());
}

std::optional<Micros> read_clock(const boost::json::object& object) {
    const auto* clock = object.if_contains("clock_ms");
    if (!clock || !clock->is_number()) return std::nullopt;
    return Micros(clock->to_number<double>() * 1000);
}

std::string text_or_empty(const boost::json::value& value) {
    return value.is_string() ? std::string(value.as_string()) : std::string();
}

// [task, run, checkpoint, percent]
std::optional<ActiveRun> parse_active_run(const boost::json::value& value) {
    if (!value.is_array() || value.as_array().size() < 4) return std::nullopt;
    const auto& row = value.as_array();
    if (!row[0].is_string() || !row[1].is_number()) return std::nullopt;
    ActiveRun run;
    run.task = row[0].as_string();
    run.run = row[1].to_number<std::uint32_t>();
    run.checkpoint = text_or_empty(row[2]);
    run.progress_percent = row[3].is_number() ? std::int64_t(row[3].to_number<double>()) : 0;
    return run;
}

// [N, task, run, outcome, checkpoint]
std::optional<FinishedRun> parse_finished_run(const boost::json::value& value) {
    if (!value.is_array() || value.as_array().size() < 5) return std::nullopt;
    const auto& row = value.as_array();
    if (!row[0].is_number() || !row[1].is_string() || !row[2].is_number() || !row[3].is_string()) return std::nullopt;
    FinishedRun run;
    run.sequence = row[0].to_number<std::uint64_t>();
    run.task = row[1].as_string();
    run.run = row[2].to_number<std::uint32_t>();
    run.outcome = row[3].as_string();
    run.checkpoint = text_or_empty(row[4]);
    return run;
}

// Parses every row of a list; returns false when the list is missing or a row can't be read.
template <class Row, class Parse>
bool parse_list(const boost::json::object& object, std::string_view name, std::vector<Row>& rows, Parse parse) {
    const auto* list = object.if_contains(name);
    if (!list || !list->is_array()) return false;
    for (const auto& each : list->as_array()) {
        std::optional<Row> row = parse(each);
        if (!row) return false;
        rows.push_back(std::move(*row));
    }
    return true;
}

}  // namespace

std::optional<WorkerHeartbeat> parse_heartbeat(const std::string& worker_id, const std::string& body,
                                               Findings& findings) {
    std::optional<boost::json::object> object = parse_object(body);
    if (!object) return std::nullopt;
    FieldReader reader(*object, "", findings);
    WorkerHeartbeat heartbeat;
    WorkerInfo& info = heartbeat.info;
    info.worker_id = worker_id;
    info.service = reader.text("service", true);
    info.address = reader.text("address", true);
    info.zone = reader.text("zone", false);
    info.is_draining = reader.text("phase", false) == "draining";
    if (const auto* capacity = reader.table("capacity", false)) {
        FieldReader inner(*capacity, "capacity", findings);
        info.cpu = std::int64_t(inner.number("cpu", 0));
        info.memory = std::int64_t(inner.number("task_mem_mb", 0));
        info.gpu = std::int64_t(inner.number("gpu", 0));
    }
    if (const auto* labels = reader.list("labels", false))
        for (const auto& label : *labels)
            if (label.is_string()) info.labels.emplace_back(label.as_string());
    double leaves_at_ms = reader.number("leaves_at_ms", -1.0);
    if (leaves_at_ms >= 0 && object->contains("leaves_at_ms")) info.terminates_in = Micros(leaves_at_ms * 1000);
    heartbeat.sequence = std::uint64_t(reader.number("call_seq", 0));
    heartbeat.clock = Micros(reader.number("clock_ms", 0) * 1000);
    return heartbeat;
}

OrderResponse parse_order_response(const ClientResponse& response) {
    if (response.outcome != ClientResponse::Outcome::answered || response.body.empty()) return {};
    std::optional<boost::json::object> object = parse_object(response.body);
    if (!object) return {};
    OrderResponse result;
    result.clock = read_clock(*object);
    const auto* reason = object->if_contains("reason");
    if (reason && reason->is_string() && !reason->as_string().empty()) result.reason = std::string(reason->as_string());
    return result;
}

WorkerStatus parse_worker_status(const std::string& body) {
    std::optional<boost::json::object> object = parse_object(body);
    if (!object) return {};
    WorkerStatus result;
    result.clock = read_clock(*object);
    result.is_complete = parse_list(*object, "active", result.active, parse_active_run) &&
                         parse_list(*object, "finished", result.finished, parse_finished_run);
    return result;
}

}  // namespace calicostall
