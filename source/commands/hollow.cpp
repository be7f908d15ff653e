#include "hollow/command.hpp"

#include "commands/commands.hpp"
#include "commands/options.hpp"

namespace calicostall {

int hollow_command(const cxxopts::ParseResult& given) {
    std::string file = first_file(given);
    Findings findings;
    if (file.empty()) {
        findings.add("hollow", "needs an experiment file, or results");
        return report(usage_error, findings);
    }
    return HollowCommand(file, given).run();
}

}  // namespace calicostall
