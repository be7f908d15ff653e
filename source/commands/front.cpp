#include "front/front.hpp"

#include "commands/commands.hpp"
#include "commands/roles.hpp"

namespace calicostall {

int front_command(const cxxopts::ParseResult& arguments) {
    Findings findings;
    const std::string path = settings_path(arguments);
    SettingsFile file = load_role_settings(path, "front", &Settings::front_address, findings);
    if (!findings.empty()) return report_findings(exit_run_error, findings);
    FrontSettings settings;
    settings.machine = std::move(file.settings);
    auto loop = std::make_unique<EventLoop>();
    auto role = std::make_unique<Front>(settings, *loop);
    return run_role(actions_of(*role), *loop, path, std::move(file.text));
}

}  // namespace calicostall
