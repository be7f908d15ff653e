#include "control/jobs/admission/admission.hpp"

namespace calicostall {

namespace {

// A refused client comes again at the earliest and at the latest after so long: it tries a few times only, and the
// backlog may shrink sooner than the estimate says.
constexpr Micros retry_least = seconds(1), retry_most = seconds(3);
constexpr Micros wait_most = seconds(1000000);

}  // namespace

void Admission::learn(const std::map<std::string, Load>& loads, const Backlog& backlog) {
    for (const auto& [service, load] : loads) {
        bool waiting = false;
        for (const auto& [queue, each] : backlog)
            waiting = waiting || (each.service == service && each.ready > 0);
        Share used = load.share_used();
        rates_[service].note(std::max(used.cpu, used.memory), waiting);
    }
}

Micros Admission::wait(const std::string& service, std::int64_t priority, const Load& load,
                       const Backlog& backlog) const {
    double cpu = 0, memory = 0;
    for (const auto& [queue, each] : backlog)
        if (each.service == service && each.priority <= priority) cpu += each.cpu, memory += each.memory;
    auto rate = rates_.find(service);
    double filled = rate == rates_.end() ? ServiceRate().filled() : rate->second.filled();
    double by_cpu = load.whole_cpu > 0 ? cpu / (double(load.whole_cpu) * filled) : 0;
    double by_memory = load.whole_memory > 0 ? memory / (double(load.whole_memory) * filled) : 0;
    return Micros(std::min(double(wait_most) / 1e6, std::max(by_cpu, by_memory)) * 1e6);
}

Micros Admission::longest_wait(const NewJob& job) {
    // Nothing is earned beyond three times the aim; what is let in so late would only keep others back.
    return std::max<Micros>(2 * job.aim - job.chain, job.aim / 2);
}

bool Admission::too_much_waits(size_t jobs, const Backlog& backlog) const {
    if (jobs >= settings_.jobs_most) return true;
    std::int64_t waiting = 0;
    for (const auto& [queue, each] : backlog)
        waiting += each.ready;
    return waiting >= settings_.tasks_most;
}

Admitted Admission::admit(const NewJob& job, size_t jobs, const Load& load, const Backlog& backlog, Micros now) const {
    if (too_much_waits(jobs, backlog)) return Admitted::full;
    if (now - begun_at_ < settings_.settle) return Admitted::yes;
    if (lag.value(now) > settings_.lag_most) return Admitted::behind;
    if (job.lasting) return Admitted::yes;
    auto own = backlog.find(job.queue);
    if (own == backlog.end() || own->second.tasks == 0)
        return Admitted::yes;  // nothing of its own waits: it is not shut out
    Micros waits = wait(job.service, job.priority, load, backlog);
    return waits <= longest_wait(job) ? Admitted::yes : Admitted::no_room;
}

Micros Admission::retry_after(const NewJob& job, const Load& load, const Backlog& backlog) const {
    // The backlog falls by a second each second, if nothing comes.
    Micros too_long = wait(job.service, job.priority, load, backlog) - longest_wait(job);
    return std::clamp(too_long, retry_least, retry_most);
}

void Admission::begin(Micros now) {
    lag.clear();
    begun_at_ = now;
}

}  // namespace calicostall
