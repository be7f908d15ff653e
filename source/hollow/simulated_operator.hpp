// The simulated operator: changes the configuration and measures how long until it is acknowledged and until every
// simulated front has it.
#pragma once
#include "hollow/load_generator.hpp"
#include "hollow/samples.hpp"
#include "hollow/simulator_loop.hpp"
#include "shared/discovery/leader_locator.hpp"

namespace calicostall {

// Counters and times of configuration changes; may be read on any thread.
struct OperatorStatistics {
    std::atomic<std::uint64_t> changes{0};            // acknowledged
    std::atomic<std::uint64_t> changes_refused{0};    // attempts without an acknowledgement; they are sent again
    std::atomic<std::uint64_t> revision{0};           // the last one that was acknowledged
    std::atomic<std::uint64_t> pending_revisions{0};  // acknowledged, but not yet with every front
    Samples config_ack_ms;
    Samples config_everywhere_ms;
    // Keeps the revision and the pending revisions.
    void clear();
};

// All methods but statistics() are to be called on the loop's thread.
class SimulatedOperator {
public:
    // Both must outlive it. `replicas`: "HOST:PORT" of all control daemons.
    SimulatedOperator(const Experiment& experiment, const std::vector<std::string>& replicas, SimulatorLoop& loop);

    // Starts the simulated fronts, which watch the configuration.
    void start();
    // The number of teams, each with a queue, in the configurations from now on.
    void set_teams(std::int64_t teams) { teams_ = teams; }
    // Sends a new configuration, unless the one before isn't acknowledged yet.
    void change_config();

    OperatorStatistics& statistics() { return statistics_; }

private:
    struct ConfigChange {
        std::uint64_t revision = 0;
        std::string text;
        Micros begun_at = 0;
        size_t attempts = 0;
    };

    // Sent to one control daemon after the other until one acknowledges it.
    void send(const ConfigChange& change);
    void on_response(const ConfigChange& change, const ClientResponse& response);
    void record_propagation();

    const Experiment& experiment_;
    SimulatorLoop& loop_;
    std::vector<std::unique_ptr<LeaderLocator>> fronts_;
    std::map<std::uint64_t, Micros> sent_at_by_revision_;  // those that are not with every front
    std::int64_t teams_ = 1;
    bool is_changing_ = false;
    OperatorStatistics statistics_;
};

}  // namespace calicostall
