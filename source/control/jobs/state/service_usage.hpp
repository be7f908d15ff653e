// The capacity of each service and how much of it is used, by priority.
#pragma once
#include "common.hpp"

namespace calicostall {

// Fractions of a service's capacity, each between 0 and 1; 0 while the capacity is unknown.
struct CapacityFraction {
    double cpu = 0, memory = 0;
};

// Capacity and use of one service, updated with each change: thousandths of a core and MB.
struct ServiceUsage {
    struct PriorityUsage {
        std::int64_t cpu = 0, memory = 0;
        std::int64_t runs = 0;
    };
    std::int64_t capacity_cpu = 0, capacity_memory = 0;
    std::map<std::int64_t, PriorityUsage> by_priority;

    CapacityFraction fraction_of(std::int64_t cpu, std::int64_t memory) const {
        return {capacity_cpu > 0 ? double(cpu) / double(capacity_cpu) : 0,
                capacity_memory > 0 ? double(memory) / double(capacity_memory) : 0};
    }
    CapacityFraction used_fraction() const {
        PriorityUsage sum;
        for (const auto& [priority, usage] : by_priority) {
            sum.cpu += usage.cpu;
            sum.memory += usage.memory;
        }
        return fraction_of(sum.cpu, sum.memory);
    }
};

}  // namespace calicostall
