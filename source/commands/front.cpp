#include "front.hpp"

#include "commands/commands.hpp"
#include "commands/roles.hpp"

namespace calicostall {

int front_command(const cxxopts::ParseResult& given) {
    Findings findings;
    std::string path = settings_path(given), text;
    FrontSettings settings;
    settings.machine = load_role_settings(path, "front", &Settings::front, findings, text);
    if (!findings.empty()) return report(run_error, findings);
    auto loop = std::make_unique<Loop>();
    auto role = std::make_unique<Front>(settings, *loop);
    return run_role(actions_of(*role), *loop, path, text);
}

}  // namespace calicostall
