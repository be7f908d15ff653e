// The event queue of a simulation, ordered by time.
#pragma once
#include "common.hpp"

namespace calicostall {

// The end of a run that ends only when it is stopped, or whose end is unknown. A quarter of the range: sums with it
// don't overflow.
constexpr Micros no_end = std::numeric_limits<Micros>::max() / 4;

// Events of one time are processed in the order of their kinds. The subject of the first two kinds is a run's ID, of
// worker_joins an index of the proposed changes, of occurrence_due the index of a job, of the others that of a worker.
enum class SimulationEventKind {
    run_completes,
    run_terminates,  // it was stopped, or its worker's lease has expired
    worker_accepts_starts,
    worker_drains,
    worker_shuts_down,
    worker_joins,
    worker_lease_expires,  // nothing runs there any more
    occurrence_due,        // of a repeating job
};

struct SimulationEvent {
    Micros at = 0;
    SimulationEventKind kind = SimulationEventKind::run_completes;
    std::uint64_t subject = 0;
    auto operator<=>(const SimulationEvent&) const = default;
};

// Example: events.schedule({lease_expires_at, SimulationEventKind::worker_lease_expires, worker});
//          while (auto event = events.pop_until(now)) process(*event);
class SimulationEvents {
public:
    void schedule(const SimulationEvent& event) { events_.insert(event); }
    // Cancelling an event that isn't scheduled is no error.
    void cancel(const SimulationEvent& event) { events_.erase(event); }
    // The next event, if it is due by `now`.
    std::optional<SimulationEvent> pop_until(Micros now) {
        if (events_.empty() || events_.begin()->at > now) return {};
        SimulationEvent event = *events_.begin();
        events_.erase(events_.begin());
        return event;
    }
    bool empty() const { return events_.empty(); }
    // When the next event is due; there must be one.
    Micros next_at() const { return events_.begin()->at; }

private:
    std::set<SimulationEvent> events_;
};

}  // namespace calicostall
