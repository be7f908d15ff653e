// The experiment file of `calicostall hollow`: what is tested, and under which loads.
#pragma once
#include "common.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

// One load, kept for a while. `workers` may rise from step to step and never falls.
struct LoadStep {
    std::int64_t workers = 10;
    double starts_per_s = 10;  // of tasks, by jobs that arrive at random
    std::int64_t running = 0;  // long tasks that run before the measurement begins
    std::int64_t gang = 1;     // the size of gangs; 1: none
    std::int64_t tasks_per_job = 10;
    std::int64_t teams = 1;    // each with a queue
    double changes_per_s = 0;  // of the configuration
    double queries_per_s = 0;  // of jobs' states, by clients
    Micros task_duration = milliseconds(500);
    Micros warm_up = seconds(3);    // with the load, before the measurement begins
    Micros duration = seconds(10);  // of the measurement
};

// What the load goes to.
enum class LoadTarget {
    front,       // clients call real fronts
    control,     // clients act as fronts and exchange frames with the leader
    in_process,  // no daemons: the scheduler runs in this process with a simulated clock
};

// A complete experiment: its steps run one after the other.
struct Experiment {
    std::string name;
    std::uint64_t seed = 1;
    LoadTarget target = LoadTarget::control;
    std::vector<std::string> controls;  // "HOST:PORT" on 127.0.0.0/8
    std::vector<std::string> fronts;    // the same
    std::int64_t first_port = 7720;     // of the daemons' port ranges
    std::int64_t zones = 8;
    std::int64_t threads = 2;           // that run agents
    std::int64_t simulated_fronts = 0;  // that only watch the cluster state and the configuration
    double cpu_share = 0;               // in process: the simulated clock runs on while the scheduler uses the CPU, as
                                        // if it had this share of a core; 0: it doesn't
    std::int64_t worker_cpu = 64000;    // milli-cores
    std::int64_t worker_memory = 262144;  // MB
    std::int64_t task_cpu = 100;
    std::int64_t task_memory = 64;
    std::int64_t spec_bytes = 200;  // of each job spec
    std::vector<LoadStep> steps;
};

// Whether it is "HOST:PORT" with a host of 127.0.0.0/8: experiments must not load any other machine.
// Example: is_loopback_address("127.77.0.11:8166") == true; is_loopback_address("10.0.0.4:8166") == false
bool is_loopback_address(const std::string& address);

// Reads and checks an experiment file; everything wrong becomes a finding. The result is only valid without findings.
// Example: Findings findings; Experiment experiment = parse_experiment(text, findings);
Experiment parse_experiment(std::string_view text, Findings& findings);

}  // namespace calicostall
