#include "control/daemon/control.hpp"

#include "commands/commands.hpp"
#include "commands/roles.hpp"

namespace calicostall {

int control_command(const cxxopts::ParseResult& given) {
    Findings findings;
    std::string path = settings_path(given), text;
    ControlSettings settings;
    settings.machine = load_role_settings(path, "control", &Settings::control, findings, text);
    if (!findings.empty()) return report(run_error, findings);
    auto whole = [&](const char* name, std::int64_t least, std::int64_t most) {
        std::int64_t number = given[name].as<std::int64_t>();
        if (number < least || number > most)
            findings.add(fmt::format("--{}", name), fmt::format("must lie between {} and {}", least, most));
        return milliseconds(number);
    };
    settings.detector.heartbeat = whole("heartbeat-ms", 10, 60000);
    settings.detector.timeout = whole("timeout-ms", 50, 60000);
    settings.detector.increment = whole("increment-ms", 0, 60000);
    settings.detector.timeout_most = std::max(settings.detector.timeout * 3, seconds(3));
    settings.election.freeze_after = std::max(settings.detector.timeout, settings.election.freeze_after_min);
    settings.preview_reads = given.count("preview-reads") > 0;
    settings.run_lines = given.count("run-lines") > 0;
    settings.snapshot_lines = whole("snapshot-lines-s", 0, 86400) * 1000;
    settings.scheduler.history_span = whole("history-s", 0, 86400) * 1000;
    settings.scheduler.hold = std::min(whole("hold-ms", 500, 600000), settings.machine.hold_most);
    if (settings.detector.timeout < 2 * settings.detector.heartbeat)
        findings.add("--timeout-ms", "must be at least twice --heartbeat-ms");
    if (!findings.empty()) return report(usage_error, findings);
    settings.scheduler.status_kept = settings.machine.status_kept;
    settings.scheduler.stop_grace = settings.machine.stop_grace;
    settings.scheduler.planner = planner_options(given, findings);
    settings.scheduler.planner.remote_factor = settings.machine.remote_factor;
    settings.scheduler.planner.stop_grace = settings.machine.stop_grace;
    settings.scheduler.planner.restore = settings.machine.restore;
    settings.scheduler.planner.checkpoint_every = settings.machine.checkpoint_every;
    if (!findings.empty()) return report(usage_error, findings);
    auto loop = std::make_unique<Loop>();
    auto role = std::make_unique<Control>(settings, *loop);
    return run_role(actions_of(*role), *loop, path, text);
}

}  // namespace calicostall
