#include "control/daemon/control_daemon.hpp"

#include "commands/commands.hpp"
#include "commands/roles.hpp"

namespace calicostall {

namespace {

// Bounds of the options, in the unit that each one names.
constexpr std::int64_t max_minute_ms = 60000;
constexpr std::int64_t max_lease_ms = 600000;
constexpr std::int64_t max_day_s = 86400;

// Reads durations from the command line; one out of its bounds becomes a finding.
class DurationOptions {
public:
    DurationOptions(const cxxopts::ParseResult& arguments, Findings& findings)
        : arguments_(arguments), findings_(findings) {}

    // An option in milliseconds. Returns microseconds.
    Micros in_milliseconds(const char* name, std::int64_t minimum, std::int64_t maximum) const {
        return milliseconds(bounded(name, minimum, maximum));
    }
    // An option in seconds. Returns microseconds.
    Micros in_seconds(const char* name, std::int64_t minimum, std::int64_t maximum) const {
        return seconds(bounded(name, minimum, maximum));
    }

private:
    std::int64_t bounded(const char* name, std::int64_t minimum, std::int64_t maximum) const {
        const auto number = arguments_[name].as<std::int64_t>();
        if (number < minimum || number > maximum)
            findings_.add(fmt::format("--{}", name), fmt::format("must lie between {} and {}", minimum, maximum));
        return number;
    }

    const cxxopts::ParseResult& arguments_;
    Findings& findings_;
};

void read_options(const cxxopts::ParseResult& arguments, ControlSettings& settings, Findings& findings) {
    const DurationOptions durations(arguments, findings);
    settings.detector.heartbeat_interval = durations.in_milliseconds("heartbeat-ms", 10, max_minute_ms);
    settings.detector.timeout = durations.in_milliseconds("timeout-ms", 50, max_minute_ms);
    settings.detector.timeout_increment = durations.in_milliseconds("increment-ms", 0, max_minute_ms);
    settings.detector.max_timeout = std::max(settings.detector.timeout * 3, seconds(3));
    settings.election.suspension_threshold =
        std::max(settings.detector.timeout, settings.election.min_suspension_threshold);
    settings.snapshots.serves_previews = arguments.count("preview-reads") > 0;
    settings.logs_run_events = arguments.count("run-lines") > 0;
    settings.snapshots.log_interval = durations.in_seconds("snapshot-lines-s", 0, max_day_s);
    settings.scheduler.history_span = durations.in_seconds("history-s", 0, max_day_s);
    const Micros lease_duration = durations.in_milliseconds("hold-ms", 500, max_lease_ms);
    settings.scheduler.lease_duration = std::min(lease_duration, settings.machine.max_lease);
    if (settings.detector.timeout < 2 * settings.detector.heartbeat_interval)
        findings.add("--timeout-ms", "must be at least twice --heartbeat-ms");
}

// What the scheduler and its planner take over from the settings file and the planner's own options.
void read_scheduler_settings(const cxxopts::ParseResult& arguments, ControlSettings& settings, Findings& findings) {
    const Settings& machine = settings.machine;
    SchedulerSettings& scheduler = settings.scheduler;
    scheduler.status_retention = machine.status_retention;
    scheduler.stop_grace = machine.stop_grace;
    scheduler.planner = planner_options(arguments, findings);
    scheduler.planner.remote_factor = machine.remote_factor;
    scheduler.planner.stop_grace = machine.stop_grace;
    scheduler.planner.restore_time = machine.restore_duration;
    scheduler.planner.checkpoint_every = machine.checkpoint_interval;
}

}  // namespace

int control_command(const cxxopts::ParseResult& arguments) {
    Findings findings;
    const std::string path = settings_path(arguments);
    SettingsFile file = load_role_settings(path, "control", &Settings::control_address, findings);
    if (!findings.empty()) return report_findings(exit_run_error, findings);
    ControlSettings settings;
    settings.machine = std::move(file.settings);
    read_options(arguments, settings, findings);
    if (!findings.empty()) return report_findings(exit_usage_error, findings);
    read_scheduler_settings(arguments, settings, findings);
    if (!findings.empty()) return report_findings(exit_usage_error, findings);
    auto loop = std::make_unique<EventLoop>();
    auto role = std::make_unique<ControlDaemon>(settings, *loop);
    return run_role(actions_of(*role), *loop, path, std::move(file.text));
}

}  // namespace calicostall
