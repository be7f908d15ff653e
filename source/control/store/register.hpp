/// The values of the replicated record: registers, what a proposal changes of one, and which revision somebody holds.
///
/// Shared by leader, replicas and the scheduler's ledger. `describe` lists the fields in the order of the wire and of
/// the disk (shared/wire/frame.hpp): it never changes.
#pragma once
#include "common.hpp"

namespace calicostall {

/// One numbered piece of a value; in a mutation, empty bytes drop it.
struct Chunk {
    std::uint64_t number = 0;
    std::string bytes;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(bytes);
    }
    bool operator==(const Chunk&) const = default;
};

/// What a proposal changes of a value: `head` is replaced, then the chunks named here (or, with `replaces_chunks`,
/// every chunk). Implicit from a text, which is then the new head. Example: leader.propose("job/1", std::nullopt,
/// Mutation{head, {{7, task}}}, on_committed);
struct Mutation {
    std::string head;
    std::vector<Chunk> chunks;
    bool replaces_chunks = false;
    Mutation(std::string head = {}, std::vector<Chunk> chunks = {}, bool replaces_chunks = false)
        : head(std::move(head)), chunks(std::move(chunks)), replaces_chunks(replaces_chunks) {}
    Mutation(const char* head) : head(head) {}
};

/// One key's value: `immutable` never changes after the first version, `head` and the chunks do.
/// (term, version) tells one content from all others: only the leader of a term gives out versions in it.
struct Register {
    Term term;
    Version version;
    std::string immutable;
    std::string head;
    std::map<std::uint64_t, std::string> chunks;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(term), visit(version), visit(immutable), visit(head), visit(chunks);
    }
    bool operator==(const Register&) const = default;
    bool is_newer_than(const Register& other) const {
        return std::tie(term, version) > std::tie(other.term, other.version);
    }
    /// Whether it has no content: a tombstone.
    bool empty() const { return immutable.empty() && head.empty() && chunks.empty(); }
    /// Replaces the chunks named in `changed`, empty ones drop theirs; with `replaces_chunks` all others go.
    void apply_chunks(const std::vector<Chunk>& changed, bool replaces_chunks) {
        if (replaces_chunks) chunks.clear();
        for (const Chunk& chunk : changed) {
            if (chunk.bytes.empty())
                chunks.erase(chunk.number);
            else
                chunks[chunk.number] = chunk.bytes;
        }
    }
};

struct KeyedRegister {
    std::string key;
    Register value;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(key), visit(value);
    }
};

/// Which content of a key somebody holds.
struct Revision {
    Term term;
    Version version;
    bool operator==(const Revision&) const = default;
};

/// That somebody holds a key, and which content of it.
struct KeyRevision {
    std::string key;
    Term term;
    Version version;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(key), visit(term), visit(version);
    }
};

struct KeyRevisions {
    std::vector<KeyRevision> entries;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(entries);
    }
};

}  // namespace calicostall
