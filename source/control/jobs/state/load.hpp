// How much of each service's room is used, by priority. Pure.
#pragma once
#include "control/jobs/settings.hpp"

namespace calicostall {

struct Share {
    double cpu = 0, memory = 0;
};

// The room of one service and its use, kept up with each change.
struct Load {
    struct Use {
        std::int64_t cpu = 0, memory = 0;
        std::int64_t runs = 0;
    };
    std::int64_t whole_cpu = 0, whole_memory = 0;
    std::map<std::int64_t, Use> used;  // by priority

    Share share_of(std::int64_t cpu, std::int64_t memory) const {
        return {whole_cpu > 0 ? double(cpu) / double(whole_cpu) : 0,
                whole_memory > 0 ? double(memory) / double(whole_memory) : 0};
    }
    Share share_used() const {
        Use sum;
        for (const auto& [priority, use] : used)
            sum.cpu += use.cpu, sum.memory += use.memory;
        return share_of(sum.cpu, sum.memory);
    }
};

}  // namespace calicostall
