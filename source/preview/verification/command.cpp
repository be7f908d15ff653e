#include "preview/verification/command.hpp"

#include "preview/input_files.hpp"
#include "preview/snapshot_codec.hpp"
#include "preview/verification/report.hpp"
#include "preview/verification/verifier.hpp"

namespace calicostall {

namespace {

// What the logs hold.
struct LogContents {
    std::vector<RunEvent> events;
    std::vector<std::string> previews;  // of the logged snapshots, as JSON
};

void add_logged_previews(const std::string& text, const std::string& log, const PreviewOptions& options,
                         LogContents& contents, Findings& findings) {
    for (const auto& [location, bytes] : read_logged_snapshots(text, log, findings)) {
        std::optional<Snapshot> snapshot = decode_snapshot(bytes, location, findings);
        if (!snapshot) continue;
        const Preview preview = make_preview(std::move(*snapshot), ProposedChange{}, options.simulation);
        contents.previews.push_back(boost::json::serialize(preview_json(preview)));
    }
}

LogContents read_logs(const PreviewOptions& options, Findings& findings) {
    LogContents contents;
    if (options.log_paths.empty()) findings.add("--check", "needs at least one log");
    for (const std::string& log : options.log_paths) {
        std::optional<std::string> text = read_input(log, findings);
        if (!text) continue;
        parse_run_events(*text, log, contents.events, findings);
        if (options.has_logged_snapshots) add_logged_previews(*text, log, options, contents, findings);
    }
    if (contents.events.empty() && findings.empty())
        findings.add("logs", "no line of what ran; was control run with --run-lines?");
    return contents;
}

VerificationResult verify_saved(const PreviewOptions& options, const LogContents& logs, Findings& findings) {
    std::optional<std::string> text = read_input(options.saved_preview_path, findings);
    if (!text) return {};
    const SavedPreview preview = read_saved_preview(*text, options.saved_preview_path, options.saved_part, findings);
    if (!findings.empty()) return {};
    return PreviewVerifier(preview, logs.events, options.verification).verify();
}

// Writes a line about the snapshots to `heading`.
VerificationResult verify_logged(const PreviewOptions& options, const LogContents& logs, std::string& heading,
                                 Findings& findings) {
    VerificationResult sum;
    size_t with_unheard_workers = 0;
    for (const std::string& text : logs.previews) {
        if (!findings.empty()) break;
        const SavedPreview preview = read_saved_preview(text, "preview", SavedPreviewPart::baseline, findings);
        with_unheard_workers += preview.unheard_workers > 0;
        sum += PreviewVerifier(preview, logs.events, options.verification).verify();
    }
    heading = fmt::format("{} snapshots, {} of them by an owner that had not heard of all its workers\n",
                          logs.previews.size(), with_unheard_workers);
    return sum;
}

}  // namespace

PreviewOutcome verify_previews(const PreviewOptions& options) {
    PreviewOutcome outcome;
    std::string heading;
    const LogContents logs = read_logs(options, outcome.findings);
    const VerificationResult result = options.has_logged_snapshots
                                          ? verify_logged(options, logs, heading, outcome.findings)
                                          : verify_saved(options, logs, outcome.findings);
    if (!outcome.findings.empty()) {
        outcome.status = PreviewStatus::bad_input;
        return outcome;
    }
    outcome.output = heading + (options.is_json_output ? boost::json::serialize(verification_json(result)) + "\n"
                                                       : verification_text(result, options.max_misses));
    return outcome;
}

}  // namespace calicostall
