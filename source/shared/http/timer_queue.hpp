// Actions that are due at instants of the monotonic clock.
#pragma once
#include "common.hpp"

namespace calicostall {

// Not thread-safe; reads no clock.
class TimerQueue {
public:
    using Action = std::function<void()>;

    void add(Micros due, Action action) { actions_.emplace(due, std::move(action)); }
    // When the first action is due; nothing without one.
    std::optional<Micros> next_due() const;
    // Takes the first action out if it is due at `now`. Actions that are due at once come in the order of `add`.
    std::optional<Action> take_due(Micros now);

private:
    std::multimap<Micros, Action> actions_;  // by when they are due
};

}  // namespace calicostall
