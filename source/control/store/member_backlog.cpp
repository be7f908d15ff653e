#include "control/store/member_backlog.hpp"

namespace calicostall {

void Delta::merge(const Delta& other) {
    chunk_numbers.insert(other.chunk_numbers.begin(), other.chunk_numbers.end());
    replaces_chunks = replaces_chunks || other.replaces_chunks;
    full = full || other.full;
}

std::optional<Sequence> MemberBacklog::oldest_sequence() const {
    if (keys_by_sequence_.empty()) return std::nullopt;
    return keys_by_sequence_.begin()->first;
}

Delta& MemberBacklog::add(const std::string& key, Sequence since) {
    auto [found, is_new] = deltas_.try_emplace(key);
    Delta& delta = found->second;
    if (is_new || since < delta.since) {
        if (!is_new) keys_by_sequence_.erase({delta.since, key});
        delta.since = since;
        keys_by_sequence_.emplace(since, key);
    }
    return delta;
}

void MemberBacklog::erase(const std::string& key) {
    auto found = deltas_.find(key);
    if (found == deltas_.end()) return;
    keys_by_sequence_.erase({found->second.since, key});
    deltas_.erase(found);
}

std::pair<std::string, Delta> MemberBacklog::pop_oldest() {
    std::string key = keys_by_sequence_.begin()->second;
    keys_by_sequence_.erase(keys_by_sequence_.begin());
    auto found = deltas_.find(key);
    Delta delta = std::move(found->second);
    deltas_.erase(found);
    return {std::move(key), std::move(delta)};
}

}  // namespace calicostall
