// The one program: each role is a subcommand.
#include "commands/commands.hpp"
#include "commands/options.hpp"

using namespace calicostall;

namespace {

struct Command {
    std::string_view name;
    int (*run)(const cxxopts::ParseResult& given);
};

constexpr std::array<Command, 8> commands{{{"front", front_command},
                                           {"control", control_command},
                                           {"side", side_command},
                                           {"check-settings", check_settings_command},
                                           {"check-config", check_config_command},
                                           {"forecast", forecast_command},
                                           {"preview", preview_command},
                                           {"hollow", hollow_command}}};

int run_command(cxxopts::Options& options, int count, char** words) {
    cxxopts::ParseResult given = options.parse(count, words);
    if (given.count("help")) {
        fmt::print("{}", options.help());
        return 0;
    }
    std::string name = given.count("command") ? given["command"].as<std::string>() : "";
    for (const Command& command : commands)
        if (command.name == name) return command.run(given);
    Findings findings;
    findings.add("command", name.empty() ? "is missing; see --help" : fmt::format("'{}' is unknown; see --help", name));
    return report(usage_error, findings);
}

}  // namespace

int main(int count, char** words) {
    cxxopts::Options options = command_line_options();
    try {
        return run_command(options, count, words);
    } catch (const cxxopts::exceptions::exception& error) {
        Findings findings;
        findings.add("command line", error.what());
        return report(usage_error, findings);
    }
}
