/// What one member has not been sent yet, ordered by how long each key has waited. Owned by the member's `Peer`.
#pragma once
#include "common.hpp"

namespace calicostall {

/// The number of a proposal: a leader counts its proposals over all keys.
using Sequence = std::uint64_t;

/// What a member misses of a key, counted from the version that it is known to have.
struct Delta {
    Sequence since = 0;                     // the oldest proposal that the member has not acknowledged
    std::set<std::uint64_t> chunk_numbers;  // the chunks that changed
    bool replaces_chunks = false;           // all chunks are to be sent, and the ones not named dropped
    bool full = false;                      // the whole value is to be sent
    void merge(const Delta& other);
};

/// Keys that wait for one member. A key keeps its position when it changes again while it waits, so that what has
/// waited longest always goes first.
/// Example: backlog.add("job/1", sequence).chunk_numbers.insert(7); auto [key, delta] = backlog.pop_oldest();
class MemberBacklog {
public:
    bool empty() const { return deltas_.empty(); }
    /// The oldest proposal that waits; none when the backlog is empty.
    std::optional<Sequence> oldest_sequence() const;
    /// The key's entry, made if there is none; an older `since` moves it forward, a newer one leaves its position.
    Delta& add(const std::string& key, Sequence since);
    void erase(const std::string& key);
    /// Removes the key that has waited longest; of equal ones, the first by name. Not to be called when empty.
    std::pair<std::string, Delta> pop_oldest();

private:
    std::map<std::string, Delta> deltas_;
    std::set<std::pair<Sequence, std::string>> keys_by_sequence_;
};

}  // namespace calicostall
