// The queues' history: the lines in which leaders log it, one for each queue and span of time, and their reading.
#pragma once
#include "common.hpp"
#include "shared/diagnostics/finding.hpp"

namespace calicostall {

// Eight core-seconds count as one accelerator-second.
constexpr double cores_per_accelerator = 8;

// What one leader counted of one queue in one span.
struct QueueSpan {
    std::int64_t span = 0;  // spans since 1970
    Micros length = 0;      // of a span
    std::string queue;
    std::int64_t priority = 0;
    double arrived = 0;       // accelerator-seconds that the arrived tasks are expected to take
    double used = 0;          // accelerator-seconds of the runs that ended
    double waited = 0;        // task-seconds that tasks were ready and had no worker
    double fleet = 0;         // accelerators of the fleet, mean over the span
    bool is_complete = true;  // false: it led for a part of the span only

    // As a line of JSON. Example: "{"span":4,"length_ms":60000,"queue":"a.example/q/","priority":0,"arrived":12.5,...}"
    std::string to_line() const;
};

// The history of all queues, joined from the logs of all nodes.
struct QueueHistory {
    struct Queue {
        std::int64_t priority = 0;
        std::map<std::int64_t, QueueSpan> spans;
    };
    Micros span_length = 0;
    std::int64_t first_span = 0;
    std::int64_t last_span = 0;
    std::map<std::string, Queue> queues;
    std::map<std::int64_t, double> fleet;  // by span, accelerators

    bool empty() const { return queues.empty(); }
    // The lowest number is the most urgent priority; the largest number without queues.
    std::int64_t most_urgent_priority() const;
    // Adds what one leader counted. Several leaders of one span counted a part each: these are summed.
    void add(const QueueSpan& span);
};

// Adds the history lines of one node's log; other lines are ignored. A broken line becomes findings, for each field.
// Example: Findings findings; QueueHistory history; read_history(text, "node-1.log", history, findings);
void read_history(std::string_view text, const std::string& name, QueueHistory& history, Findings& findings);

}  // namespace calicostall
