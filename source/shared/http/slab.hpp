// A table of values that wait, addressed by handles that never name two of them.
#pragma once
#include "common.hpp"

namespace calicostall {

// A slot is reused once its value was taken out; its generation tells its values apart. Not thread-safe.
// Example: Slab<Responder>::Handle handle = slab.insert(std::move(responder));
//          if (auto waiting = slab.take(handle)) waiting->send(...);
template <class Value>
class Slab {
public:
    struct Handle {
        std::uint32_t index = 0;
        std::uint32_t generation = 0;
        auto operator<=>(const Handle&) const = default;
    };

    Handle insert(Value value) {
        const std::uint32_t index = free_slot();
        slots_[index].value.emplace(std::move(value));
        ++size_;
        return {index, slots_[index].generation};
    }
    // The value of a handle; null once it was taken out. Valid until the next `insert` or `take`.
    Value* find(Handle handle) {
        if (handle.index >= slots_.size() || slots_[handle.index].generation != handle.generation) return nullptr;
        std::optional<Value>& value = slots_[handle.index].value;
        return value ? &*value : nullptr;
    }
    // Takes the value out, once; a second call with the same handle finds nothing.
    std::optional<Value> take(Handle handle) {
        if (!find(handle)) return std::nullopt;
        Slot& slot = slots_[handle.index];
        std::optional<Value> value = std::move(slot.value);
        slot.value.reset();
        ++slot.generation;
        free_indices_.push_back(handle.index);
        --size_;
        return value;
    }
    // Of all values, in the order of their slots.
    std::vector<Handle> handles() const {
        std::vector<Handle> handles;
        for (std::uint32_t index = 0; index < slots_.size(); ++index)
            if (slots_[index].value) handles.push_back({index, slots_[index].generation});
        return handles;
    }
    size_t size() const { return size_; }

private:
    struct Slot {
        std::optional<Value> value;
        std::uint32_t generation = 0;
    };

    // The index of an empty slot.
    std::uint32_t free_slot() {
        if (free_indices_.empty()) {
            slots_.emplace_back();
            return std::uint32_t(slots_.size() - 1);
        }
        const std::uint32_t index = free_indices_.back();
        free_indices_.pop_back();
        return index;
    }

    std::vector<Slot> slots_;
    std::vector<std::uint32_t> free_indices_;
    size_t size_ = 0;
};

}  // namespace calicostall
