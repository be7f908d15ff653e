/// Amounts of what runs take of a worker. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

/// What a run takes, or a worker has: thousandths of a core, MB, accelerators. A difference may be negative.
/// Example: Resources free = capacity - used; if (free.can_fit(item.resources)) ...
struct Resources {
    std::int64_t cpu = 0, memory = 0, gpu = 0;

    auto operator<=>(const Resources&) const = default;

    /// Whether `resources` are no more than these, each kind by itself.
    bool can_fit(const Resources& resources) const {
        return resources.cpu <= cpu && resources.memory <= memory && resources.gpu <= gpu;
    }
    Resources& operator+=(const Resources& resources) {
        cpu += resources.cpu;
        memory += resources.memory;
        gpu += resources.gpu;
        return *this;
    }
    Resources& operator-=(const Resources& resources) {
        cpu -= resources.cpu;
        memory -= resources.memory;
        gpu -= resources.gpu;
        return *this;
    }
    friend Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
};

/// The smaller amount of each kind.
inline Resources component_minimum(const Resources& left, const Resources& right) {
    return {std::min(left.cpu, right.cpu), std::min(left.memory, right.memory), std::min(left.gpu, right.gpu)};
}

/// The larger amount of each kind.
inline Resources component_maximum(const Resources& left, const Resources& right) {
    return {std::max(left.cpu, right.cpu), std::max(left.memory, right.memory), std::max(left.gpu, right.gpu)};
}

}  // namespace calicostall
