#include "commands/commands.hpp"
#include "commands/options.hpp"
#include "preview/command.hpp"

namespace calicostall {

namespace {

// Where a snapshot is asked for when no daemon was named.
std::vector<std::string> replicas_of(const std::string& path, Findings& findings) {
    Settings settings = load_settings(path, findings);
    std::vector<std::string> replicas = settings.seed_replicas();
    if (replicas.empty() && findings.empty()) findings.add("--control", "is missing, and the settings name no seeds");
    return replicas;
}

}  // namespace

int preview_command(const cxxopts::ParseResult& given) {
    Findings findings;
    PreviewOptions options;
    options.snapshot = given["snapshot"].as<std::string>(), options.save = given["save"].as<std::string>();
    options.configuration = given["configuration"].as<std::string>(),
    options.change = given["change"].as<std::string>();
    options.check = given["check"].as<std::string>(), options.check_logged = given.count("check-logged") > 0;
    options.json = given.count("json") > 0, options.changed = given.count("changed") > 0;
    if (given.count("file")) options.logs = given["file"].as<std::vector<std::string>>();
    std::int64_t horizon = given["horizon-s"].as<std::int64_t>(), within = given["within-ms"].as<std::int64_t>();
    if (horizon < 1 || horizon > 86400) findings.add("--horizon-s", "must lie between 1 and 86400");
    if (within < 1 || within > 3600000) findings.add("--within-ms", "must lie between 1 and 3600000");
    options.forward.horizon = seconds(horizon), options.checking.within = milliseconds(within);
    bool checks = !options.check.empty() || options.check_logged;
    if (!checks && !options.logs.empty()) findings.add(options.logs.front(), "logs are for --check and --check-logged");
    if (!checks && options.snapshot.empty()) {
        if (given.count("control"))
            for (const std::string& address : given["control"].as<std::vector<std::string>>())
                options.control.push_back(checked_address(address, "--control", findings));
        else
            options.control = replicas_of(settings_path(given), findings);
    }
    if (!findings.empty()) return report(usage_error, findings);
    PreviewOutcome outcome = run_preview(options);
    fmt::print("{}", outcome.out);
    return report(int(outcome.status), outcome.findings);
}

}  // namespace calicostall
