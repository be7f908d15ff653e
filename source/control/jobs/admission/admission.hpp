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
    Micros chain = 0, aim = 0;  // the least time that it takes, and the time in which it earns everything
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

// Example: if (admission.admit(job, jobs, load, backlog, now) != Admitted::yes) admission.retry_after(job, load,
// backlog)
class Admission {
public:
    explicit Admission(const SchedulerSettings& settings) : settings_(settings) {}
    OwnLag lag;

    // To be called regularly: learns how far the services' rooms get filled.
    void learn(const std::map<std::string, Load>& loads, const Backlog& backlog);
    // How long work of this priority waits for its start, by the backlog of the queues that go before it.
    // Example: wait("match", 0, load, backlog) == milliseconds(300)
    Micros wait(const std::string& service, std::int64_t priority, const Load& load, const Backlog& backlog) const;
    Admitted admit(const NewJob& job, size_t jobs, const Load& load, const Backlog& backlog, Micros now) const;
    // When a refused job could earn again, by the backlog before it: between one second and a few.
    Micros retry_after(const NewJob& job, const Load& load, const Backlog& backlog) const;
    void begin(Micros now);

private:
    // The longest wait after which the job is still worth its room.
    static Micros longest_wait(const NewJob& job);
    bool too_much_waits(size_t jobs, const Backlog& backlog) const;

    SchedulerSettings settings_;
    Micros begun_at_ = 0;
    std::map<std::string, ServiceRate> rates_;
};

}  // namespace calicostall
