#include "preview/command.hpp"

#include <boost/algorithm/hex.hpp>
#include <fstream>

namespace calicostall {

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
    if (!file) return findings.add(path, "cannot be read"), std::nullopt;
    return text.str();
}

void check_planner(const Snapshot& snapshot, const ProposedChange& change, const std::string& name,
                   Findings& findings) {
    Findings inner;
    planner_settings_of(snapshot, change).check(inner);
    for (const Finding& finding : inner.list())
        findings.add(name + ".planner", finding.place + " " + finding.text);
}

ProposedChange read_change_files(const PreviewOptions& options, const Snapshot* snapshot, Findings& findings) {
    ProposedChange change;
    if (!options.configuration.empty())
        if (auto text = read_input(options.configuration, findings))
            read_configuration(*text, options.configuration, snapshot, change, findings);
    if (!options.change.empty())
        if (auto text = read_input(options.change, findings)) {
            read_change(*text, options.change, snapshot, planner_names(), change, findings);
            check_planner(snapshot ? *snapshot : Snapshot{}, change, options.change, findings);
        }
    return change;
}

std::vector<std::pair<std::string, std::string>> read_snapshot_lines(std::string_view text, const std::string& log,
                                                                     Findings& findings) {
    std::vector<std::pair<std::string, std::string>> all;
    struct Open {
        std::string place, bytes;
        size_t next = 0;
    };
    std::map<std::string, Open> open;  // several owners may write into one log
    each_log_line(text, "snapshot", [&](std::string_view rest, size_t number) {
        std::istringstream words{std::string(rest)};
        std::string which, hex;
        size_t part = 0, parts = 0;
        if (!(words >> which >> part >> parts >> hex)) return;
        Open& each = open[which];
        if (part == 0) each = {fmt::format("{}:{}", log, number), {}, 0};
        if (part != each.next) return findings.add(fmt::format("{}:{}", log, number), "is out of order");
        try {
            boost::algorithm::unhex(hex.begin(), hex.end(), std::back_inserter(each.bytes));
        } catch (const boost::algorithm::hex_decode_error&) {
            return findings.add(fmt::format("{}:{}", log, number), "holds no hexadecimal digits");
        }
        if (++each.next < parts) return;
        all.emplace_back(each.place, std::move(each.bytes));
        open.erase(which);
    });
    return all;
}

PreviewOutcome check_preview(const PreviewOptions& options) {
    PreviewOutcome outcome;
    std::vector<RunLine> lines;
    std::vector<std::string> logged;
    if (options.logs.empty()) outcome.findings.add("--check", "needs at least one log");
    for (const std::string& log : options.logs) {
        auto text = read_input(log, outcome.findings);
        if (!text) continue;
        read_run_lines(*text, log, lines, outcome.findings);
        if (!options.check_logged) continue;
        for (const auto& [place, bytes] : read_snapshot_lines(*text, log, outcome.findings)) {
            auto snapshot = unpack_snapshot(bytes, place, outcome.findings);
            if (snapshot)
                logged.push_back(boost::json::serialize(
                    preview_json(make_preview(std::move(*snapshot), ProposedChange{}, options.forward))));
        }
    }
    if (lines.empty() && outcome.findings.empty())
        outcome.findings.add("logs", "no line of what ran; was control run with --run-lines?");
    CheckResult result;
    if (!options.check_logged) {
        auto text = read_input(options.check, outcome.findings);
        Said said;
        if (text) said = read_preview(*text, options.check, options.changed, outcome.findings);
        if (outcome.findings.empty()) result = Checker(said, lines, options.checking).check();
    }
    size_t unheard_of = 0;
    for (const std::string& preview : logged) {
        if (!outcome.findings.empty()) break;
        Said said = read_preview(preview, "preview", false, outcome.findings);
        unheard_of += said.unheard > 0;
        CheckResult one = Checker(said, lines, options.checking).check();
        result.compared = result.compared || one.compared;
        for (const auto& [queue, each] : one.queues)
            result.queues[queue] += each;
        result.misses.insert(result.misses.end(), one.misses.begin(), one.misses.end());
    }
    if (!outcome.findings.empty()) {
        outcome.status = PreviewStatus::bad_input;
        return outcome;
    }
    if (options.check_logged)
        outcome.out = fmt::format("{} snapshots, {} of them by an owner that had not heard of all its workers\n",
                                  logged.size(), unheard_of);
    outcome.out +=
        options.json ? boost::json::serialize(check_json(result)) + "\n" : check_text(result, options.misses_most);
    return outcome;
}

PreviewOutcome run_preview(const PreviewOptions& options) {
    if (!options.check.empty() || options.check_logged) return check_preview(options);
    PreviewOutcome outcome;
    std::optional<std::string> bytes;
    std::string name = options.snapshot;
    if (!options.snapshot.empty()) {
        bytes = read_input(options.snapshot, outcome.findings);
    } else {
        name = "snapshot";
        Findings unreachable;
        bytes = fetch_snapshot(options.control, unreachable);
        if (!bytes) {
            outcome.findings.add("control", "no daemon handed over a snapshot");
            for (const Finding& finding : unreachable.list())
                outcome.findings.add(finding.place, finding.text);
            outcome.status = PreviewStatus::unreachable;
            return outcome;
        }
    }
    std::optional<Snapshot> snapshot;
    if (bytes) snapshot = unpack_snapshot(*bytes, name, outcome.findings);
    ProposedChange change = read_change_files(options, snapshot ? &*snapshot : nullptr, outcome.findings);
    if (outcome.findings.empty() && !options.save.empty()) {
        std::ofstream file(options.save, std::ios::binary);
        file << *bytes;
        if (!file.flush()) outcome.findings.add(options.save, "cannot be written");
    }
    if (!outcome.findings.empty()) {
        outcome.status = PreviewStatus::bad_input;
        return outcome;
    }
    Preview preview = make_preview(std::move(*snapshot), change, options.forward);
    outcome.out = options.json ? boost::json::serialize(preview_json(preview)) + "\n" : preview_text(preview);
    if (preview.alarms()) {
        outcome.status = PreviewStatus::alarm;
        outcome.findings.add("ALARM", fmt::format("{} tasks could run twice at once", preview.alarms()));
    }
    return outcome;
}

}  // namespace calicostall
