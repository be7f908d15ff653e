#pragma once
#include "common.hpp"

namespace calicostall {

// One thing that is wrong, and the place where it was found.
struct Finding {
    std::string location;
    std::string text;
};

// Findings are collected and reported together, never only the first.
// Example: Findings findings; findings.add("routes[2].host", "is missing"); report(findings.text());
class Findings {
public:
    void add(std::string location, std::string text) { list_.push_back({std::move(location), std::move(text)}); }
    bool empty() const { return list_.empty(); }
    const std::vector<Finding>& list() const { return list_; }
    // Example: "routes[0].timeout_ms: must be above 0; routes[1].service: is unknown"
    std::string text() const;

private:
    std::vector<Finding> list_;
};

}  // namespace calicostall
