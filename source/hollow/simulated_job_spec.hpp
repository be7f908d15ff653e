// The job specs of simulated jobs: what they tell simulated workers.
#pragma once
#include "common.hpp"

namespace calicostall {

// Example: SimulatedJobSpec::read("hollow ms=800 gang=8") -> {milliseconds(800), 8}
struct SimulatedJobSpec {
    Micros duration = milliseconds(100);  // of each task
    std::uint32_t gang_size = 1;          // 1: no gang

    // What the text doesn't state has its default.
    static SimulatedJobSpec read(const std::string& text);
    // The spec as a text that is filled up to so many bytes.
    std::string text(size_t bytes) const;
};

}  // namespace calicostall
