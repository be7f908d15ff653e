/// The configuration changes that were accepted, so that one that is sent again is recognized. Pure: no I/O, no time.
///
/// The list is stored in the numbered chunks of the `config` register, beside the text in its head: one proposal
/// commits a change and its configuration together, an election reads both, and a write carries only the chunks that
/// changed.
#pragma once
#include "common.hpp"
#include "control/store/register.hpp"

namespace calicostall {

/// 128 bits of xxHash (XXH3): two texts with one digest are taken for the same text.
struct TextDigest {
    std::uint64_t high = 0, low = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(high), visit(low);
    }
    auto operator<=>(const TextDigest&) const = default;
};

/// The digest of a text. Example: TextDigest digest = digest_of(request.body);
TextDigest digest_of(std::string_view text);

/// What makes a change of an operator the same change again: `revision` and the text's digest from the body, `base`
/// (the revision that it builds on) from If-Match. Stored as CBOR: the order of the fields is part of the format.
struct AcceptedChange {
    std::uint64_t revision = 0, base = 0;
    TextDigest text;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(revision), visit(base), visit(text);
    }
    bool operator==(const AcceptedChange&) const = default;
};

/// What is known of a change that comes in.
enum class ChangeStatus {
    accepted,                ///< this very change was accepted; it may not be committed yet
    accepted_on_other_base,  ///< this configuration was accepted, but on another base, or the change names none
    possibly_evicted,        ///< it may be a change that was evicted from the list
    never_accepted           ///< surely never accepted by what the record says
};

/// Owns the list of the newest accepted changes. It belongs to a leader, who alone adds to it.
/// Example: ledger.propose("config", std::nullopt, Mutation{text, changes.add(change)}, callback);
class AcceptedChanges {
public:
    /// How many changes are kept. A day brings hundreds of them and one is sent again within seconds, so 1,024 cover
    /// more than a day; a full list is about 40 KiB, small beside a configuration of up to 256 KiB.
    static constexpr std::size_t capacity = 1024;

    /// Reads the list back from the `config` register. Where its configuration isn't on the list (a version of the
    /// program without the list wrote it), or a chunk can't be read, any change up to it may have been accepted.
    /// @param current_revision  of the configuration that the register holds; 0: none yet
    void load(const Register& config, std::uint64_t current_revision);
    void clear();

    /// Adds a change with a higher revision than all before it. Returns the chunks to be proposed with its text.
    std::vector<Chunk> add(const AcceptedChange& change);

    /// What is known of a change.
    /// @param base  none where the change names none that can be read
    ChangeStatus lookup(std::uint64_t revision, std::optional<std::uint64_t> base, const TextDigest& text) const;

    std::size_t size() const { return by_revision_.size(); }
    /// The highest revision that may have been accepted without being on the list; 0: none.
    std::uint64_t highest_evicted() const { return highest_evicted_; }

private:
    struct Entry {
        AcceptedChange change;
        std::uint64_t slot = 0;  ///< the chunk's number, from 1; chunk 0 holds the highest evicted revision
    };
    bool read_chunk(const Chunk& chunk);
    void raise_highest_evicted(std::uint64_t revision);
    std::uint64_t allocate_slot();

    std::map<std::uint64_t, Entry> by_revision_;  // revisions rise, so the first one is the oldest
    std::set<std::uint64_t> free_slots_;          // below `next_slot_`
    std::uint64_t next_slot_ = 1;                 // no slot from here on was ever used
    std::uint64_t highest_evicted_ = 0;
    bool is_header_changed_ = false;  // chunk 0 in the record is older than `highest_evicted_`
};

}  // namespace calicostall
