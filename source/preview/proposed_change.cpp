#include "preview/proposed_change.hpp"

#include "shared/settings/field_reader.hpp"

namespace calicostall {

namespace {

using boost::json::object;

constexpr double max_planner_value = 1e9;

// Reads the fields of a change file into a change.
class ChangeReader {
public:
    ChangeReader(const Snapshot* snapshot, const std::vector<std::string>& planner_names, ProposedChange& change,
                 Findings& findings)
        : snapshot_(snapshot), planner_names_(planner_names), change_(change), findings_(findings) {}

    void read(const object& document, const std::string& name) {
        FieldReader reader(document, name, findings_);
        reject_unknown_fields(document, name, {"planner", "workers"});
        if (const object* settings = reader.table("planner", false)) read_planner_settings(*settings, name);
        const auto* workers = reader.list("workers", false);
        for (size_t index = 0; workers && index < workers->size(); ++index)
            read_worker((*workers)[index], fmt::format("{}.workers[{}]", name, index));
    }

private:
    void reject_unknown_fields(const object& fields, const std::string& location, const std::set<std::string>& known) {
        for (const auto& field : fields)
            if (!known.contains(std::string(field.key())))
                findings_.add(fmt::format("{}.{}", location, std::string_view(field.key())), "is unknown");
    }

    void read_planner_settings(const object& settings, const std::string& name) {
        for (const auto& field : settings) {
            const std::string key(field.key());
            const std::string location = fmt::format("{}.planner.{}", name, key);
            if (std::find(planner_names_.begin(), planner_names_.end(), key) == planner_names_.end())
                findings_.add(location, "is unknown");
            else if (!field.value().is_number())
                findings_.add(location, "must be a number");
            else if (double value = field.value().to_number<double>(); !(value >= 0) || value > max_planner_value)
                findings_.add(location, "is out of range");
            else
                change_.planner_settings[key] = value;
        }
    }

    void read_worker(const boost::json::value& row, const std::string& location) {
        if (!row.is_object()) return findings_.add(location, "must be a table");
        const object& fields = row.as_object();
        FieldReader reader(fields, location, findings_);
        reject_unknown_fields(fields, location, {"drain", "leave", "join", "after_ms"});
        WorkerChange worker;
        worker.after = Micros(reader.number("after_ms", 0) * 1000);
        if (fields.contains("drain") + fields.contains("leave") + fields.contains("join") != 1)
            return findings_.add(location, "must have one of drain, leave, join");
        if (!fields.contains("join")) {
            read_present_worker(reader, fields.contains("drain"), location, worker);
        } else if (const object* joining = reader.table("join", true)) {
            read_joining_worker(*joining, location + ".join", worker);
        } else {
            return;
        }
        if (!worker.worker_name.empty() && !changed_workers_.insert(worker.worker_name).second)
            findings_.add(location, fmt::format("'{}' is there twice", worker.worker_name));
        change_.workers.push_back(std::move(worker));
    }

    void read_joining_worker(const object& fields, const std::string& location, WorkerChange& worker) {
        FieldReader reader(fields, location, findings_);
        reject_unknown_fields(fields, location, {"node", "service", "zone", "labels", "cpu", "task_mem_mb", "gpu"});
        worker.kind = WorkerChangeKind::join;
        worker.worker_name = reader.text("node", true);
        SnapshotWorker& joining = worker.joining_worker;
        joining.node = worker.worker_name;
        joining.worker_id = "joining " + worker.worker_name;
        joining.service = reader.text("service", true);
        joining.zone = reader.text("zone", false);
        joining.cpu = std::int64_t(reader.number("cpu", std::nullopt));
        joining.memory = std::int64_t(reader.number("task_mem_mb", 0));
        joining.gpu = std::int64_t(reader.number("gpu", 0));
        joining.is_reconciled = true;
        if (const auto* labels = reader.list("labels", false)) read_labels(*labels, location, joining);
        reject_present_node(worker.worker_name, location);
    }

    void read_labels(const boost::json::array& labels, const std::string& location, SnapshotWorker& joining) {
        for (size_t index = 0; index < labels.size(); ++index) {
            if (labels[index].is_string())
                joining.labels.emplace_back(labels[index].as_string());
            else
                findings_.add(fmt::format("{}.labels[{}]", location, index), "must be a text");
        }
    }

    void reject_present_node(const std::string& node, const std::string& location) {
        if (!snapshot_ || node.empty()) return;
        for (const SnapshotWorker& present : snapshot_->workers)
            if (present.node == node) findings_.add(location + ".node", "is there already");
    }

    // The file may name a worker by its ID or its node; the change names it by its ID.
    void read_present_worker(FieldReader& reader, bool is_drain, const std::string& location, WorkerChange& worker) {
        const char* field = is_drain ? "drain" : "leave";
        worker.kind = is_drain ? WorkerChangeKind::drain : WorkerChangeKind::shut_down;
        worker.worker_name = reader.text(field, true);
        if (!snapshot_) return;
        auto found = std::find_if(snapshot_->workers.begin(), snapshot_->workers.end(), [&](const auto& present) {
            return present.worker_id == worker.worker_name || present.node == worker.worker_name;
        });
        if (found != snapshot_->workers.end())
            worker.worker_name = found->worker_id;
        else
            findings_.add(fmt::format("{}.{}", location, field),
                          fmt::format("'{}' is no worker of the snapshot", worker.worker_name));
    }

    const Snapshot* snapshot_;
    const std::vector<std::string>& planner_names_;
    ProposedChange& change_;
    Findings& findings_;
    std::set<std::string> changed_workers_;
};

}  // namespace

PlannerSettings planner_settings_of(const Snapshot& snapshot, const ProposedChange& change) {
    PlannerSettings settings;
    for (const PlannerField& field : snapshot.planner_settings)
        set_planner_field(settings, field.name, double(field.thousandths) / 1000);
    for (const auto& [name, value] : change.planner_settings)
        set_planner_field(settings, name, value);
    return settings;
}

void read_configuration(std::string_view text, const std::string& name, const Snapshot* snapshot,
                        ProposedChange& change, Findings& findings) {
    Findings inner;
    Config config = parse_config(text, inner);
    for (const Finding& finding : inner.list())
        findings.add(name + ":" + finding.location, finding.text);
    if (!inner.empty()) return;
    if (snapshot && !snapshot->config_text.empty()) {
        Findings ignored;  // the snapshot was validated when it was decoded
        const std::uint64_t current = parse_config(snapshot->config_text, ignored).revision;
        if (config.revision <= current)
            return findings.add(name + ":revision", fmt::format("must be above {}", current));
    }
    change.config = std::move(config);
}

void read_change(std::string_view text, const std::string& name, const Snapshot* snapshot,
                 const std::vector<std::string>& planner_names, ProposedChange& change, Findings& findings) {
    boost::system::error_code error;
    const boost::json::value document = boost::json::parse(text, error);
    if (error) return findings.add(name, "cannot be read as JSON: " + error.message());
    if (!document.is_object()) return findings.add(name, "must be a table");
    ChangeReader(snapshot, planner_names, change, findings).read(document.as_object(), name);
}

}  // namespace calicostall
