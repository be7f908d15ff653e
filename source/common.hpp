/// The one common header of the project: what every module may rely on.
#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <concepts>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <fmt/format.h>

namespace calicostall {

/// A number with a meaning of its own, which mixes with no other.
/// Example: using Term = Strong<struct TermTag, std::uint64_t>; Term next{last.value + 1};
template <class Tag, class Number>
struct Strong {
    Number value{};
    auto operator<=>(const Strong&) const = default;
};

/// Whole microseconds: a duration, or an instant of the monotonic clock or of the wall clock (shared/time/clock.hpp).
/// Example: Micros deadline = steady_now() + milliseconds(200);
using Micros = std::int64_t;
constexpr Micros milliseconds(std::int64_t count) {
    return count * 1000;
}
constexpr Micros seconds(std::int64_t count) {
    return count * 1000000;
}

/// Numbers the leaderships; workers see it as `fence`, their fencing token.
using Term = Strong<struct TermTag, std::uint64_t>;
/// Counts the changes of one key.
using Version = Strong<struct VersionTag, std::uint64_t>;
/// Names one disk for as long as nothing on it is lost; drawn at random, never zero (0: none yet).
using ReplicaId = Strong<struct ReplicaIdTag, std::uint64_t>;

}  // namespace calicostall
