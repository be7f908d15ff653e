// The command line: its options, the settings file that it names, and how wrong input is reported.
#pragma once
#include <cxxopts.hpp>

#include "common.hpp"
#include "control/plan/settings.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

// Exit statuses of the commands, beside 0 for success.
constexpr int usage_error = 2, run_error = 1;

// All options of all commands, with their help texts.
cxxopts::Options command_line_options();

// Prints every finding to standard error; returns `code`.
// Example: if (!findings.empty()) return report(usage_error, findings);
int report(int code, const Findings& findings);

// The settings file: `--settings`, else $CALICOSTALL_BOOT, else the usual place.
std::string settings_path(const cxxopts::ParseResult& given);

// Reads and checks the settings file; `text_read` gets its text when it could be read.
Settings load_settings(const std::string& path, Findings& findings, std::string* text_read = nullptr);

// The first file named after the command; empty when there is none.
std::string first_file(const cxxopts::ParseResult& given);

// The planner's weights and ratios: each is an option of `control`, checked with its bounds.
PlannerSettings planner_options(const cxxopts::ParseResult& given, Findings& findings);

}  // namespace calicostall
