// The one program: each role is a subcommand.
#include <csignal>
#include <cxxopts.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include "common.hpp"
#include "control.hpp"
#include "front.hpp"
#include "side.hpp"

using namespace calicostall;

namespace {

constexpr int usage_mishap = 2, run_mishap = 1;

std::atomic<bool> stop_asked{false}, settings_asked{false};

void take_signal(int signal) {
    if (signal == SIGTERM || signal == SIGINT) stop_asked = true;
    if (signal == SIGHUP) settings_asked = true;
}

int report(int code, const Findings& findings) {
    for (const Finding& finding : findings.list()) fmt::print(stderr, "calicostall: {}: {}\n", finding.place, finding.text);
    return code;
}

std::string settings_path(const cxxopts::ParseResult& given) {
    if (given.count("settings")) return given["settings"].as<std::string>();
    const char* path = std::getenv("CALICOSTALL_BOOT");
    return path ? path : "/etc/calicostall/settings.json";
}

Props load_props(const std::string& path, Findings& findings, std::string* text_read = nullptr) {
    std::optional<std::string> text = read_file(path);
    if (!text) {
        findings.add(path, "cannot be read");
        return {};
    }
    if (text_read) *text_read = *text;
    return parse_props(*text, findings);
}

// Runs a role until it is told to stop; the settings file is looked at again on SIGHUP and now and then.
template <class Role>
int run_role(Role& role, Loop& loop, const std::string& path, std::string text) {
    if (Findings findings = role.open(); !findings.empty()) return report(run_mishap, findings);
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
            Props props = load_props(path, findings, &fresh);
            if (fresh != text && findings.empty()) {
                text = fresh;
                log_line("process", "settings taken again");
                role.take_props(props);
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
    load_props(path, findings);
    if (!findings.empty()) return report(run_mishap, findings);
    fmt::print("{}: sound\n", path);
    return 0;
}

int check_config(const std::string& path) {
    Findings findings;
    std::optional<std::string> text = read_file(path);
    if (!text) findings.add(path, "cannot be read");
    else parse_config(*text, findings);
    if (!findings.empty()) return report(run_mishap, findings);
    fmt::print("{}: sound\n", path);
    return 0;
}

}  // namespace

int main(int count, char** words) {
    cxxopts::Options options("calicostall", "A cluster scheduler for jobs.\n\nCommands: front, control, side, check-settings FILE, check-config FILE\n");
    options.add_options()("h,help", "show this text")("settings", "the settings file (else $CALICOSTALL_BOOT)", cxxopts::value<std::string>())(
        "heartbeat-ms", "control: how often the trusted daemon says that it is alive", cxxopts::value<std::int64_t>()->default_value("200"))(
        "timeout-ms", "control: how long to wait for it at first", cxxopts::value<std::int64_t>()->default_value("1000"))(
        "increment-ms", "control: how much longer after a false suspicion", cxxopts::value<std::int64_t>()->default_value("100"))(
        "hold-ms", "control: how long a worker keeps what runs there without news", cxxopts::value<std::int64_t>()->default_value("3000"))(
        "command", "", cxxopts::value<std::string>())("file", "", cxxopts::value<std::string>());
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
        std::string file = given.count("file") ? given["file"].as<std::string>() : "";
        if (command == "check-settings" || command == "check-config") {
            if (file.empty()) {
                findings.add(command, "needs a file");
                return report(usage_mishap, findings);
            }
            return command == "check-settings" ? check_settings(file) : check_config(file);
        }
        if (command != "front" && command != "control" && command != "side") {
            findings.add("command", command.empty() ? "is missing; see --help" : fmt::format("'{}' is unknown; see --help", command));
            return report(usage_mishap, findings);
        }
        std::string path = settings_path(given), text;
        Props props = load_props(path, findings, &text);
        if (findings.empty() && command == "front" && props.front.empty()) findings.add("bind_addrs.front", "is missing");
        if (findings.empty() && command != "front" && props.control.empty()) findings.add("bind_addrs.control", "is missing");
        if (!findings.empty()) return report(run_mishap, findings);
        std::signal(SIGTERM, take_signal);
        std::signal(SIGINT, take_signal);
        std::signal(SIGHUP, take_signal);
        std::signal(SIGPIPE, SIG_IGN);
        auto loop = std::make_unique<Loop>();
        if (command == "front") {
            FrontProps front;
            front.machine = props;
            auto role = std::make_unique<Front>(front, *loop);
            return run_role(*role, *loop, path, text);
        }
        if (command == "control") {
            ControlProps control;
            control.machine = props;
            auto whole = [&](const char* name, std::int64_t least, std::int64_t most) {
                std::int64_t number = given[name].as<std::int64_t>();
                if (number < least || number > most) findings.add(fmt::format("--{}", name), fmt::format("must lie between {} and {}", least, most));
                return milliseconds(number);
            };
            control.detector.heartbeat = whole("heartbeat-ms", 10, 60000);
            control.detector.timeout = whole("timeout-ms", 50, 60000);
            control.detector.increment = whole("increment-ms", 0, 60000);
            control.detector.timeout_most = std::max(control.detector.timeout * 3, seconds(3));
            control.board.hold = std::min(whole("hold-ms", 500, 600000), props.hold_most);
            if (control.detector.timeout < 2 * control.detector.heartbeat) findings.add("--timeout-ms", "must be at least twice --heartbeat-ms");
            if (!findings.empty()) return report(usage_mishap, findings);
            control.board.status_kept = props.status_kept;
            control.board.stop_grace = props.stop_grace;
            control.board.placer.remote_factor = props.remote_factor;
            auto role = std::make_unique<Control>(control, *loop);
            return run_role(*role, *loop, path, text);
        }
        SideProps side;
        side.machine = props;
        auto role = std::make_unique<Side>(side, *loop);
        return run_role(*role, *loop, path, text);
    } catch (const cxxopts::exceptions::exception& mishap) {
        findings.add("command line", mishap.what());
        return report(usage_mishap, findings);
    }
}
