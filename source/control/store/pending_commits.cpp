#include "control/store/pending_commits.hpp"

namespace calicostall {

std::vector<CommitCallback> PendingCommits::take_if(const std::function<bool(const PendingCommit&)>& is_committed) {
    std::vector<CommitCallback> callbacks;
    for (auto pending = commits_.begin(); pending != commits_.end();) {
        if (!is_committed(*pending)) {
            ++pending;
            continue;
        }
        callbacks.push_back(std::move(pending->callback));
        pending = commits_.erase(pending);
    }
    return callbacks;
}

std::vector<CommitCallback> PendingCommits::take_all() {
    std::vector<CommitCallback> callbacks;
    for (PendingCommit& pending : commits_)
        callbacks.push_back(std::move(pending.callback));
    commits_.clear();
    return callbacks;
}

}  // namespace calicostall
