/// Whether a new job is accepted: by what the workers can start in time, and by what the leader keeps up with. Pure.
#pragma once
#include <cmath>

#include "control/jobs/admission/leader_lag.hpp"
#include "control/jobs/admission/service_utilization.hpp"
#include "control/jobs/settings.hpp"
#include "control/jobs/state/backlog.hpp"
#include "control/jobs/state/service_usage.hpp"

namespace calicostall {

/// What a new job asks for.
struct AdmissionRequest {
    std::string queue, service;
    std::int64_t priority = 0;
    Micros critical_path = 0;    // the shortest time that it can take, in microseconds
    Micros target = 0;           // the time in which it earns its full value, in microseconds
    bool has_no_target = false;  // recurring or long-running: it earns by being accepted
};

enum class AdmissionDecision {
    admitted,
    insufficient_capacity,  ///< the work before it takes so long that it would earn too little
    leader_lagging,
    backlog_full
};

/// Decides on new jobs. Owns how far the services get used, and the leader's lag.
/// Example: if (admission.admit(job, job_count, usage, backlog, now) != AdmissionDecision::admitted)
///              retry_after = admission.retry_after(job, usage, backlog);
class Admission {
public:
    explicit Admission(const SchedulerSettings& settings) : settings_(settings) {}

    /// The scheduler reports to it what it measures.
    LeaderLag lag;

    /// Learns how far the services get used; to be called regularly.
    void observe(const std::map<std::string, ServiceUsage>& usages, const Backlog& backlog);

    /// How long work of this priority waits for its start, in microseconds, by the backlog of the queues that go before
    /// it.
    /// Example: expected_wait("match", 0, usage, backlog) == milliseconds(300)
    Micros expected_wait(const std::string& service, std::int64_t priority, const ServiceUsage& usage,
                         const Backlog& backlog) const;

    /// @param job_count  all jobs that are known, ended ones too
    /// @param now  monotonic time in microseconds
    AdmissionDecision admit(const AdmissionRequest& job, size_t job_count, const ServiceUsage& usage,
                            const Backlog& backlog, Micros now) const;

    /// After how many microseconds a refused job could earn again, by the backlog before it: between one second and a
    /// few.
    Micros retry_after(const AdmissionRequest& job, const ServiceUsage& usage, const Backlog& backlog) const;

    /// A leadership begins: its workers aren't known yet.
    void begin_leadership(Micros now);

private:
    static Micros max_useful_wait(const AdmissionRequest& job);
    bool is_backlog_full(size_t job_count, const Backlog& backlog) const;
    double utilization_of(const std::string& service) const;

    SchedulerSettings settings_;
    Micros leadership_began_at_ = 0;
    std::map<std::string, ServiceUtilization> utilization_by_service_;
};

}  // namespace calicostall
