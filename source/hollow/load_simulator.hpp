// The load simulator of `calicostall hollow`: real agents over simulated workers, simulated clients and a simulated
// operator, in one process. Runs an experiment and writes a line of JSON for each of its steps.
#pragma once
#include "hollow/result_lines.hpp"

namespace calicostall {

// Its threads run on until the process ends, so it must not be destroyed after run() was called for daemons.
class LoadSimulator {
public:
    // `commit`: the name of the sources, for the results. `out`: where the lines are written. The experiment and the
    // stream must outlive it.
    LoadSimulator(const Experiment& experiment, std::string folder, std::string commit, std::FILE* out);

    // Runs all steps. Returns what kept it from measuring.
    // Example: LoadSimulator(experiment, "target/hollow", "2357ef0", stdout).run().empty()
    Findings run();

private:
    void run_in_process();
    Findings run_through_daemons();
    void open_simulated_cluster();
    void run_step(const LoadStep& step);
    void add_workers(std::int64_t count);
    // Submits long tasks until as many as the step asks for were submitted, and waits until they run. Returns whether
    // they do.
    bool fill(const LoadStep& step);
    FleetCounters fleet_counters() const;
    Measurement measure() const;
    void write_line(const boost::json::object& line);

    const Experiment& experiment_;
    std::string folder_;
    std::string commit_;
    std::FILE* out_;
    GangRegistry gangs_;
    std::unique_ptr<SimulatedClients> clients_;
    std::vector<std::unique_ptr<SimulatedFleet>> fleets_;
    std::int64_t workers_ = 0;     // added so far
    std::int64_t long_tasks_ = 0;  // submitted so far, also by earlier steps
};

}  // namespace calicostall
