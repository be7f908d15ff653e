// The command line: its options, the settings file that it names, and how wrong input is reported.
#pragma once
#include <cxxopts.hpp>

#include "common.hpp"
#include "control/plan/settings.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

// Exit statuses of the commands, beside 0 for success.
constexpr int exit_run_error = 1;
constexpr int exit_usage_error = 2;

// All options of all commands, with their help texts.
cxxopts::Options command_line_options();

// Prints every finding to standard error; returns `status`.
// Example: if (!findings.empty()) return report_findings(exit_usage_error, findings);
int report_findings(int status, const Findings& findings);

// The path of the settings file: `--settings`, else $CALICOSTALL_BOOT, else the default.
std::string settings_path(const cxxopts::ParseResult& arguments);

// A settings file as it was read.
struct SettingsFile {
    Settings settings;
    std::string text;  // empty when the file can't be read
};

// Reads and checks the settings file; what is wrong with it is added to `findings`.
SettingsFile load_settings(const std::string& path, Findings& findings);

// The first file named after the command; nothing when there is none, or its name is empty.
std::optional<std::string> first_file(const cxxopts::ParseResult& arguments);

// The planner's weights and ratios: each is an option of `control`, checked with its bounds.
PlannerSettings planner_options(const cxxopts::ParseResult& arguments, Findings& findings);

}  // namespace calicostall
