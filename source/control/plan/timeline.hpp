// The free room of one worker over time: what runs there ends, what is reserved begins.
#pragma once
#include "control/plan/view.hpp"

namespace calicostall {

constexpr Micros never = std::numeric_limits<Micros>::max() / 4;

// Example: Timeline line(now, free, {{run_end, room}}); line.take(room, from, until); auto at = line.earliest(room,
// length, now);
class Timeline {
public:
    explicit Timeline(Micros now, const Resources& free, std::vector<std::pair<Micros, Resources>> ends = {})
        : steps_{{now, free}} {
        std::sort(ends.begin(), ends.end(),
                  [](const auto& left, const auto& right) { return left.first < right.first; });
        steps_.reserve(ends.size() + 4);
        for (const auto& [at, room] : ends) {
            if (at >= never) break;
            if (at > steps_.back().first) steps_.emplace_back(at, steps_.back().second);
            steps_.back().second += room;
        }
    }
    // Room that is there in a span after all.
    void give(const Resources& room, Micros from, Micros until) { take(Resources{} - room, from, until); }
    void take(const Resources& room, Micros from, Micros until) {
        size_t first = cut(std::max(from, steps_[0].first)), last = until >= never ? steps_.size() : cut(until);
        for (size_t place = first; place < last; ++place)
            steps_[place].second -= room;
    }
    bool holds(const Resources& room, Micros from, Micros until) const {
        for (size_t place = place_of(from); place < steps_.size() && (place == 0 || steps_[place].first < until);
             ++place)
            if (!steps_[place].second.holds(room)) return false;
        return true;
    }
    // The least room free in a span, each kind by itself.
    Resources least(Micros from, Micros until) const {
        size_t place = place_of(from);
        Resources least = steps_[place].second;
        for (++place; place < steps_.size() && steps_[place].first < until; ++place) {
            const Resources& free = steps_[place].second;
            least = {std::min(least.cpu, free.cpu), std::min(least.memory, free.memory), std::min(least.gpu, free.gpu)};
        }
        return least;
    }
    // The first time from `from` on at which the room is free for so long; `never` if there is none.
    Micros earliest(const Resources& room, Micros length, Micros from) const {
        Micros start = std::max(from, steps_[0].first);
        for (size_t place = place_of(start); place < steps_.size(); ++place) {
            Micros at = std::max(start, steps_[place].first);
            if (!steps_[place].second.holds(room)) continue;
            size_t next = place + 1;
            while (next < steps_.size() && steps_[next].first < at + length && steps_[next].second.holds(room))
                ++next;
            if (next == steps_.size() || steps_[next].first >= at + length) return at;
            place = next;  // that step is too small: go on behind it
        }
        return never;
    }
    // The first time after `from` at which the room is no longer free.
    Micros ends_at(const Resources& room, Micros from) const {
        for (size_t place = place_of(from); place < steps_.size(); ++place)
            if (!steps_[place].second.holds(room)) return std::max(from, steps_[place].first);
        return never;
    }
    const std::vector<std::pair<Micros, Resources>>& steps() const { return steps_; }

private:
    size_t place_of(Micros at) const {
        size_t place = size_t(std::upper_bound(steps_.begin(), steps_.end(), at,
                                               [](Micros time, const auto& step) { return time < step.first; }) -
                              steps_.begin());
        return place == 0 ? 0 : place - 1;
    }
    size_t cut(Micros at) {
        size_t place = place_of(at);
        if (steps_[place].first == at) return place;
        steps_.insert(steps_.begin() + std::ptrdiff_t(place) + 1, {at, steps_[place].second});
        return place + 1;
    }
    std::vector<std::pair<Micros, Resources>> steps_;
};

}  // namespace calicostall
