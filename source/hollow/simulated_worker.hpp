// A simulated worker: it obeys the protocol of a worker and does no work. Pure: the time is passed in.
#pragma once
#include <boost/json.hpp>

#include "common.hpp"
#include "hollow/gang_registry.hpp"
#include "hollow/simulated_job_spec.hpp"
#include "shared/wire/agent_poll_messages.hpp"

namespace calicostall {

// One worker: it responds to /run-start, /run-stop and /hold as a real one would, and its tasks end as time passes.
// Owns its runs, their ends until these are acknowledged, its lease and its fence.
class SimulatedWorker {
public:
    struct Reply {
        int code = 200;
        std::string body;
    };
    using StartCallback = std::function<void(const std::string& task, Micros now)>;

    // `gang_timeout`: how long a member waits for the others of its gang, microseconds.
    explicit SimulatedWorker(GangRegistry& gangs, Micros gang_timeout = seconds(3))
        : gangs_(gangs), gang_timeout_(gang_timeout) {}
    StartCallback on_start;  // called at the first start of a run

    std::int64_t clock_ms(Micros now) const { return now / 1000; }
    size_t running() const { return tasks_.size(); }
    std::uint64_t starts() const { return starts_; }
    // Runs that ended with an outcome: done, stopped, lapsed, or of a gang broken or alone.
    std::uint64_t ends(const std::string& outcome) const;
    std::uint64_t ends_other_than_done() const;
    // Whether there are ends with a higher number.
    bool has_unacknowledged_ends(std::uint64_t acknowledged_end) const {
        return !finished_.empty() && finished_.back().number > acknowledged_end;
    }

    // Handles a request. Example: worker.handle("/run-start", body, steady_now()).code == 200
    Reply handle(std::string_view path, const std::string& body, Micros now);
    // What runs and what ended, as an agent reports it.
    WorkerStatusReport status_report(Micros now) const;
    // The same as the response to /hold.
    Reply status_reply(Micros now) const;
    // Ends the runs whose time has come.
    void advance(Micros now);

private:
    struct Task {
        std::uint32_t run = 0;
        SimulatedJobSpec spec;
        std::string gang;
        Micros started_at = 0;
        Micros work_started_at(const GangRegistry& gangs) const {
            return gang.empty() ? started_at : gangs.started_at(gang);
        }
    };
    struct FinishedTask {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string outcome;
    };

    // How a run ends at this time; nullptr if it goes on. `work_started_at`: -1 while members of its gang are missing.
    const char* outcome_of(const Task& task, Micros work_started_at, Micros now) const;
    // When a run that goes on has to be checked again.
    static Micros next_check_of(const Task& task, Micros work_started_at, Micros now);
    void extend_lease(const boost::json::object& object);
    Reply refuse(const char* reason, Micros now) const;
    Reply start(const boost::json::object& object, Micros now);
    Reply stop(const boost::json::object& object, Micros now);
    void mark_run_ended(const std::string& name, std::uint32_t run);
    void end(std::map<std::string, Task>::iterator task, const char* outcome);

    GangRegistry& gangs_;
    Micros gang_timeout_;
    std::uint64_t fence_ = 0;  // the highest that was seen
    std::uint64_t last_end_number_ = 0;
    std::uint64_t starts_ = 0;
    std::int64_t lease_expires_ms_ = 0;
    Micros next_advance_at_ = 0;
    std::map<std::string, Task> tasks_;
    std::deque<FinishedTask> finished_;
    std::map<std::string, std::uint32_t> last_ended_runs_;  // by task, the highest run
    std::deque<std::string> ended_tasks_;                   // in the order of their ends
    std::map<std::string, std::uint64_t> ends_;             // by outcome
};

}  // namespace calicostall
