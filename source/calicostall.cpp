// The one program: each role is a subcommand.
#include <sys/resource.h>
#include <unistd.h>
#include <csignal>
#include <cxxopts.hpp>

#include "common.hpp"
#include "control/daemon/control.hpp"
#include "forecast/demand.hpp"
#include "front.hpp"
#include "hollow/command.hpp"
#include "preview/command.hpp"
#include "side/side.hpp"

using namespace calicostall;

namespace {

constexpr int usage_error = 2, run_error = 1;

std::atomic<bool> stop_asked{false}, settings_asked{false};

void take_signal(int signal) {
    if (signal == SIGTERM || signal == SIGINT) stop_asked = true;
    if (signal == SIGHUP) settings_asked = true;
}

int report(int code, const Findings& findings) {
    for (const Finding& finding : findings.list())
        fmt::print(stderr, "calicostall: {}: {}\n", finding.place, finding.text);
    return code;
}

std::string settings_path(const cxxopts::ParseResult& given) {
    if (given.count("settings")) return given["settings"].as<std::string>();
    const char* path = std::getenv("CALICOSTALL_BOOT");
    return path ? path : "/etc/calicostall/settings.json";
}

Settings load_settings(const std::string& path, Findings& findings, std::string* text_read = nullptr) {
    std::optional<std::string> text = read_file(path);
    if (!text) {
        findings.add(path, "cannot be read");
        return {};
    }
    if (text_read) *text_read = *text;
    return parse_settings(*text, findings);
}

// Runs a role until it is told to stop; the settings file is looked at again on SIGHUP and now and then.
template <class Role>
int run_role(Role& role, Loop& loop, const std::string& path, std::string text) {
    if (Findings findings = role.open(); !findings.empty()) return report(run_error, findings);
    bool leaving = false;
    Micros next_look = steady_now() + seconds(2);
    std::function<void()> watch = [&] {
        if (stop_asked && !leaving) {
            leaving = true;
            role.leave([] {
                log_line("process", "ends");
                std::fflush(stderr);
                _exit(0);
            });
        }
        if (settings_asked.exchange(false) || steady_now() >= next_look) {
            next_look = steady_now() + seconds(2);
            Findings findings;
            std::string fresh;
            Settings settings = load_settings(path, findings, &fresh);
            if (fresh != text && findings.empty()) {
                text = fresh;
                log_line("process", "settings taken again");
                role.take_settings(settings);
            } else if (fresh != text) {
                text = fresh;
                log_line("process", "changed settings are not taken: {}", findings.text());
            }
        }
        loop.after(milliseconds(200), watch);
    };
    loop.after(milliseconds(200), watch);
    loop.run();
    return 0;
}

int check_settings(const std::string& path) {
    Findings findings;
    load_settings(path, findings);
    if (!findings.empty()) return report(run_error, findings);
    fmt::print("{}: sound\n", path);
    return 0;
}

int check_config(const std::string& path) {
    Findings findings;
    std::optional<std::string> text = read_file(path);
    if (!text)
        findings.add(path, "cannot be read");
    else
        parse_config(*text, findings);
    if (!findings.empty()) return report(run_error, findings);
    fmt::print("{}: sound\n", path);
    return 0;
}

// Prints what the queues will need, and how past forecasts did against the queues that followed.
int forecast(const std::vector<std::string>& files, const ForecastSettings& settings) {
    Findings findings;
    History history;
    for (const std::string& file : files) {
        std::optional<std::string> text = read_file(file);
        if (!text)
            findings.add(file, "cannot be read");
        else
            read_history(*text, file, history, findings);
    }
    if (findings.empty() && history.empty())
        findings.add("history", "no line of it in these files; was control run with --history-s?");
    if (!findings.empty()) return report(usage_error, findings);
    Forecast next = forecast_demand(history, history.last + 1, settings);
    double minutes = double(history.length) / 60e6;
    fmt::print(
        "history: {} queues, {} spans of {:.2f} minutes, a fleet of {:.1f} accelerators (8 cores count as one)\n\n",
        history.queues.size(), history.last - history.first + 1, minutes, next.fleet);
    fmt::print("{:<44} {:<8} {:>12} {:>12} {:>12}\n", "accelerators needed by queue", "kind", "next span", "last span",
               "at most");
    size_t idle = 0;
    for (const QueueForecast& queue : next.queues) {
        const auto& spans = history.queues.at(queue.queue).spans;
        if (std::all_of(spans.begin(), spans.end(), [](const auto& each) { return each.second.arrived <= 0; })) {
            ++idle;
            continue;
        }
        fmt::print("{:<44} {:<8} {:>12.2f} {:>12.2f} {:>12.2f}\n", queue.queue, queue.urgent ? "urgent" : "can wait",
                   queue.mean.front(), queue.mean.back(), *std::max_element(queue.upper.begin(), queue.upper.end()));
    }
    if (idle) fmt::print("{} queues had no demand in this time\n", idle);
    fmt::print("\nurgent work, at most:     {:.2f} accelerators within {} spans\n",
               *std::max_element(next.urgent_upper.begin(), next.urgent_upper.end()), settings.ahead);
    fmt::print("work that can wait, mean: {:.2f} accelerators within {} spans\n",
               *std::max_element(next.waiting_mean.begin(), next.waiting_mean.end()), settings.ahead);
    if (next.fleet <= 0)
        fmt::print("no fleet is known, so nothing is said of whether it is enough\n");
    else if (next.warns)
        fmt::print(
            "WARNING: in {} spans ({:.1f} minutes) demand reaches {:.0f}% of the fleet; urgent work is then expected "
            "to wait\n",
            next.first_warned, double(next.first_warned) * minutes, 100 * next.pressure[next.first_warned - 1]);
    else
        fmt::print("no warning: demand stays below {:.0f}% of the fleet\n", 100 * settings.pressure);
    Backtest past = check_past(history, settings);
    fmt::print(
        "\npast forecasts against later queues: {} forecasts, {} of them warned, {} without urgent waiting after it; "
        "the next span was off by {:.0f}%\n",
        past.forecasts, past.warnings, past.false_warnings, 100 * past.mean_off);
    for (const Event& event : past.events) {
        if (event.warned_before)
            fmt::print("  span {}: urgent tasks waited {:.1f} task-seconds, warned {} spans before\n", event.span,
                       event.waited, *event.warned_before);
        else
            fmt::print("  span {}: urgent tasks waited {:.1f} task-seconds, NOT warned\n", event.span, event.waited);
    }
    fmt::print("{} times urgent work began to wait, {} of them warned of\n", past.events.size(),
               past.events.size() - past.missed());
    return 0;
}

// Where a snapshot is asked for when no daemon was named.
std::vector<std::string> replicas_of(const std::string& path, Findings& findings) {
    Settings settings = load_settings(path, findings);
    std::vector<std::string> replicas = settings.seed_replicas();
    if (replicas.empty() && findings.empty()) findings.add("--control", "is missing, and the settings name no seeds");
    return replicas;
}
int preview(const cxxopts::ParseResult& given) {
    Findings findings;
    PreviewOptions options;
    options.snapshot = given["snapshot"].as<std::string>(), options.save = given["save"].as<std::string>();
    options.configuration = given["configuration"].as<std::string>(),
    options.change = given["change"].as<std::string>();
    options.check = given["check"].as<std::string>(), options.check_logged = given.count("check-logged") > 0;
    options.json = given.count("json") > 0, options.changed = given.count("changed") > 0;
    if (given.count("file")) options.logs = given["file"].as<std::vector<std::string>>();
    std::int64_t horizon = given["horizon-s"].as<std::int64_t>(), within = given["within-ms"].as<std::int64_t>();
    if (horizon < 1 || horizon > 86400) findings.add("--horizon-s", "must lie between 1 and 86400");
    if (within < 1 || within > 3600000) findings.add("--within-ms", "must lie between 1 and 3600000");
    options.forward.horizon = seconds(horizon), options.checking.within = milliseconds(within);
    bool checks = !options.check.empty() || options.check_logged;
    if (!checks && !options.logs.empty()) findings.add(options.logs.front(), "logs are for --check and --check-logged");
    if (!checks && options.snapshot.empty()) {
        if (given.count("control"))
            for (const std::string& address : given["control"].as<std::vector<std::string>>())
                options.control.push_back(checked_address(address, "--control", findings));
        else
            options.control = replicas_of(settings_path(given), findings);
    }
    if (!findings.empty()) return report(usage_error, findings);
    PreviewOutcome outcome = run_preview(options);
    fmt::print("{}", outcome.out);
    return report(int(outcome.status), outcome.findings);
}
// The planner's weights and ratios: each is an option of `control`, checked with its bounds.
PlannerSettings planner_options(const cxxopts::ParseResult& given, Findings& findings) {
    PlannerSettings settings;
    each_planner_option(settings, [&](const char* name, const char*, double& value) {
        if (given.count(name)) value = given[name].as<double>();
    });
    settings.check(findings);
    return settings;
}

}  // namespace

