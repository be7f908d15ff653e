// The time of day as one owner hands it on to the next.
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

}  // namespace calicostall
