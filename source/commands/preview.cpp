#include "commands/commands.hpp"
#include "commands/options.hpp"
#include "preview/command.hpp"
#include "shared/settings/address.hpp"

namespace calicostall {

namespace {

constexpr std::int64_t max_horizon_s = 86400;
constexpr std::int64_t max_tolerance_ms = 3600000;

// The replicas that are asked for a snapshot when the command line names none.
std::vector<std::string> replicas_of(const std::string& path, Findings& findings) {
    std::vector<std::string> replicas = load_settings(path, findings).settings.seed_replicas();
    if (replicas.empty() && findings.empty()) findings.add("--control", "is missing, and the settings name no seeds");
    return replicas;
}

std::vector<std::string> replica_addresses(const cxxopts::ParseResult& arguments, Findings& findings) {
    if (!arguments.count("control")) return replicas_of(settings_path(arguments), findings);
    std::vector<std::string> addresses;
    for (const std::string& address : arguments["control"].as<std::vector<std::string>>())
        addresses.push_back(checked_address(address, "--control", findings));
    return addresses;
}

PreviewOptions read_options(const cxxopts::ParseResult& arguments, Findings& findings) {
    PreviewOptions options;
    options.snapshot_path = arguments["snapshot"].as<std::string>();
    options.save_path = arguments["save"].as<std::string>();
    options.config_path = arguments["configuration"].as<std::string>();
    options.change_path = arguments["change"].as<std::string>();
    options.saved_preview_path = arguments["check"].as<std::string>();
    options.has_logged_snapshots = arguments.count("check-logged") > 0;
    options.is_json_output = arguments.count("json") > 0;
    options.saved_part = arguments.count("changed") > 0 ? SavedPreviewPart::with_change : SavedPreviewPart::baseline;
    if (arguments.count("file")) options.log_paths = arguments["file"].as<std::vector<std::string>>();
    const auto horizon_s = arguments["horizon-s"].as<std::int64_t>();
    const auto tolerance_ms = arguments["within-ms"].as<std::int64_t>();
    if (horizon_s < 1 || horizon_s > max_horizon_s) findings.add("--horizon-s", "must lie between 1 and 86400");
    if (tolerance_ms < 1 || tolerance_ms > max_tolerance_ms)
        findings.add("--within-ms", "must lie between 1 and 3600000");
    options.simulation.horizon = seconds(horizon_s);
    options.verification.tolerance = milliseconds(tolerance_ms);
    return options;
}

}  // namespace

int preview_command(const cxxopts::ParseResult& arguments) {
    Findings findings;
    PreviewOptions options = read_options(arguments, findings);
    const bool is_verification = !options.saved_preview_path.empty() || options.has_logged_snapshots;
    if (!is_verification && !options.log_paths.empty())
        findings.add(options.log_paths.front(), "logs are for --check and --check-logged");
    if (!is_verification && options.snapshot_path.empty())
        options.replica_addresses = replica_addresses(arguments, findings);
    if (!findings.empty()) return report_findings(exit_usage_error, findings);
    PreviewOutcome outcome = run_preview(options);
    fmt::print("{}", outcome.output);
    return report_findings(int(outcome.status), outcome.findings);
}

}  // namespace calicostall
