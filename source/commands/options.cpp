#include "commands/options.hpp"

#include <cstdlib>

#include "hollow/command.hpp"
#include "shared/settings/file.hpp"

namespace calicostall {

namespace {

using Integer = std::int64_t;
using Text = std::string;
using Texts = std::vector<std::string>;

template <class Value>
std::shared_ptr<cxxopts::Value> value_of() {
    return cxxopts::value<Value>();
}

template <class Value>
std::shared_ptr<cxxopts::Value> value_with_default(const char* text) {
    return cxxopts::value<Value>()->default_value(text);
}

void add_common_options(cxxopts::Options& options) {
    auto add = options.add_options();
    add("h,help", "show this text");
    add("settings", "the settings file (else $CALICOSTALL_BOOT)", value_of<Text>());
}

void add_control_options(cxxopts::Options& options) {
    auto add = options.add_options();
    add("heartbeat-ms", "control: how often the trusted daemon says that it is alive",
        value_with_default<Integer>("200"));
    add("timeout-ms", "control: how long to wait for it at first", value_with_default<Integer>("1000"));
    add("increment-ms", "control: how much longer after a false suspicion", value_with_default<Integer>("100"));
    add("hold-ms", "control: how long a worker keeps what runs there without news",
        value_with_default<Integer>("3000"));
    add("history-s", "control: write the queues' history to the log, a line a queue each so many seconds (0: no)",
        value_with_default<Integer>("0"));
    add("preview-reads", "control: let `preview` read snapshots of the record on the replicas' port");
    add("run-lines", "control: write what is accepted, starts and ends to the log, for `preview --check`");
    add("snapshot-lines-s",
        "control: write a snapshot to the log each so many seconds, for trials of `preview --check-logged` (0: no)",
        value_with_default<Integer>("0"));
}

void add_preview_options(cxxopts::Options& options) {
    auto add = options.add_options();
    add("control",
        "preview: the replica to ask, HOST:PORT; may be given several times (else those of the settings' seeds)",
        value_of<Texts>());
    add("snapshot", "preview: read this snapshot and ask nobody", value_with_default<Text>(""));
    add("save", "preview: keep the snapshot in this file", value_with_default<Text>(""));
    add("configuration", "preview: a proposed configuration", value_with_default<Text>(""));
    add("change", "preview: proposed weights, ratios and workers", value_with_default<Text>(""));
    add("horizon-s", "preview: how far to look ahead", value_with_default<Integer>("60"));
    add("json", "preview: JSON instead of a table");
    add("check", "preview: compare this preview (made with --json) with what then ran", value_with_default<Text>(""));
    add("check-logged", "preview: the same for each snapshot in the logs");
    add("changed", "preview --check: the change went live at once");
    add("within-ms", "preview --check: how far off is still on time", value_with_default<Integer>("500"));
}

void add_forecast_options(cxxopts::Options& options) {
    auto add = options.add_options();
    add("ahead", "forecast: how many spans ahead", value_with_default<Integer>("6"));
    add("season", "forecast: how many spans make a season, as 24 for days of hours (0: none)",
        value_with_default<Integer>("0"));
    add("pressure", "forecast: the share of the fleet from which urgent work is expected to wait",
        value_with_default<double>("0.85"));
}

void add_positional_options(cxxopts::Options& options) {
    auto add = options.add_options();
    add("command", "", value_of<Text>());
    add("file", "", value_of<Texts>());
}

void add_planner_options(cxxopts::Options& options) {
    PlannerSettings defaults;
    each_planner_option(defaults, [&](const char* name, const char* description, double& value) {
        options.add_options("placement")(name, fmt::format("control: {}", description),
                                         cxxopts::value<double>()->default_value(fmt::format("{:g}", value)));
    });
}

}  // namespace

cxxopts::Options command_line_options() {
    cxxopts::Options options("calicostall",
                             "A cluster scheduler for jobs.\n\nCommands: front, control, side, check-settings FILE, "
                             "check-config FILE, forecast LOG..., preview [LOG...], hollow FILE\n");
    add_common_options(options);
    add_control_options(options);
    add_preview_options(options);
    add_forecast_options(options);
    add_positional_options(options);
    LoadSimulatorCommand::add_options(options);
    add_planner_options(options);
    options.parse_positional({"command", "file"});
    options.positional_help("COMMAND [FILE]");
    return options;
}

int report_findings(int status, const Findings& findings) {
    for (const Finding& finding : findings.list())
        fmt::print(stderr, "calicostall: {}: {}\n", finding.location, finding.text);
    return status;
}

std::string settings_path(const cxxopts::ParseResult& arguments) {
    if (arguments.count("settings")) return arguments["settings"].as<std::string>();
    const char* path = std::getenv("CALICOSTALL_BOOT");
    return path ? path : "/etc/calicostall/settings.json";
}

SettingsFile load_settings(const std::string& path, Findings& findings) {
    std::optional<std::string> text = read_file(path);
    if (!text) {
        findings.add(path, "cannot be read");
        return {};
    }
    Settings settings = parse_settings(*text, findings);
    return {std::move(settings), std::move(*text)};
}

std::optional<std::string> first_file(const cxxopts::ParseResult& arguments) {
    if (!arguments.count("file")) return std::nullopt;
    std::string file = arguments["file"].as<std::vector<std::string>>().front();
    if (file.empty()) return std::nullopt;
    return file;
}

PlannerSettings planner_options(const cxxopts::ParseResult& arguments, Findings& findings) {
    PlannerSettings settings;
    each_planner_option(settings, [&](const char* name, const char*, double& value) {
        if (arguments.count(name)) value = arguments[name].as<double>();
    });
    settings.check(findings);
    return settings;
}

}  // namespace calicostall
