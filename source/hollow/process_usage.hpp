// What a process has used, by /proc, and what a daemon counted, by its log.
#pragma once
#include "common.hpp"

namespace calicostall {

struct ProcessUsage {
    bool is_found = false;  // a thread of the process was found
    double cpu_s = 0;       // of all its threads
    double memory_mb = 0;   // resident
    double peak_mb = 0;
    std::int64_t descriptors = 0;    // open files and sockets
    std::int64_t disk_bytes = 0;     // written to disks
    std::int64_t written_bytes = 0;  // written by system calls
};

// Example: ProcessUsage usage = read_process_usage(1234); if (usage.is_found) ...
ProcessUsage read_process_usage(std::int64_t pid);

// The last line of counters in a log.
struct LoggedCounters {
    double at_s = 0;  // the time of the line
    std::map<std::string, double> values;
};

// Without a line of counters the result is empty.
// Example: read_counters("12.5 counters calls=3 looks=9\n").values.at("looks") == 9
LoggedCounters read_counters(const std::string& log);

}  // namespace calicostall
