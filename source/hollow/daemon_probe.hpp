// What a daemon under test has used and counted so far, read from /proc and from its log.
#pragma once
#include "hollow/process_usage.hpp"

namespace calicostall {

// NAME.pid and NAME.log lie in the experiment's folder.
struct DaemonProbe {
    std::string name;
    std::string address;   // "HOST:PORT"
    std::int64_t pid = 0;  // 0: unknown
    ProcessUsage usage;
    LoggedCounters counters;

    static DaemonProbe read(const std::string& folder, const std::string& name, const std::string& address);
};

}  // namespace calicostall
