// The time of day as one owner hands it on to the next, and a daemon's memory of it in between.
#pragma once
#include "common.hpp"

namespace calicostall {

// `wall` is the time of day (microseconds since 1970) that the owner of `term` went by; 0: none is known.
struct JudgedTime {
    Epoch term;
    Micros wall = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(term), visit(wall);
    }
    bool operator==(const JudgedTime&) const = default;
};

// Remembers the last time of day that the newest owner told, and runs it on by the steady clock.
// Example: memory.note(answer.judged, now); ... ask.judged = memory.tell(now);
class TimeMemory {
public:
    void note(const JudgedTime& told, Micros now) {
        if (told.wall == 0 || told.term < term_) return;
        offset_ = told.wall - now;
        term_ = told.term;
    }
    JudgedTime tell(Micros now) const { return offset_ ? JudgedTime{term_, *offset_ + now} : JudgedTime{}; }

private:
    Epoch term_;
    std::optional<Micros> offset_;
};

}  // namespace calicostall
