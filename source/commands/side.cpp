#include "side/side.hpp"

#include "commands/commands.hpp"
#include "commands/roles.hpp"

namespace calicostall {

int side_command(const cxxopts::ParseResult& given) {
    Findings findings;
    std::string path = settings_path(given), text;
    SideSettings settings;
    settings.machine = load_role_settings(path, "control", &Settings::control, findings, text);
    if (!findings.empty()) return report(run_error, findings);
    auto loop = std::make_unique<Loop>();
    auto role = std::make_unique<Side>(settings, *loop);
    return run_role(actions_of(*role), *loop, path, text);
}

}  // namespace calicostall
