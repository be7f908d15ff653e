#include "control/store/member_backlog.hpp"

namespace calicostall {

void Missing::merge(const Missing& other) {
    parts.insert(other.parts.begin(), other.parts.end());
    replaces = replaces || other.replaces;
    whole = whole || other.whole;
}

std::optional<Sequence> MemberBacklog::oldest() const {
    if (order_.empty()) return std::nullopt;
    return order_.begin()->first;
}

Missing& MemberBacklog::add(const std::string& key, Sequence since) {
    auto [place, fresh] = missing_.try_emplace(key);
    Missing& missing = place->second;
    if (fresh || since < missing.since) {
        if (!fresh) order_.erase({missing.since, key});
        missing.since = since;
        order_.emplace(since, key);
    }
    return missing;
}

void MemberBacklog::erase(const std::string& key) {
    auto found = missing_.find(key);
    if (found == missing_.end()) return;
    order_.erase({found->second.since, key});
    missing_.erase(found);
}

std::pair<std::string, Missing> MemberBacklog::take_oldest() {
    std::string key = order_.begin()->second;
    order_.erase(order_.begin());
    auto found = missing_.find(key);
    Missing missing = std::move(found->second);
    missing_.erase(found);
    return {std::move(key), std::move(missing)};
}

}  // namespace calicostall
