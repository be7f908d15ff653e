#include "preview/verification/saved_preview.hpp"

#include "shared/settings/field_reader.hpp"

namespace calicostall {

namespace {

using boost::json::object;

// Reads one part of a saved preview, field by field.
class SavedPreviewReader {
public:
    SavedPreviewReader(SavedPreview& preview, Findings& findings) : preview_(preview), findings_(findings) {}

    void read(const object& document, const std::string& name, const char* part_name) {
        if (!read_format(document, name)) return;
        read_snapshot(document, name);
        FieldReader top(document, name, findings_);
        if (const object* part = top.table(part_name, true)) read_part(*part, name + "." + part_name);
    }

private:
    bool read_format(const object& document, const std::string& name) {
        const std::int64_t format = number(document, name, "preview");
        if (findings_.empty() && format != preview_format)
            findings_.add(name + ".preview", fmt::format("is {}, this program reads {}", format, preview_format));
        return findings_.empty();
    }

    void read_snapshot(const object& document, const std::string& name) {
        preview_.wall_clock = number(document, name, "wall_us");
        preview_.term = std::to_string(number(document, name, "epoch"));
        preview_.unheard_workers = number(document, name, "unheard", 0);
        FieldReader top(document, name, findings_);
        const auto* jobs = top.list("jobs", true);
        if (!jobs) return;
        for (const auto& job : *jobs) {
            if (job.is_string())
                preview_.jobs.emplace(job.as_string());
            else
                findings_.add(name + ".jobs", "must hold texts");
        }
    }

    void read_part(const object& part, const std::string& location) {
        FieldReader reader(part, location, findings_);
        preview_.horizon = number(part, location, "horizon_us");
        read_rows(reader, location, "queues", &SavedPreviewReader::read_queue);
        read_rows(reader, location, "tasks", &SavedPreviewReader::read_task);
        read_rows(reader, location, "running", &SavedPreviewReader::read_running);
        read_rows(reader, location, "pushed_aside", &SavedPreviewReader::read_preemption);
    }

    using ReadRow = void (SavedPreviewReader::*)(const object&, const std::string&);
    void read_rows(FieldReader& reader, const std::string& location, const char* list_name, ReadRow read_row) {
        const auto* list = reader.list(list_name, true);
        for (size_t index = 0; list && index < list->size(); ++index) {
            const std::string where = fmt::format("{}.{}[{}]", location, list_name, index);
            if ((*list)[index].is_object())
                (this->*read_row)((*list)[index].as_object(), where);
            else
                findings_.add(where, "must be a table");
        }
    }

    void read_queue(const object& row, const std::string& where) {
        FieldReader fields(row, where, findings_);
        preview_.queues.emplace_back(fields.text("queue", true), number(row, where, "priority"));
    }

    void read_task(const object& row, const std::string& where) {
        FieldReader fields(row, where, findings_);
        const std::string name = fields.text("task", true);
        const std::string outcome = fields.text("landing", true);
        SavedPreview::Task task;
        task.queue = fields.text("queue", true);
        task.worker = fields.text("worker", false);
        task.starts_after = number(row, where, "at_us", -1);
        task.ends_after = number(row, where, "ends_us", -1);
        if (outcome == "lands")
            task.outcome = PlacementOutcome::placed;
        else if (outcome == "nowhere")
            task.outcome = PlacementOutcome::infeasible;
        else if (outcome != "waits")
            findings_.add(where + ".landing", fmt::format("'{}' is unknown", outcome));
        if (!fields.flag("copy", false)) preview_.tasks[name] = std::move(task);
    }

    void read_running(const object& row, const std::string& where) {
        FieldReader fields(row, where, findings_);
        SavedPreview::Running run;
        run.queue = fields.text("queue", true);
        run.worker = fields.text("worker", true);
        run.ends_after = number(row, where, "ends_us", -1);
        preview_.running[fields.text("task", true)] = std::move(run);
    }

    void read_preemption(const object& row, const std::string& where) {
        FieldReader fields(row, where, findings_);
        SavedPreview::Preemption preemption;
        preemption.queue = fields.text("queue", true);
        preemption.task = fields.text("task", true);
        preemption.worker = fields.text("worker", true);
        preemption.after = number(row, where, "at_us");
        preview_.preemptions.push_back(std::move(preemption));
    }

    // `default_value`: of a missing field; without one a missing field is a finding.
    std::int64_t number(const object& row, const std::string& location, const char* field,
                        std::optional<std::int64_t> default_value = {}) {
        const auto* value = row.if_contains(field);
        if (!value && default_value) return *default_value;
        if (!value || !value->is_number()) {
            findings_.add(location + "." + field, value ? "must be a number" : "is missing");
            return 0;
        }
        return value->to_number<std::int64_t>();
    }

    SavedPreview& preview_;
    Findings& findings_;
};

}  // namespace

SavedPreview read_saved_preview(std::string_view text, const std::string& name, SavedPreviewPart part,
                                Findings& findings) {
    SavedPreview preview;
    boost::system::error_code error;
    boost::json::value document = boost::json::parse(text, error);
    if (error || !document.is_object())
        findings.add(name, error ? "cannot be read as JSON: " + error.message() : "must be a table");
    else
        SavedPreviewReader(preview, findings)
            .read(document.as_object(), name, part == SavedPreviewPart::with_change ? "changed" : "stands");
    return preview;
}

}  // namespace calicostall
