#include "side/worker_messages.hpp"

namespace calicostall {

namespace {

std::optional<boost::json::object> parse_object(const std::string& body) {
    boost::system::error_code error;
    boost::json::value whole = boost::json::parse(body, error);
    if (error || !whole.is_object()) return std::nullopt;
    return std::move(whole.as_object());
}

std::optional<Micros> clock_of(const boost::json::object& object) {
    const auto* clock = object.if_contains("clock_ms");
    if (!clock || !clock->is_number()) return std::nullopt;
    return Micros(clock->to_number<double>() * 1000);
}

std::string text_or_empty(const boost::json::value& value) {
    return value.is_string() ? std::string(value.as_string()) : std::string();
}

// [task, run, saved, percent]
std::optional<ActiveRun> parse_active(const boost::json::value& value) {
    if (!value.is_array() || value.as_array().size() < 4) return std::nullopt;
    const auto& row = value.as_array();
    if (!row[0].is_string() || !row[1].is_number()) return std::nullopt;
    ActiveRun run;
    run.task = row[0].as_string();
    run.run = row[1].to_number<std::uint32_t>();
    run.saved = text_or_empty(row[2]);
    run.percent = row[3].is_number() ? std::int64_t(row[3].to_number<double>()) : 0;
    return run;
}

// [N, task, run, how, saved]
std::optional<FinishedRun> parse_finished(const boost::json::value& value) {
    if (!value.is_array() || value.as_array().size() < 5) return std::nullopt;
    const auto& row = value.as_array();
    if (!row[0].is_number() || !row[1].is_string() || !row[2].is_number() || !row[3].is_string()) return std::nullopt;
    FinishedRun run;
    run.number = row[0].to_number<std::uint64_t>();
    run.task = row[1].as_string();
    run.run = row[2].to_number<std::uint32_t>();
    run.how = row[3].as_string();
    run.saved = text_or_empty(row[4]);
    return run;
}

// Reads every row of a list; false where one can't be read.
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

std::optional<WorkerBeat> parse_beat(const std::string& life, const std::string& body, Findings& findings) {
    std::optional<boost::json::object> object = parse_object(body);
    if (!object) return std::nullopt;
    FieldReader reader(*object, "", findings);
    WorkerBeat beat;
    WorkerAccount& account = beat.account;
    account.life = life;
    account.service = reader.text("service", true);
    account.address = reader.text("address", true);
    account.zone = reader.text("zone", false);
    account.draining = reader.text("phase", false) == "draining";
    if (const auto* capacity = reader.table("capacity", false)) {
        FieldReader inner(*capacity, "capacity", findings);
        account.cpu = std::int64_t(inner.number("cpu", 0));
        account.memory = std::int64_t(inner.number("task_mem_mb", 0));
        account.gpu = std::int64_t(inner.number("gpu", 0));
    }
    if (const auto* labels = reader.list("labels", false))
        for (const auto& label : *labels)
            if (label.is_string()) account.labels.emplace_back(label.as_string());
    double leaves_at_ms = reader.number("leaves_at_ms", -1.0);
    if (leaves_at_ms >= 0 && object->contains("leaves_at_ms")) account.leaves_in = Micros(leaves_at_ms * 1000);
    beat.sequence = std::uint64_t(reader.number("call_seq", 0));
    beat.clock = Micros(reader.number("clock_ms", 0) * 1000);
    return beat;
}

WorkerReply parse_reply(const Answer& answer) {
    if (answer.fate != Answer::Fate::answered || answer.body.empty()) return {};
    std::optional<boost::json::object> object = parse_object(answer.body);
    if (!object) return {};
    WorkerReply reply;
    reply.clock = clock_of(*object);
    if (const auto* reason = object->if_contains("reason")) reply.reason = text_or_empty(*reason);
    return reply;
}

HoldReply parse_hold_reply(const std::string& body) {
    std::optional<boost::json::object> object = parse_object(body);
    if (!object) return {};
    HoldReply reply;
    reply.clock = clock_of(*object);
    reply.complete = parse_list(*object, "active", reply.active, parse_active) &&
                     parse_list(*object, "finished", reply.finished, parse_finished);
    return reply;
}

}  // namespace calicostall
