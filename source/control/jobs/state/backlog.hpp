// What was accepted and has not started, counted by queue.
#pragma once
#include "common.hpp"

namespace calicostall {

// The pending work of one queue.
struct QueueBacklog {
    std::string service;
    std::int64_t priority = 0;
    std::int64_t open_jobs = 0;
    std::int64_t ready_tasks = 0;          // pending tasks whose dependencies are done
    std::int64_t pending_tasks = 0;        // of jobs that can still earn value
    double cpu_work = 0, memory_work = 0;  // of those: thousandths of a core, MB, each times seconds
};

using Backlog = std::map<std::string, QueueBacklog>;  // by queue, "HOST|PREFIX"

}  // namespace calicostall
