#include "preview/check/said.hpp"

namespace calicostall {

namespace {

using boost::json::object;

// Reads one part of a saved preview, field by field.
class SaidReader {
public:
    SaidReader(Said& said, Findings& findings) : said_(said), findings_(findings) {}

    void read(const object& whole, const std::string& name, const char* part_name) {
        if (!read_format(whole, name)) return;
        read_snapshot(whole, name);
        FieldReader top(whole, name, findings_);
        if (const object* part = top.table(part_name, true)) read_part(*part, name + "." + part_name);
    }

private:
    bool read_format(const object& whole, const std::string& name) {
        const std::int64_t format = number(whole, name, "preview");
        if (findings_.empty() && format != preview_format)
            findings_.add(name + ".preview", fmt::format("is {}, this program reads {}", format, preview_format));
        return findings_.empty();
    }

    void read_snapshot(const object& whole, const std::string& name) {
        said_.wall = number(whole, name, "wall_us");
        said_.epoch = std::to_string(number(whole, name, "epoch"));
        said_.unheard = number(whole, name, "unheard", 0);
        FieldReader top(whole, name, findings_);
        const auto* jobs = top.list("jobs", true);
        if (!jobs) return;
        for (const auto& job : *jobs) {
            if (job.is_string())
                said_.jobs.emplace(job.as_string());
            else
                findings_.add(name + ".jobs", "must hold texts");
        }
    }

    void read_part(const object& part, const std::string& at) {
        FieldReader reader(part, at, findings_);
        said_.horizon = number(part, at, "horizon_us");
        each(reader, at, "queues", &SaidReader::read_queue);
        each(reader, at, "tasks", &SaidReader::read_task);
        each(reader, at, "running", &SaidReader::read_running);
        each(reader, at, "pushed_aside", &SaidReader::read_pushed);
    }

    using ReadRow = void (SaidReader::*)(const object&, const std::string&);
    void each(FieldReader& reader, const std::string& at, const char* list_name, ReadRow read_row) {
        const auto* list = reader.list(list_name, true);
        for (size_t place = 0; list && place < list->size(); ++place) {
            const std::string where = fmt::format("{}.{}[{}]", at, list_name, place);
            if ((*list)[place].is_object())
                (this->*read_row)((*list)[place].as_object(), where);
            else
                findings_.add(where, "must be a table");
        }
    }

    void read_queue(const object& row, const std::string& where) {
        FieldReader fields(row, where, findings_);
        said_.queues.emplace_back(fields.text("queue", true), number(row, where, "priority"));
    }

    void read_task(const object& row, const std::string& where) {
        FieldReader fields(row, where, findings_);
        const std::string name = fields.text("task", true);
        const std::string landing = fields.text("landing", true);
        Said::Task task;
        task.queue = fields.text("queue", true);
        task.worker = fields.text("worker", false);
        task.at = number(row, where, "at_us", -1);
        task.ends = number(row, where, "ends_us", -1);
        if (landing == "lands")
            task.landing = Landing::lands;
        else if (landing == "nowhere")
            task.landing = Landing::nowhere;
        else if (landing != "waits")
            findings_.add(where + ".landing", fmt::format("'{}' is unknown", landing));
        if (!fields.flag("copy", false)) said_.tasks[name] = std::move(task);
    }

    void read_running(const object& row, const std::string& where) {
        FieldReader fields(row, where, findings_);
        Said::Running run;
        run.queue = fields.text("queue", true);
        run.worker = fields.text("worker", true);
        run.ends = number(row, where, "ends_us", -1);
        said_.running[fields.text("task", true)] = std::move(run);
    }

    void read_pushed(const object& row, const std::string& where) {
        FieldReader fields(row, where, findings_);
        Said::Pushed pushed;
        pushed.queue = fields.text("queue", true);
        pushed.task = fields.text("task", true);
        pushed.worker = fields.text("worker", true);
        pushed.at = number(row, where, "at_us");
        said_.pushed.push_back(std::move(pushed));
    }

    // `otherwise`: what a missing field means; without it a missing field is a finding.
    std::int64_t number(const object& row, const std::string& place, const char* field,
                        std::optional<std::int64_t> otherwise = {}) {
        const auto* value = row.if_contains(field);
        if (!value && otherwise) return *otherwise;
        if (!value || !value->is_number()) {
            findings_.add(place + "." + field, value ? "must be a number" : "is missing");
            return 0;
        }
        return value->to_number<std::int64_t>();
    }

    Said& said_;
    Findings& findings_;
};

}  // namespace

Said read_preview(std::string_view text, const std::string& name, bool changed, Findings& findings) {
    Said said;
    boost::system::error_code error;
    boost::json::value whole = boost::json::parse(text, error);
    if (error || !whole.is_object())
        findings.add(name, error ? "cannot be read as JSON: " + error.message() : "must be a table");
    else
        SaidReader(said, findings).read(whole.as_object(), name, changed ? "changed" : "stands");
    return said;
}

}  // namespace calicostall
