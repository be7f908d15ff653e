/// How far the leader is behind its own work. Pure: time is passed in.
#pragma once
#include "common.hpp"

namespace calicostall {

/// The leader's lateness: how late its timer comes, how long proposals stay open, how long plans stay incomplete.
/// All times are monotonic microseconds. Owns these measurements for one leadership.
/// Example: lag.on_proposed(now); ... lag.on_committed(now); if (lag.value(now) > max_lag) refuse();
class LeaderLag {
public:
    /// The timer has come.
    /// @param expected_at  when it should have; 0: not known
    void on_tick(Micros expected_at, Micros now);

    void on_proposed(Micros now) { open_proposals_.insert(now); }

    /// @param proposed_at  as given to `on_proposed`
    void on_committed(Micros proposed_at);

    /// A plan was made.
    /// @param is_complete  whether it looked at all that is ready
    void on_plan(bool is_complete, Micros now);

    /// The largest of the three, in microseconds.
    Micros value(Micros now) const;

    void clear();

private:
    Micros tick_delay_ = 0;
    Micros behind_since_ = 0;  // when plans began to be incomplete; 0: the last one was complete
    std::multiset<Micros> open_proposals_;
};

}  // namespace calicostall
