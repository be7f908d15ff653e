// What agents last said of their workers, under the sequence number by which they refer to it from then on. Pure.
#pragma once
#include "common.hpp"
#include "shared/wire/agent_poll_messages.hpp"

namespace calicostall {

// Example: if (!cache.resolve(request)) respond_that_worker_info_is_needed();
class WorkerInfoCache {
public:
    // Remembers the worker info of the request; or, where it has only a sequence number, fills in what was remembered
    // under it. Returns false when that isn't known here.
    bool resolve(AgentPollRequest& request);

private:
    // More than these are forgotten at once; agents then send theirs again.
    static constexpr size_t max_entries = 4096;

    struct Entry {
        std::uint64_t agent_incarnation = 0, sequence = 0;
        WorkerInfo info;
    };
    std::unordered_map<std::string, Entry> entries_;  // by node
};

}  // namespace calicostall
