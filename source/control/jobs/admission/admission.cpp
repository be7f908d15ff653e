#include "control/jobs/admission/admission.hpp"

namespace calicostall {

namespace {

// A refused client comes again at the earliest and at the latest after so long: it tries a few times only, and the
// backlog may shrink sooner than the estimate says.
constexpr Micros min_retry_after = seconds(1);
constexpr Micros max_retry_after = seconds(3);
constexpr double max_wait_seconds = 1000000;

}  // namespace

void Admission::observe(const std::map<std::string, ServiceUsage>& usages, const Backlog& backlog) {
    for (const auto& [service, usage] : usages) {
        bool has_waiting = false;
        for (const auto& [queue, each] : backlog)
            has_waiting = has_waiting || (each.service == service && each.ready_tasks > 0);
        const CapacityFraction used = usage.used_fraction();
        utilization_by_service_[service].record(std::max(used.cpu, used.memory), has_waiting);
    }
}

Micros Admission::expected_wait(const std::string& service, std::int64_t priority, const ServiceUsage& usage,
                                const Backlog& backlog) const {
    double cpu = 0;
    double memory = 0;
    for (const auto& [queue, each] : backlog) {
        if (each.service != service || each.priority > priority) continue;
        cpu += each.cpu_work;
        memory += each.memory_work;
    }
    const double utilization = utilization_of(service);
    const double by_cpu = usage.capacity_cpu > 0 ? cpu / (double(usage.capacity_cpu) * utilization) : 0;
    const double by_memory = usage.capacity_memory > 0 ? memory / (double(usage.capacity_memory) * utilization) : 0;
    return Micros(std::min(max_wait_seconds, std::max(by_cpu, by_memory)) * 1e6);
}

double Admission::utilization_of(const std::string& service) const {
    auto found = utilization_by_service_.find(service);
    return found == utilization_by_service_.end() ? ServiceUtilization().utilization() : found->second.utilization();
}

/// The longest wait after which the job is still worth its capacity.
Micros Admission::max_useful_wait(const AdmissionRequest& job) {
    // Nothing is earned beyond three times the target; what is let in so late would only keep others back.
    return std::max<Micros>(2 * job.target - job.critical_path, job.target / 2);
}

bool Admission::is_backlog_full(size_t job_count, const Backlog& backlog) const {
    if (job_count >= settings_.max_jobs) return true;
    std::int64_t ready_tasks = 0;
    for (const auto& [queue, each] : backlog)
        ready_tasks += each.ready_tasks;
    return ready_tasks >= settings_.max_pending_tasks;
}

AdmissionDecision Admission::admit(const AdmissionRequest& job, size_t job_count, const ServiceUsage& usage,
                                   const Backlog& backlog, Micros now) const {
    if (is_backlog_full(job_count, backlog)) return AdmissionDecision::backlog_full;
    if (now - leadership_began_at_ < settings_.warm_up) return AdmissionDecision::admitted;
    if (lag.value(now) > settings_.max_lag) return AdmissionDecision::leader_lagging;
    if (job.has_no_target) return AdmissionDecision::admitted;
    // A queue of which nothing waits is not shut out.
    auto own = backlog.find(job.queue);
    if (own == backlog.end() || own->second.pending_tasks == 0) return AdmissionDecision::admitted;
    const Micros wait = expected_wait(job.service, job.priority, usage, backlog);
    return wait <= max_useful_wait(job) ? AdmissionDecision::admitted : AdmissionDecision::insufficient_capacity;
}

Micros Admission::retry_after(const AdmissionRequest& job, const ServiceUsage& usage, const Backlog& backlog) const {
    // The backlog falls by a second each second, if nothing comes.
    const Micros excess = expected_wait(job.service, job.priority, usage, backlog) - max_useful_wait(job);
    return std::clamp(excess, min_retry_after, max_retry_after);
}

void Admission::begin_leadership(Micros now) {
    lag.clear();
    leadership_began_at_ = now;
}

}  // namespace calicostall
