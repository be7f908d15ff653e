// The one program: each role is a subcommand.
#include "commands/commands.hpp"
#include "commands/options.hpp"
#include "commands/signals.hpp"

using namespace calicostall;

namespace {

// A subcommand by its name on the command line.
struct Command {
    std::string_view name;
    int (*run)(const cxxopts::ParseResult& arguments);
    bool is_role = false;
};

constexpr std::array<Command, 8> commands{{{"front", front_command, true},
                                           {"control", control_command, true},
                                           {"side", agent_command, true},
                                           {"check-settings", check_settings_command},
                                           {"check-config", check_config_command},
                                           {"forecast", forecast_command},
                                           {"preview", preview_command},
                                           {"hollow", hollow_command}}};

int run_command(cxxopts::Options& options, int argument_count, char** argument_values) {
    cxxopts::ParseResult arguments = options.parse(argument_count, argument_values);
    if (arguments.count("help")) {
        fmt::print("{}", options.help());
        return 0;
    }
    std::string name = arguments.count("command") ? arguments["command"].as<std::string>() : "";
    for (const Command& command : commands)
        if (command.name == name) {
            if (!command.is_role) restore_default_signals();
            return command.run(arguments);
        }
    Findings findings;
    findings.add("command", name.empty() ? "is missing; see --help" : fmt::format("'{}' is unknown; see --help", name));
    return report_findings(exit_usage_error, findings);
}

}  // namespace

int main(int argument_count, char** argument_values) {
    install_signal_handlers();
    cxxopts::Options options = command_line_options();
    try {
        return run_command(options, argument_count, argument_values);
    } catch (const cxxopts::exceptions::exception& error) {
        Findings findings;
        findings.add("command line", error.what());
        return report_findings(exit_usage_error, findings);
    }
}
