// How much of each service's room is used, by priority, and what urgent queues used lately. Pure.
#pragma once
#include <cmath>

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
    std::map<std::int64_t, Use> used;    // by priority
    std::map<std::int64_t, Share> peak;  // as shares of the whole
    Micros at = 0;

    Share share_of(std::int64_t cpu, std::int64_t memory) const {
        return {whole_cpu > 0 ? double(cpu) / double(whole_cpu) : 0, whole_memory > 0 ? double(memory) / double(whole_memory) : 0};
    }
    Share share_used() const {
        Use sum;
        for (const auto& [priority, use] : used) sum.cpu += use.cpu, sum.memory += use.memory;
        return share_of(sum.cpu, sum.memory);
    }
    // The urgent queues' peaks rise at once and fade slowly.
    void measure(Micros now, Micros memory) {
        double fade = std::exp(-double(now - at) / double(memory));
        at = now;
        for (auto& [priority, each] : peak) each.cpu *= fade, each.memory *= fade;
        for (const auto& [priority, use] : used) {
            Share share = share_of(use.cpu, use.memory);
            Share& each = peak[priority];
            each = {std::max(each.cpu, share.cpu), std::max(each.memory, share.memory)};
        }
    }
    // How many tasks of this size a queue of this priority may still place.
    size_t tasks_open(const SchedulerSettings& settings, std::int64_t priority, const Share& each, Micros length) const {
        // Short tasks are soon out of the way, only long ones need to leave room.
        double patience = std::clamp(double(length) / double(settings.urgent_length), 0.0, 1.0);
        Share use = share_used(), open{1 - use.cpu, 1 - use.memory};
        for (const auto& [other, high] : peak) {
            if (other >= priority) continue;
            auto found = used.find(other);
            Share now_used = found == used.end() ? Share{} : share_of(found->second.cpu, found->second.memory);
            open.cpu -= patience * std::clamp(high.cpu - now_used.cpu, 0.0, settings.urgent_most);
            open.memory -= patience * std::clamp(high.memory - now_used.memory, 0.0, settings.urgent_most);
        }
        double most = 1e9;
        if (each.cpu > 0) most = std::min(most, open.cpu / each.cpu);
        if (each.memory > 0) most = std::min(most, open.memory / each.memory);
        return most <= 0 ? 0 : size_t(most);
    }
};

}  // namespace calicostall
