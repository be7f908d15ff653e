#pragma once
#include "common.hpp"

namespace calicostall {

// Where transactions wait as continuations: a handle names the place and its use.
// Example: Slab<Reply>::Handle handle = slab.insert(std::move(reply)); if (auto reply = slab.take(handle))
// reply->send(...);
template <class Continuation>
class Slab {
public:
    struct Handle {
        std::uint32_t place = 0;
        std::uint32_t use = 0;
        auto operator<=>(const Handle&) const = default;
    };
    Handle insert(Continuation continuation) {
        std::uint32_t place;
        if (free_.empty()) {
            place = std::uint32_t(cells_.size());
            cells_.emplace_back();
        } else {
            place = free_.back();
            free_.pop_back();
        }
        cells_[place].continuation.emplace(std::move(continuation));
        ++held_;
        return {place, cells_[place].use};
    }
    Continuation* find(Handle handle) {
        if (handle.place >= cells_.size() || cells_[handle.place].use != handle.use) return nullptr;
        auto& cell = cells_[handle.place].continuation;
        return cell ? &*cell : nullptr;
    }
    // Takes the continuation out, once; a second call with the same handle finds nothing.
    std::optional<Continuation> take(Handle handle) {
        if (!find(handle)) return std::nullopt;
        Cell& cell = cells_[handle.place];
        std::optional<Continuation> out = std::move(cell.continuation);
        cell.continuation.reset();
        ++cell.use;
        free_.push_back(handle.place);
        --held_;
        return out;
    }
    std::vector<Handle> handles() const {
        std::vector<Handle> all;
        for (std::uint32_t place = 0; place < cells_.size(); ++place)
            if (cells_[place].continuation) all.push_back({place, cells_[place].use});
        return all;
    }
    size_t size() const { return held_; }

private:
    struct Cell {
        std::optional<Continuation> continuation;
        std::uint32_t use = 0;
    };
    std::vector<Cell> cells_;
    std::vector<std::uint32_t> free_;
    size_t held_ = 0;
};

}  // namespace calicostall
