#include "control/jobs/calls/accepted_changes.hpp"

#include <xxhash.h>

#include "shared/wire/codec.hpp"

namespace calicostall {

namespace {

constexpr std::uint64_t header_chunk = 0;

struct Header {
    std::uint64_t highest_evicted = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(highest_evicted);
    }
};

}  // namespace

TextDigest digest_of(std::string_view text) {
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

void AcceptedChanges::clear() {
    *this = AcceptedChanges{};
}

void AcceptedChanges::load(const Register& config, std::uint64_t current_revision) {
    clear();
    bool is_readable = true;
    for (const auto& [number, bytes] : config.chunks)
        is_readable = read_chunk({number, bytes}) && is_readable;
    for (const auto& [revision, entry] : by_revision_)
        free_slots_.erase(entry.slot);
    if (!is_readable || !by_revision_.contains(current_revision)) raise_highest_evicted(current_revision);
}

/// Returns whether the chunk is readable.
bool AcceptedChanges::read_chunk(const Chunk& chunk) {
    if (chunk.number == header_chunk) {
        auto header = decode<Header>(chunk.bytes);
        if (header) highest_evicted_ = header->highest_evicted;
        return header.has_value();
    }
    if (chunk.number > capacity) return false;
    for (; next_slot_ <= chunk.number; ++next_slot_)
        free_slots_.insert(next_slot_);
    auto change = decode<AcceptedChange>(chunk.bytes);
    if (change) by_revision_[change->revision] = {*change, chunk.number};
    return change.has_value();
}

std::vector<Chunk> AcceptedChanges::add(const AcceptedChange& change) {
    const std::uint64_t slot = allocate_slot();
    by_revision_[change.revision] = {change, slot};
    std::vector<Chunk> chunks{{slot, encode(change)}};
    if (is_header_changed_) chunks.push_back({header_chunk, encode(Header{highest_evicted_})});
    is_header_changed_ = false;
    return chunks;
}

/// A free slot; if there is none, that of the oldest change, which is evicted.
std::uint64_t AcceptedChanges::allocate_slot() {
    if (by_revision_.size() >= capacity) {
        auto oldest = by_revision_.begin();
        raise_highest_evicted(oldest->first);
        free_slots_.insert(oldest->second.slot);
        by_revision_.erase(oldest);
    }
    if (free_slots_.empty()) return next_slot_++;
    const std::uint64_t slot = *free_slots_.begin();
    free_slots_.erase(free_slots_.begin());
    return slot;
}

void AcceptedChanges::raise_highest_evicted(std::uint64_t revision) {
    if (revision <= highest_evicted_) return;
    highest_evicted_ = revision;
    is_header_changed_ = true;
}

ChangeStatus AcceptedChanges::lookup(std::uint64_t revision, std::optional<std::uint64_t> base,
                                     const TextDigest& text) const {
    auto found = by_revision_.find(revision);
    if (found != by_revision_.end()) {
        const AcceptedChange& change = found->second.change;
        if (change.text != text) return ChangeStatus::never_accepted;
        return base == change.base ? ChangeStatus::accepted : ChangeStatus::accepted_on_other_base;
    }
    // A change is accepted only with a revision above its base.
    const bool may_have_been_accepted = revision <= highest_evicted_ && (!base || *base < revision);
    return may_have_been_accepted ? ChangeStatus::possibly_evicted : ChangeStatus::never_accepted;
}

}  // namespace calicostall
