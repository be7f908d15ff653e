// Whether a new job is taken: by what the workers can start, and by what the owner keeps up with. Pure.
#pragma once
#include <cmath>

#include "control/jobs/settings.hpp"
#include "control/jobs/state/backlog.hpp"
#include "control/jobs/state/load.hpp"

namespace calicostall {

// What a new job asks for.
struct NewJob {
    std::string queue, service;
    std::int64_t priority = 0;
    Micros chain = 0, aim = 0;  // its longest chain of work, and the time in which it earns everything
    bool lasting = false;       // timed or long-running: it earns by being handed in
};

enum class Admitted { yes, no_room, behind, full };

// The owner's own lateness: how late its timer comes, how long proposals stay open, how long plans stay unfinished.
class OwnLag {
public:
    void note_tick(Micros promised, Micros now) {
        if (promised > 0) late_ = std::max(late_ * 7 / 8, now - promised);
    }
    void proposed(Micros now) { open_.insert(now); }
    void committed(Micros at) {
        if (auto found = open_.find(at); found != open_.end()) open_.erase(found);
    }
    void plan_finished(bool finished, Micros now) {
        if (finished)
            behind_since_ = 0;
        else if (behind_since_ == 0)
            behind_since_ = now;
    }
    Micros value(Micros now) const {
        Micros lag = late_;
        if (!open_.empty()) lag = std::max(lag, (now - *open_.begin()) / 2);
        if (behind_since_ != 0) lag = std::max(lag, now - behind_since_);
        return lag;
    }
    void clear() { late_ = 0, behind_since_ = 0, open_.clear(); }

private:
    Micros late_ = 0, behind_since_ = 0;
    std::multiset<Micros> open_;
};

// How much of a service's room is really filled while work waits for it.
class ServiceRate {
public:
    void note(double share_used, bool waiting) {
        if (waiting) filled_ += 0.05 * (std::clamp(share_used, 0.3, 1.0) - filled_);
    }
    double filled() const { return filled_; }

private:
    double filled_ = 0.8;
};

class Admission {
public:
    explicit Admission(const SchedulerSettings& settings) : settings_(settings) {}
    OwnLag lag;

    // To be called regularly: learns how far the services' rooms get filled.
    void learn(const std::map<std::string, Load>& loads, const Backlog& backlog) {
        for (const auto& [service, load] : loads) {
            bool waiting = false;
            for (const auto& [queue, each] : backlog)
                waiting = waiting || (each.service == service && each.ready > 0);
            Share used = load.share_used();
            rates_[service].note(std::max(used.cpu, used.memory), waiting);
        }
    }
    // How long work of this priority waits for its start, by the backlog of the queues that go before it.
    // Example: wait("match", 0, load, backlog) == milliseconds(300)
    Micros wait(const std::string& service, std::int64_t priority, const Load& load, const Backlog& backlog) const {
        double cpu = 0, memory = 0;
        for (const auto& [queue, each] : backlog)
            if (each.service == service && each.priority <= priority) cpu += each.cpu, memory += each.memory;
        auto rate = rates_.find(service);
        double filled = rate == rates_.end() ? ServiceRate().filled() : rate->second.filled();
        double by_cpu = load.whole_cpu > 0 ? cpu / (double(load.whole_cpu) * filled) : 0;
        double by_memory = load.whole_memory > 0 ? memory / (double(load.whole_memory) * filled) : 0;
        return Micros(std::min(1e6, std::max(by_cpu, by_memory)) * 1e6);
    }
    Admitted admit(const NewJob& job, size_t jobs, const Load& load, const Backlog& backlog, Micros now) const {
        if (jobs >= settings_.jobs_most) return Admitted::full;
        std::int64_t waiting = 0;
        for (const auto& [queue, each] : backlog)
            waiting += each.ready;
        if (waiting >= settings_.tasks_most) return Admitted::full;
        if (now - begun_at_ < settings_.settle) return Admitted::yes;
        if (lag.value(now) > settings_.lag_most) return Admitted::behind;
        if (job.lasting) return Admitted::yes;
        auto own = backlog.find(job.queue);
        if (own == backlog.end() || own->second.tasks == 0)
            return Admitted::yes;  // nothing of its own waits: it is not shut out
        // Nothing is earned beyond three times the aim; what is let in so late would only keep others back.
        Micros most = std::max<Micros>(2 * job.aim - job.chain, job.aim / 2);
        return wait(job.service, job.priority, load, backlog) <= most ? Admitted::yes : Admitted::no_room;
    }
    void begin(Micros now) {
        lag.clear();
        begun_at_ = now;
    }

private:
    SchedulerSettings settings_;
    Micros begun_at_ = 0;
    std::map<std::string, ServiceRate> rates_;
};

}  // namespace calicostall
