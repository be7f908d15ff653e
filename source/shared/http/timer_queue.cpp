#include "shared/http/timer_queue.hpp"

namespace calicostall {

std::optional<Micros> TimerQueue::next_due() const {
    if (actions_.empty()) return std::nullopt;
    return actions_.begin()->first;
}

std::optional<TimerQueue::Action> TimerQueue::take_due(Micros now) {
    if (actions_.empty() || actions_.begin()->first > now) return std::nullopt;
    Action action = std::move(actions_.begin()->second);
    actions_.erase(actions_.begin());
    return action;
}

}  // namespace calicostall
