// What simulated clients and the simulated operator send, and what simulated workers report of themselves.
#pragma once
#include "common.hpp"
#include "hollow/experiment.hpp"
#include "hollow/simulated_worker.hpp"

namespace calicostall {

// Tasks of this duration only fill the workers; their starts are not measured.
constexpr Micros long_task_duration = seconds(3600);
// Long tasks are submitted in jobs of at most so many.
constexpr std::int64_t max_long_batch = 200;

// Jobs that arrive at random, the same ones for the same seed. The experiment must outlive it.
class LoadGenerator {
public:
    struct Job {
        std::string host;
        std::string path;
        std::string id;    // 16 hexadecimal digits
        std::string body;  // the call that submits it
        std::int64_t team = 0;
    };
    static constexpr const char* host = "hollow.example";
    static constexpr const char* service = "hollow";

    explicit LoadGenerator(const Experiment& experiment) : experiment_(experiment), random_(experiment.seed) {}

    // When the next job arrives after one at `last`; the largest time if the step starts none.
    Micros next_arrival(const LoadStep& step, Micros last);
    // A job of so many tasks, each of this duration; in gangs if the step asks for them.
    Job make_job(const LoadStep& step, std::int64_t tasks, Micros duration);
    // How many long tasks to submit next if so many are missing: whole gangs, at least one.
    static std::int64_t long_batch_size(const LoadStep& step, std::int64_t missing);
    // Team 0 and every third after it are urgent (priority 0).
    static std::int64_t priority(std::int64_t team) { return team % 3; }
    // A configuration with a queue for each team; every revision has another time-out.
    static std::string config_text(std::uint64_t revision, std::int64_t teams);
    // Its address is never opened.
    WorkerInfo worker_info(std::int64_t number) const;
    std::uint64_t random() { return random_(); }

private:
    const Experiment& experiment_;
    std::mt19937_64 random_;
};

}  // namespace calicostall
