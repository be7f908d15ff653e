/// The time of day as one leader hands it to the next, and a daemon's memory of it in between.
#pragma once
#include "common.hpp"

namespace calicostall {

/// `wall_clock` is the time of day (microseconds since 1970) that the leader of `term` went by; 0: none is known.
struct AgreedTime {
    Term term;
    Micros wall_clock = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(term), visit(wall_clock);
    }
    bool operator==(const AgreedTime&) const = default;
};

/// Remembers the last time of day that the newest leader reported, and runs it on by the monotonic clock.
/// Example: memory.record(response.agreed_time, now); ... request.agreed_time = memory.current(now);
class AgreedTimeMemory {
public:
    /// Reports of an earlier term than the newest one are ignored, and so are those without a time.
    void record(const AgreedTime& reported, Micros now) {
        if (reported.wall_clock == 0 || reported.term < term_) return;
        offset_ = reported.wall_clock - now;
        term_ = reported.term;
    }
    /// The time of day at `now`; without a time as long as none was reported.
    AgreedTime current(Micros now) const { return offset_ ? AgreedTime{term_, *offset_ + now} : AgreedTime{}; }

private:
    Term term_;
    std::optional<Micros> offset_;  // of the time of day from the monotonic clock
};

}  // namespace calicostall
