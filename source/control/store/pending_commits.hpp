/// The callbacks that wait for a majority: each for a version of a key, for a confirmation round, or for both.
///
/// A confirmation round asks the majority once more whether the leader's term still holds (Raft's "read index"): a read
/// that waits for a round which began after it is answered from the latest committed state.
#pragma once
#include <list>

#include "common.hpp"

namespace calicostall {

/// Called with true once the majority has acknowledged, with false when that can no longer be known.
using CommitCallback = std::function<void(bool committed)>;

struct PendingCommit {
    std::string key;
    Version version;                       // 0: the key has no value
    std::uint64_t confirmation_round = 0;  // 0: none is waited for
    CommitCallback callback;
};

/// Example:
///   pending.add({key, version, 0, callback});
///   for (CommitCallback& callback : pending.take_if(is_committed)) callback(true);
class PendingCommits {
public:
    void add(PendingCommit commit) { commits_.push_back(std::move(commit)); }
    bool empty() const { return commits_.empty(); }

    /// Begins a confirmation round; the next write to each member carries it.
    /// @return its number
    std::uint64_t request_round() { return ++requested_round_; }
    /// The round that was requested last.
    std::uint64_t requested_round() const { return requested_round_; }

    /// Removes those of which `is_committed` is true, oldest first, and returns their callbacks.
    std::vector<CommitCallback> take_if(const std::function<bool(const PendingCommit&)>& is_committed);
    /// Removes all and returns their callbacks, oldest first.
    std::vector<CommitCallback> take_all();

private:
    std::list<PendingCommit> commits_;
    std::uint64_t requested_round_ = 0;
};

}  // namespace calicostall
