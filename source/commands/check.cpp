#include "commands/commands.hpp"
#include "commands/options.hpp"
#include "shared/settings/config.hpp"
#include "shared/settings/file.hpp"

namespace calicostall {

namespace {

int check_settings(const std::string& path) {
    Findings findings;
    load_settings(path, findings);
    if (!findings.empty()) return report_findings(exit_run_error, findings);
    fmt::print("{}: sound\n", path);
    return 0;
}

int check_config(const std::string& path) {
    Findings findings;
    std::optional<std::string> text = read_file(path);
    if (!text)
        findings.add(path, "cannot be read");
    else
        parse_config(*text, findings);
    if (!findings.empty()) return report_findings(exit_run_error, findings);
    fmt::print("{}: sound\n", path);
    return 0;
}

int report_missing_file(const char* command) {
    Findings findings;
    findings.add(command, "needs a file");
    return report_findings(exit_usage_error, findings);
}

}  // namespace

int check_settings_command(const cxxopts::ParseResult& arguments) {
    if (std::optional<std::string> file = first_file(arguments)) return check_settings(*file);
    return report_missing_file("check-settings");
}

int check_config_command(const cxxopts::ParseResult& arguments) {
    if (std::optional<std::string> file = first_file(arguments)) return check_config(*file);
    return report_missing_file("check-config");
}

}  // namespace calicostall
