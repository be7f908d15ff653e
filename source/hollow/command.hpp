// The command `calicostall hollow`: writes the settings of daemons, runs an experiment with the load simulator, or fits
// a line through results.
#pragma once
#include <cxxopts.hpp>

#include "common.hpp"
#include "shared/diagnostics/finding.hpp"

namespace calicostall {

// Example: return LoadSimulatorCommand("workers.json", arguments).run();
class LoadSimulatorCommand {
public:
    // `path`: of an experiment file or, with --of, of results. The arguments must outlive the command.
    LoadSimulatorCommand(std::string path, const cxxopts::ParseResult& arguments)
        : path_(std::move(path)), arguments_(arguments) {}

    static void add_options(cxxopts::Options& options);
    // Returns the exit status. Ends the process after an experiment, whose threads run on.
    int run();

private:
    static constexpr int usage_error = 2;
    static constexpr int run_error = 1;

    int report(int status) const;
    int fit_line(const std::string& text);
    int run_experiment(const std::string& text);
    std::string option(const char* name) const { return arguments_[name].as<std::string>(); }

    std::string path_;
    const cxxopts::ParseResult& arguments_;
    Findings findings_;
};

}  // namespace calicostall
