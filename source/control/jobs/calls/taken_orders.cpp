#include "control/jobs/calls/taken_orders.hpp"

#include <xxhash.h>

#include "shared/wire/cbor.hpp"

namespace calicostall {

namespace {

constexpr std::uint64_t header_part = 0;

struct Header {
    std::uint64_t highest_dropped = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(highest_dropped);
    }
};

}  // namespace

TextDigest digest_of(std::string_view text) {
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

void TakenOrders::clear() {
    *this = TakenOrders{};
}

void TakenOrders::load(const Register& config, std::uint64_t present) {
    clear();
    bool readable = true;
    for (const auto& [number, bytes] : config.parts)
        readable = read_part({number, bytes}) && readable;
    for (const auto& [revision, entry] : by_revision_)
        free_slots_.erase(entry.slot);
    if (!readable || !by_revision_.contains(present)) raise_highest_dropped(present);
}

bool TakenOrders::read_part(const Part& part) {
    if (part.number == header_part) {
        auto header = unpack<Header>(part.bytes);
        if (header) highest_dropped_ = header->highest_dropped;
        return header.has_value();
    }
    if (part.number > capacity) return false;
    for (; next_slot_ <= part.number; ++next_slot_)
        free_slots_.insert(next_slot_);
    auto order = unpack<TakenOrder>(part.bytes);
    if (order) by_revision_[order->revision] = {*order, part.number};
    return order.has_value();
}

std::vector<Part> TakenOrders::add(const TakenOrder& order) {
    const std::uint64_t slot = free_a_slot();
    by_revision_[order.revision] = {order, slot};
    std::vector<Part> parts{{slot, pack(order)}};
    if (header_changed_) parts.push_back({header_part, pack(Header{highest_dropped_})});
    header_changed_ = false;
    return parts;
}

std::uint64_t TakenOrders::free_a_slot() {
    if (by_revision_.size() >= capacity) {
        auto oldest = by_revision_.begin();
        raise_highest_dropped(oldest->first);
        free_slots_.insert(oldest->second.slot);
        by_revision_.erase(oldest);
    }
    if (free_slots_.empty()) return next_slot_++;
    const std::uint64_t slot = *free_slots_.begin();
    free_slots_.erase(free_slots_.begin());
    return slot;
}

void TakenOrders::raise_highest_dropped(std::uint64_t revision) {
    if (revision <= highest_dropped_) return;
    highest_dropped_ = revision;
    header_changed_ = true;
}

Recall TakenOrders::recall(std::uint64_t revision, std::optional<std::uint64_t> base, const TextDigest& text) const {
    auto found = by_revision_.find(revision);
    if (found != by_revision_.end()) {
        const TakenOrder& order = found->second.order;
        if (order.text != text) return Recall::never;
        return base == order.base ? Recall::taken : Recall::other_base;
    }
    // An order is taken only with a revision above its base.
    const bool may_have_been_taken = revision <= highest_dropped_ && (!base || *base < revision);
    return may_have_been_taken ? Recall::maybe_forgotten : Recall::never;
}

}  // namespace calicostall
