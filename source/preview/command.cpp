#include "preview/command.hpp"

#include <fstream>

#include "shared/diagnostics/log_reader.hpp"

namespace calicostall {

namespace {

// The snapshot's bytes, and the name by which findings refer to them.
struct EncodedSnapshot {
    std::string name;
    std::optional<std::string> bytes;
};

// Sets the outcome's status if no daemon could be reached.
EncodedSnapshot load_snapshot(const PreviewOptions& options, PreviewOutcome& outcome) {
    if (!options.snapshot_path.empty())
        return {options.snapshot_path, read_input(options.snapshot_path, outcome.findings)};
    Findings unreachable;
    EncodedSnapshot snapshot{"snapshot", fetch_snapshot(options.replica_addresses, unreachable)};
    if (snapshot.bytes) return snapshot;
    outcome.findings.add("control", "no daemon handed over a snapshot");
    for (const Finding& finding : unreachable.list())
        outcome.findings.add(finding.location, finding.text);
    outcome.status = PreviewStatus::unreachable;
    return snapshot;
}

void save_snapshot(const std::string& path, const std::string& bytes, Findings& findings) {
    std::ofstream file(path, std::ios::binary);
    file << bytes;
    if (!file.flush()) findings.add(path, "cannot be written");
}

void report_preview(const Preview& preview, bool is_json, PreviewOutcome& outcome) {
    outcome.output = is_json ? boost::json::serialize(preview_json(preview)) + "\n" : preview_text(preview);
    if (preview.alarm_count() == 0) return;
    outcome.status = PreviewStatus::alarm;
    outcome.findings.add("ALARM", fmt::format("{} tasks could run twice at once", preview.alarm_count()));
}

}  // namespace

PreviewOutcome run_preview(const PreviewOptions& options) {
    if (!options.saved_preview_path.empty() || options.has_logged_snapshots) return verify_previews(options);
    PreviewOutcome outcome;
    const EncodedSnapshot encoded = load_snapshot(options, outcome);
    if (outcome.status != PreviewStatus::good) return outcome;
    std::optional<Snapshot> snapshot;
    if (encoded.bytes) snapshot = decode_snapshot(*encoded.bytes, encoded.name, outcome.findings);
    const ProposedChange change = read_change_files(options, snapshot ? &*snapshot : nullptr, outcome.findings);
    if (outcome.findings.empty() && !options.save_path.empty())
        save_snapshot(options.save_path, *encoded.bytes, outcome.findings);
    if (!outcome.findings.empty()) {
        outcome.status = PreviewStatus::bad_input;
        return outcome;
    }
    report_preview(make_preview(std::move(*snapshot), change, options.simulation), options.is_json_output, outcome);
    return outcome;
}

}  // namespace calicostall
