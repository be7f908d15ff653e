/// The free resources of one worker over time: what runs there ends, what is reserved begins. Pure.
#pragma once
#include "control/plan/resources.hpp"

namespace calicostall {

/// A time that never comes, far enough from the largest one to add to. All times here are microseconds of the clock
/// that the plan's caller has chosen.
constexpr Micros never = std::numeric_limits<Micros>::max() / 4;

/// A step function of the free resources. Owns its steps; a plan keeps one for each worker that it reserves on.
/// Example: Timeline line(now, free, {{run_end, run_resources}}); line.reserve(resources, from, until);
///          Micros at = line.earliest_fit(resources, length, now);
class Timeline {
public:
    /// @param free  what is free at `now`
    /// @param ends  when runs end and what each gives back, in any order; those from `never` on don't count
    explicit Timeline(Micros now, const Resources& free, std::vector<std::pair<Micros, Resources>> ends = {});

    /// Adds resources in a span that turn out to be there.
    void release(const Resources& resources, Micros from, Micros until);

    /// Takes resources in a span; `until` may be `never`.
    void reserve(const Resources& resources, Micros from, Micros until);

    /// Whether the resources are free in the whole span.
    bool fits(const Resources& resources, Micros from, Micros until) const;

    /// The smallest free amount in a span, each kind by itself.
    Resources min_free(Micros from, Micros until) const;

    /// The first time from `from` on at which the resources are free for `length`; `never` if there is none.
    Micros earliest_fit(const Resources& resources, Micros length, Micros from) const;

    /// The first time from `from` on at which the resources are not free; `never` if there is none.
    Micros fits_until(const Resources& resources, Micros from) const;

    /// The times at which the free resources change, and what is free from then on; the first one is the beginning.
    const std::vector<std::pair<Micros, Resources>>& steps() const { return steps_; }

private:
    size_t index_at(Micros at) const;
    size_t split_at(Micros at);

    std::vector<std::pair<Micros, Resources>> steps_;  // by time, never empty
};

}  // namespace calicostall
