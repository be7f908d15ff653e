#include "hollow/command.hpp"

#include "commands/commands.hpp"
#include "commands/options.hpp"

namespace calicostall {

int hollow_command(const cxxopts::ParseResult& arguments) {
    if (std::optional<std::string> file = first_file(arguments)) return LoadSimulatorCommand(*file, arguments).run();
    Findings findings;
    findings.add("hollow", "needs an experiment file, or results");
    return report_findings(exit_usage_error, findings);
}

}  // namespace calicostall
