// The lines of JSON that an experiment writes, one for each step. The names of their fields are published.
#pragma once
#include "hollow/daemon_probe.hpp"
#include "hollow/in_process_run.hpp"
#include "hollow/simulated_clients.hpp"
#include "hollow/simulated_fleet.hpp"

namespace calicostall {

// All counters at one moment.
struct Measurement {
    Micros at = 0;
    std::vector<DaemonProbe> daemons;  // in the same order in each measurement
    TrafficByKind traffic;
    FleetCounters fleet;
    double simulator_cpu_s = 0;  // of this process
};

// What a step through daemons measured.
struct StepMeasurement {
    bool is_filled = false;  // as many long tasks as the step asks for were running
    Measurement before;
    Measurement after;
};

// One line for a step of an experiment, as measured in this process.
boost::json::object in_process_line(const Experiment& experiment, const std::string& commit, const LoadStep& step,
                                    const InProcessRun::Result& result, const InProcessRun& run);

// One line for a step of an experiment through daemons.
boost::json::object daemons_line(const Experiment& experiment, const std::string& commit, const LoadStep& step,
                                 const StepMeasurement& measurement, SimulatedClients& clients);

}  // namespace calicostall
