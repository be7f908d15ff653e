// When the iterations of the daemon's event loop run: at once, after a moment that gathers what comes in, or by a timer
// when something is due. Owns that timer and how late it fires; what an iteration does is its client's matter.
#pragma once
#include "common.hpp"
#include "control/daemon/iteration_pacer.hpp"
#include "shared/http/event_loop.hpp"

namespace calicostall {

// All times are microseconds.
struct IterationSettings {
    // The iterations of one wake-up end after this time, or after so many; what remains waits for the next wake-up.
    Micros max_duration = milliseconds(20);
    size_t max_iterations = 8;
    IterationPacerSettings pacer;
};

// What the scheduler calls; always under the daemon's mutex.
class IterationClient {
public:
    virtual ~IterationClient() = default;
    // Everything that follows from a change or from time.
    virtual void run_iteration(Micros now) = 0;
    // Once after the iterations of a wake-up, however many there were: responses to those who wait.
    virtual void respond_to_waiting() = 0;
    // When an iteration is due by time alone.
    virtual Micros next_due_at(Micros now) = 0;
    // Whether this daemon proposes: it then gathers what comes in.
    virtual bool is_proposing() const = 0;
    // The timer has fired, `lateness` after it was due (negative: before).
    virtual void on_timer_fired(Micros lateness, Micros now) = 0;
};

// All functions are to be called under `mutex`, which the timer takes by itself.
// Example: IterationScheduler iterations(settings, loop, mutex, daemon); iterations.start(); iterations.request();
class IterationScheduler {
public:
    IterationScheduler(const IterationSettings& settings, EventLoop& loop, std::recursive_mutex& mutex,
                       IterationClient& client);

    // The first wake-up, by the loop.
    void start();

    // Runs iterations now, until no further one is requested; within an iteration it only requests a further one.
    void run();
    // For what comes in: runs iterations now, unless the last ones ended so recently that the next may gather more.
    void request();
    // Something has changed that the next iteration must see; doesn't cause one by itself.
    void mark_requested() { is_requested_ = true; }
    // The same as `run`, if an iteration is marked as requested.
    void run_if_requested();

    // How late the timer fires, smoothed.
    Micros timer_lateness() const { return timer_lateness_; }

private:
    void schedule(Micros now);
    Micros next_at(Micros now);
    bool is_timer_set_for(Micros at, Micros now) const;
    void on_timer(Micros due_at);

    IterationSettings settings_;
    EventLoop& loop_;
    std::recursive_mutex& mutex_;
    IterationClient& client_;
    IterationPacer pacer_;
    bool is_iterating_ = false;
    bool is_requested_ = false;
    Micros timer_due_at_ = 0;  // 0: not set
    Micros timer_lateness_ = 0;
};

}  // namespace calicostall