int main(int count, char** words) {
    cxxopts::Options options("calicostall",
                             "A cluster scheduler for jobs.\n\nCommands: front, control, side, check-settings FILE, "
                             "check-config FILE, forecast LOG..., preview [LOG...], hollow FILE\n");
    options.add_options()("h,help", "show this text")("settings", "the settings file (else $CALICOSTALL_BOOT)",
                                                      cxxopts::value<std::string>())(
        "heartbeat-ms", "control: how often the trusted daemon says that it is alive",
        cxxopts::value<std::int64_t>()->default_value("200"))("timeout-ms", "control: how long to wait for it at first",
                                                              cxxopts::value<std::int64_t>()->default_value("1000"))(
        "increment-ms", "control: how much longer after a false suspicion",
        cxxopts::value<std::int64_t>()->default_value("100"))(
        "hold-ms", "control: how long a worker keeps what runs there without news",
        cxxopts::value<std::int64_t>()->default_value("3000"))(
        "history-s", "control: write the queues' history to the log, a line a queue each so many seconds (0: no)",
        cxxopts::value<std::int64_t>()->default_value("0"))(
        "preview-reads", "control: let `preview` read snapshots of the record on the replicas' port")(
        "run-lines", "control: write what is accepted, starts and ends to the log, for `preview --check`")(
        "snapshot-lines-s",
        "control: write a snapshot to the log each so many seconds, for trials of `preview --check-logged` (0: no)",
        cxxopts::value<std::int64_t>()->default_value("0"))(
        "control",
        "preview: the replica to ask, HOST:PORT; may be given several times (else those of the settings' seeds)",
        cxxopts::value<std::vector<std::string>>())("snapshot", "preview: read this snapshot and ask nobody",
                                                    cxxopts::value<std::string>()->default_value(""))(
        "save", "preview: keep the snapshot in this file", cxxopts::value<std::string>()->default_value(""))(
        "configuration", "preview: a proposed configuration", cxxopts::value<std::string>()->default_value(""))(
        "change", "preview: proposed weights, ratios and workers", cxxopts::value<std::string>()->default_value(""))(
        "horizon-s", "preview: how far to look ahead", cxxopts::value<std::int64_t>()->default_value("60"))(
        "json", "preview: JSON instead of a table")(
        "check", "preview: compare this preview (made with --json) with what then ran",
        cxxopts::value<std::string>()->default_value(""))("check-logged",
                                                          "preview: the same for each snapshot in the logs")(
        "changed", "preview --check: the change went live at once")(
        "within-ms", "preview --check: how far off is still on time",
        cxxopts::value<std::int64_t>()->default_value("500"))("ahead", "forecast: how many spans ahead",
                                                              cxxopts::value<std::int64_t>()->default_value("6"))(
        "season", "forecast: how many spans make a season, as 24 for days of hours (0: none)",
        cxxopts::value<std::int64_t>()->default_value("0"))(
        "pressure", "forecast: the share of the fleet from which urgent work is expected to wait",
        cxxopts::value<double>()->default_value("0.85"))("command", "", cxxopts::value<std::string>())(
        "file", "", cxxopts::value<std::vector<std::string>>());
    HollowCommand::add_options(options);
    PlannerSettings usual;
    each_planner_option(usual, [&](const char* name, const char* what, double& value) {
        options.add_options("placement")(name, fmt::format("control: {}", what),
                                         cxxopts::value<double>()->default_value(fmt::format("{:g}", value)));
    });
    options.parse_positional({"command", "file"});
    options.positional_help("COMMAND [FILE]");
    Findings findings;
    try {
        cxxopts::ParseResult given = options.parse(count, words);
        if (given.count("help")) {
            fmt::print("{}", options.help());
            return 0;
        }
        std::string command = given.count("command") ? given["command"].as<std::string>() : "";
        std::string file = given.count("file") ? given["file"].as<std::vector<std::string>>().front() : "";
        if (command == "check-settings" || command == "check-config") {
            if (file.empty()) {
                findings.add(command, "needs a file");
                return report(usage_error, findings);
            }
            return command == "check-settings" ? check_settings(file) : check_config(file);
        }
        if (command == "forecast") {
            ForecastSettings settings;
            std::int64_t ahead = given["ahead"].as<std::int64_t>(), season = given["season"].as<std::int64_t>();
            settings.pressure = given["pressure"].as<double>();
            if (file.empty()) findings.add(command, "needs at least one log");
            if (ahead < 1 || ahead > 1000) findings.add("--ahead", "must lie between 1 and 1000");
            if (season < 0 || season > 100000) findings.add("--season", "must lie between 0 and 100000");
            if (!(settings.pressure > 0) || settings.pressure > 10)
                findings.add("--pressure", "must lie above 0 and at most 10");
            if (!findings.empty()) return report(usage_error, findings);
            settings.ahead = size_t(ahead);
            settings.season = size_t(season);
            settings.warm_up = std::max<size_t>(6, 2 * settings.season);
            return forecast(given["file"].as<std::vector<std::string>>(), settings);
        }
        if (command == "preview") return preview(given);
        if (command == "hollow") {
            if (file.empty()) {
                findings.add(command, "needs an experiment file, or results");
                return report(usage_error, findings);
            }
            return HollowCommand(file, given).run();
        }
        if (command != "front" && command != "control" && command != "side") {
            findings.add("command", command.empty() ? "is missing; see --help"
                                                    : fmt::format("'{}' is unknown; see --help", command));
            return report(usage_error, findings);
        }
        std::string path = settings_path(given), text;
        Settings settings = load_settings(path, findings, &text);
        if (findings.empty() && command == "front" && settings.front.empty())
            findings.add("bind_addrs.front", "is missing");
        if (findings.empty() && command != "front" && settings.control.empty())
            findings.add("bind_addrs.control", "is missing");
        if (!findings.empty()) return report(run_error, findings);
        std::signal(SIGTERM, take_signal);
        std::signal(SIGINT, take_signal);
        std::signal(SIGHUP, take_signal);
        std::signal(SIGPIPE, SIG_IGN);
        auto loop = std::make_unique<Loop>();
        if (command == "front") {
            FrontSettings front;
            front.machine = settings;
            auto role = std::make_unique<Front>(front, *loop);
            return run_role(*role, *loop, path, text);
        }
        if (command == "control") {
            ControlSettings control;
            control.machine = settings;
            auto whole = [&](const char* name, std::int64_t least, std::int64_t most) {
                std::int64_t number = given[name].as<std::int64_t>();
                if (number < least || number > most)
                    findings.add(fmt::format("--{}", name), fmt::format("must lie between {} and {}", least, most));
                return milliseconds(number);
            };
            control.detector.heartbeat = whole("heartbeat-ms", 10, 60000);
            control.detector.timeout = whole("timeout-ms", 50, 60000);
            control.detector.increment = whole("increment-ms", 0, 60000);
            control.detector.timeout_most = std::max(control.detector.timeout * 3, seconds(3));
            control.election.freeze_after = std::max(control.detector.timeout, control.election.freeze_after_min);
            control.preview_reads = given.count("preview-reads") > 0;
            control.run_lines = given.count("run-lines") > 0;
            control.snapshot_lines = whole("snapshot-lines-s", 0, 86400) * 1000;
            control.scheduler.history_span = whole("history-s", 0, 86400) * 1000;
            control.scheduler.hold = std::min(whole("hold-ms", 500, 600000), settings.hold_most);
            if (control.detector.timeout < 2 * control.detector.heartbeat)
                findings.add("--timeout-ms", "must be at least twice --heartbeat-ms");
            if (!findings.empty()) return report(usage_error, findings);
            control.scheduler.status_kept = settings.status_kept;
            control.scheduler.stop_grace = settings.stop_grace;
            control.scheduler.planner = planner_options(given, findings);
            control.scheduler.planner.remote_factor = settings.remote_factor;
            control.scheduler.planner.stop_grace = settings.stop_grace;
            control.scheduler.planner.restore = settings.restore;
            control.scheduler.planner.checkpoint_every = settings.checkpoint_every;
            if (!findings.empty()) return report(usage_error, findings);
            auto role = std::make_unique<Control>(control, *loop);
            return run_role(*role, *loop, path, text);
        }
        SideSettings side;
        side.machine = settings;
        auto role = std::make_unique<Side>(side, *loop);
        return run_role(*role, *loop, path, text);
    } catch (const cxxopts::exceptions::exception& error) {
        findings.add("command line", error.what());
        return report(usage_error, findings);
    }
}
