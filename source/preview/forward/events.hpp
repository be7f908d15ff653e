// What is to happen in a forward simulation, in the order of time.
#pragma once
#include "common.hpp"

namespace calicostall {

// The end of a run that ends only when it is stopped, or of which nobody can say when it ends.
constexpr Micros no_end = std::numeric_limits<Micros>::max() / 4;

// Events of one moment are handled in the order of their kinds. The subject of the first two is a run, of
// worker_joins a place among the proposed changes, of time_due a job's place, of the others a worker's place.
enum class ForwardEventKind {
    run_ends,
    run_over,  // stopped, or nothing can run there any more
    worker_opens,
    worker_drains,
    worker_leaves,
    worker_joins,
    worker_lapses,  // what ran there is surely over
    time_due,       // of a job that repeats
};

struct ForwardEvent {
    Micros at = 0;
    ForwardEventKind kind = ForwardEventKind::run_ends;
    std::uint64_t subject = 0;
    auto operator<=>(const ForwardEvent&) const = default;
};

// Example: events.schedule({now + lapse, ForwardEventKind::worker_lapses, worker});
//          while (auto event = events.pop_until(now)) handle(*event);
class ForwardEvents {
public:
    void schedule(const ForwardEvent& event) { events_.insert(event); }
    // An event that was never scheduled is no error.
    void cancel(const ForwardEvent& event) { events_.erase(event); }
    // The next event, if it is due by `now`.
    std::optional<ForwardEvent> pop_until(Micros now) {
        if (events_.empty() || events_.begin()->at > now) return {};
        ForwardEvent event = *events_.begin();
        events_.erase(events_.begin());
        return event;
    }
    bool empty() const { return events_.empty(); }
    // When the next event is due. There must be one.
    Micros next() const { return events_.begin()->at; }

private:
    std::set<ForwardEvent> events_;
};

}  // namespace calicostall
