#include "preview/input_files.hpp"

#include <boost/algorithm/hex.hpp>
#include <fstream>

#include "shared/diagnostics/log_reader.hpp"
#include "shared/diagnostics/run_event.hpp"

namespace calicostall {

namespace {

// Joins the lines of snapshots in one log. Several leaders may write into one log, so that their lines are mixed.
class LoggedSnapshotReader {
public:
    LoggedSnapshotReader(const std::string& log, Findings& findings) : log_(log), findings_(findings) {}

    // `line` is what follows "snapshot": "NUMBER PART PARTS HEXADECIMAL". A line of another form is ignored.
    void add(std::string_view line, size_t line_number) {
        std::istringstream words{std::string(line)};
        std::string snapshot_number;
        std::string hex;
        size_t part = 0;
        size_t parts = 0;
        if (!(words >> snapshot_number >> part >> parts >> hex)) return;
        const std::string location = fmt::format("{}:{}", log_, line_number);
        Incomplete& snapshot = incomplete_[snapshot_number];
        if (part == 0) snapshot = {location, {}, 0};
        if (part != snapshot.next_part) return findings_.add(location, "is out of order");
        try {
            boost::algorithm::unhex(hex.begin(), hex.end(), std::back_inserter(snapshot.bytes));
        } catch (const boost::algorithm::hex_decode_error&) {
            return findings_.add(location, "holds no hexadecimal digits");
        }
        if (++snapshot.next_part < parts) return;
        complete_.emplace_back(snapshot.location, std::move(snapshot.bytes));
        incomplete_.erase(snapshot_number);
    }

    std::vector<std::pair<std::string, std::string>> complete() { return std::move(complete_); }

private:
    struct Incomplete {
        std::string location;
        std::string bytes;
        size_t next_part = 0;
    };

    const std::string& log_;
    Findings& findings_;
    std::map<std::string, Incomplete> incomplete_;  // by the snapshot's number
    std::vector<std::pair<std::string, std::string>> complete_;
};

}  // namespace

std::vector<std::string> planner_names() {
    std::vector<std::string> names;
    for (const PlannerField& field : planner_fields(PlannerSettings{}))
        names.push_back(field.name);
    return names;
}

std::optional<std::string> read_input(const std::string& path, Findings& findings) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (file) return text.str();
    findings.add(path, "cannot be read");
    return std::nullopt;
}

void validate_planner_settings(const Snapshot& snapshot, const ProposedChange& change, const std::string& name,
                               Findings& findings) {
    Findings inner;
    planner_settings_of(snapshot, change).check(inner);
    for (const Finding& finding : inner.list())
        findings.add(name + ".planner", finding.location + " " + finding.text);
}

ProposedChange read_change_files(const PreviewOptions& options, const Snapshot* snapshot, Findings& findings) {
    ProposedChange change;
    if (!options.config_path.empty())
        if (auto text = read_input(options.config_path, findings))
            read_configuration(*text, options.config_path, snapshot, change, findings);
    if (options.change_path.empty()) return change;
    if (auto text = read_input(options.change_path, findings)) {
        read_change(*text, options.change_path, snapshot, planner_names(), change, findings);
        validate_planner_settings(snapshot ? *snapshot : Snapshot{}, change, options.change_path, findings);
    }
    return change;
}

std::vector<std::pair<std::string, std::string>> read_logged_snapshots(std::string_view text, const std::string& log,
                                                                       Findings& findings) {
    LoggedSnapshotReader reader(log, findings);
    for_each_log_line(text, "snapshot", [&](std::string_view line, size_t number) { reader.add(line, number); });
    return reader.complete();
}

}  // namespace calicostall
