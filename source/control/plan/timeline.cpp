#include "control/plan/timeline.hpp"

namespace calicostall {

Timeline::Timeline(Micros now, const Resources& free, std::vector<std::pair<Micros, Resources>> ends)
    : steps_{{now, free}} {
    std::sort(ends.begin(), ends.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    steps_.reserve(ends.size() + 4);
    for (const auto& [at, resources] : ends) {
        if (at >= never) break;
        if (at > steps_.back().first) steps_.emplace_back(at, steps_.back().second);
        steps_.back().second += resources;
    }
}

void Timeline::release(const Resources& resources, Micros from, Micros until) {
    reserve(Resources{} - resources, from, until);
}

void Timeline::reserve(const Resources& resources, Micros from, Micros until) {
    const size_t first = split_at(std::max(from, steps_[0].first));
    const size_t last = until >= never ? steps_.size() : split_at(until);
    for (size_t index = first; index < last; ++index)
        steps_[index].second -= resources;
}

bool Timeline::fits(const Resources& resources, Micros from, Micros until) const {
    for (size_t index = index_at(from); index < steps_.size(); ++index) {
        if (index > 0 && steps_[index].first >= until) break;
        if (!steps_[index].second.can_fit(resources)) return false;
    }
    return true;
}

Resources Timeline::min_free(Micros from, Micros until) const {
    size_t index = index_at(from);
    Resources minimum = steps_[index].second;
    for (++index; index < steps_.size() && steps_[index].first < until; ++index)
        minimum = component_minimum(minimum, steps_[index].second);
    return minimum;
}

Micros Timeline::earliest_fit(const Resources& resources, Micros length, Micros from) const {
    const Micros start = std::max(from, steps_[0].first);
    for (size_t index = index_at(start); index < steps_.size(); ++index) {
        const Micros at = std::max(start, steps_[index].first);
        if (!steps_[index].second.can_fit(resources)) continue;
        size_t next = index + 1;
        while (next < steps_.size() && steps_[next].first < at + length && steps_[next].second.can_fit(resources))
            ++next;
        if (next == steps_.size() || steps_[next].first >= at + length) return at;
        index = next;  // that step has too little: go on behind it
    }
    return never;
}

Micros Timeline::fits_until(const Resources& resources, Micros from) const {
    for (size_t index = index_at(from); index < steps_.size(); ++index)
        if (!steps_[index].second.can_fit(resources)) return std::max(from, steps_[index].first);
    return never;
}

/// The step that holds at a time; the first one for a time before it.
size_t Timeline::index_at(Micros at) const {
    auto after = std::upper_bound(steps_.begin(), steps_.end(), at,
                                  [](Micros time, const auto& step) { return time < step.first; });
    if (after == steps_.begin()) return 0;
    return size_t(after - steps_.begin()) - 1;
}

/// The step that begins at a time, which is made if there is none.
size_t Timeline::split_at(Micros at) {
    const size_t index = index_at(at);
    if (steps_[index].first == at) return index;
    steps_.insert(steps_.begin() + std::ptrdiff_t(index) + 1, {at, steps_[index].second});
    return index + 1;
}

}  // namespace calicostall
