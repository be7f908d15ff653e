#include "hollow/load_simulator.hpp"

#include <unistd.h>

#include "shared/settings/address.hpp"
#include "shared/settings/file.hpp"
#include "shared/wire/call_messages.hpp"

namespace calicostall {

namespace {

constexpr Micros check_interval = milliseconds(20);
constexpr Micros config_timeout = seconds(20);
constexpr Micros fill_timeout = seconds(60);
constexpr Micros settle_time = seconds(2);  // after workers were added and after the load has ended
constexpr Micros long_batch_interval = milliseconds(100);
// A step counts as filled once this share of its long tasks runs.
constexpr double filled_share = 0.98;

// Waits until `is_done` holds; returns whether it does within the time.
template <class IsDone>
bool wait_until(Micros timeout, IsDone is_done) {
    for (const Micros end = steady_now() + timeout; steady_now() < end;) {
        if (is_done()) return true;
        const Micros pause = std::min(check_interval, std::max<Micros>(1, end - steady_now()));
        std::this_thread::sleep_for(std::chrono::microseconds(pause));
    }
    return is_done();
}

void sleep_during(Micros time) {
    wait_until(time, [] { return false; });
}

}  // namespace

LoadSimulator::LoadSimulator(const Experiment& experiment, std::string folder, std::string commit, std::FILE* out)
    : experiment_(experiment), folder_(std::move(folder)), commit_(std::move(commit)), out_(out) {}

Findings LoadSimulator::run() {
    if (experiment_.target != LoadTarget::in_process) return run_through_daemons();
    run_in_process();
    return {};
}

void LoadSimulator::run_in_process() {
    InProcessRun run(experiment_);
    for (const LoadStep& step : experiment_.steps) {
        const InProcessRun::Result result = run.run_step(step);
        write_line(in_process_line(experiment_, commit_, step, result, run));
    }
}

Findings LoadSimulator::run_through_daemons() {
    Findings findings;
    open_simulated_cluster();
    if (!wait_until(config_timeout, [&] { return clients_->operator_statistics().revision > 0; })) {
        findings.add("controls", "no configuration was acknowledged within 20 s");
        return findings;
    }
    for (const LoadStep& step : experiment_.steps)
        run_step(step);
    return findings;
}

void LoadSimulator::open_simulated_cluster() {
    clients_ = std::make_unique<SimulatedClients>(experiment_);
    for (std::int64_t thread = 0; thread < experiment_.threads; ++thread)
        fleets_.push_back(std::make_unique<SimulatedFleet>(experiment_, gangs_));
    for (auto& fleet : fleets_)
        fleet->open();
    clients_->open();
    std::int64_t teams = 1;
    for (const LoadStep& step : experiment_.steps)
        teams = std::max(teams, step.teams);
    clients_->set_config(teams);
}

void LoadSimulator::run_step(const LoadStep& step) {
    add_workers(step.workers);
    sleep_during(settle_time);
    StepMeasurement measurement;
    measurement.is_filled = fill(step);
    clients_->set_load(step, true);
    sleep_during(step.warm_up);
    clients_->clear_statistics();
    measurement.before = measure();
    sleep_during(step.duration);
    measurement.after = measure();
    write_line(daemons_line(experiment_, commit_, step, measurement, *clients_));
    clients_->set_load(step, false);
    sleep_during(settle_time);
}

void LoadSimulator::add_workers(std::int64_t count) {
    for (; workers_ < count; ++workers_) {
        SimulatedFleet& fleet = *fleets_[size_t(workers_) % fleets_.size()];
        fleet.add(workers_, [this](const std::string& task, Micros now) { clients_->record_start(task, now); });
    }
}

bool LoadSimulator::fill(const LoadStep& step) {
    while (long_tasks_ < step.running) {
        const std::int64_t tasks = LoadGenerator::long_batch_size(step, step.running - long_tasks_);
        long_tasks_ += tasks;
        clients_->submit_long(step, tasks);
        sleep_during(long_batch_interval);
    }
    return wait_until(fill_timeout,
                      [&] { return double(fleet_counters().running) >= filled_share * double(step.running); });
}

FleetCounters LoadSimulator::fleet_counters() const {
    FleetCounters sum;
    for (const auto& fleet : fleets_)
        sum += fleet->counters();
    return sum;
}

Measurement LoadSimulator::measure() const {
    Measurement measurement;
    measurement.fleet = fleet_counters();
    for (const auto& fleet : fleets_)
        fleet->loop().add_traffic(measurement.traffic);
    clients_->loop().add_traffic(measurement.traffic);
    auto probe = [&](const char* role, const std::vector<std::string>& addresses) {
        for (size_t index = 0; index < addresses.size(); ++index) {
            const std::string name = fmt::format("{}-{}", role, index + 1);
            measurement.daemons.push_back(DaemonProbe::read(folder_, name, addresses[index]));
        }
    };
    probe("control", experiment_.controls);
    probe("front", experiment_.fronts);
    measurement.simulator_cpu_s = read_process_usage(getpid()).cpu_s;
    measurement.at = steady_now();
    return measurement;
}

void LoadSimulator::write_line(const boost::json::object& line) {
    fmt::print(out_, "{}\n", boost::json::serialize(line));
    std::fflush(out_);
}

}  // namespace calicostall
