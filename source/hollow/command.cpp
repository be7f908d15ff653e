#include "hollow/command.hpp"

#include <unistd.h>

#include <csignal>

#include "hollow/daemon_settings.hpp"
#include "hollow/load_simulator.hpp"
#include "hollow/result_fit.hpp"
#include "shared/settings/file.hpp"

namespace calicostall {

void LoadSimulatorCommand::add_options(cxxopts::Options& options) {
    options.add_options("hollow")("folder", "hollow: where NAME.json, NAME.pid and NAME.log of the daemons lie",
                                  cxxopts::value<std::string>()->default_value("target/hollow"))(
        "prepare", "hollow: write the daemons' settings into the folder and end")(
        "step", "hollow: play this step only (from 1; 0: all)", cxxopts::value<std::int64_t>()->default_value("0"))(
        "commit", "hollow: the name of the sources, for the results",
        cxxopts::value<std::string>()->default_value("unknown"))(
        "of", "hollow: fit a line of this number, as owner.cpu_share, through the results in FILE",
        cxxopts::value<std::string>())("over", "hollow: over this number, as step.workers",
                                       cxxopts::value<std::string>()->default_value("step.workers"));
}

int LoadSimulatorCommand::run() {
    const std::optional<std::string> text = read_file(path_);
    if (!text) findings_.add(path_, "cannot be read");
    if (!findings_.empty()) return report(usage_error);
    return arguments_.count("of") ? fit_line(*text) : run_experiment(*text);
}

int LoadSimulatorCommand::report(int status) const {
    for (const Finding& finding : findings_.list())
        fmt::print(stderr, "calicostall: {}: {}\n", finding.location, finding.text);
    return status;
}

int LoadSimulatorCommand::fit_line(const std::string& text) {
    const std::string over = option("over");
    const std::string of = option("of");
    const LinearFit fit = fit_result_lines(text, over, of, findings_);
    if (!findings_.empty()) return report(usage_error);
    fmt::print("{} over {}: {:.6g} each (+- {:.2g}), {:.6g} at zero, R2 {:.4f}, {} points\n", of, over, fit.slope,
               fit.slope_error, fit.intercept, fit.r_squared, fit.points);
    return 0;
}

int LoadSimulatorCommand::run_experiment(const std::string& text) {
    Experiment experiment = parse_experiment(text, findings_);
    const std::int64_t only_step = arguments_["step"].as<std::int64_t>();
    if (findings_.empty() && (only_step < 0 || only_step > std::int64_t(experiment.steps.size())))
        findings_.add("--step", fmt::format("must lie between 1 and {}", experiment.steps.size()));
    if (!findings_.empty()) return report(usage_error);
    if (only_step > 0) experiment.steps = {experiment.steps[size_t(only_step - 1)]};
    const std::string folder = option("folder");
    if (arguments_.count("prepare")) {
        findings_ = write_daemon_settings(experiment, folder);
        return findings_.empty() ? 0 : report(run_error);
    }
    std::signal(SIGPIPE, SIG_IGN);
    LoadSimulator simulator(experiment, folder, option("commit"), stdout);
    findings_ = simulator.run();
    std::fflush(stderr);
    _exit(findings_.empty() ? 0 : report(run_error));  // without the destructors: the simulator's threads run on
}

}  // namespace calicostall
