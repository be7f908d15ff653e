#include "control/store/register_table.hpp"

namespace calicostall {

const Register* RegisterTable::find(const std::string& key) const {
    auto found = registers_.find(key);
    return found == registers_.end() ? nullptr : &found->second;
}

void RegisterTable::begin_term(Term term, std::map<std::string, Register> chosen) {
    term_ = term;
    registers_ = std::move(chosen);
    for (auto& [key, value] : registers_) {
        chosen_revisions_[key] = {value.term, value.version};
        value.term = term;
        if (value.empty()) tombstones_.insert(key);
    }
    election_sequence_ = ++sequence_;
}

void RegisterTable::clear() {
    registers_.clear();
    chosen_revisions_.clear();
    tombstones_.clear();
    version_floor_ = Version{};
}

Version RegisterTable::apply(const std::string& key, std::optional<std::string> immutable, Mutation mutation) {
    auto [found, is_new] = registers_.try_emplace(key);
    Register& value = found->second;
    tombstones_.erase(key);
    value.version.value = std::max(value.version.value, is_new ? version_floor_.value : 0) + 1;
    value.term = term_;
    if (immutable) value.immutable = std::move(*immutable);
    value.head = std::move(mutation.head);
    value.apply_chunks(mutation.chunks, mutation.replaces_chunks);
    ++sequence_;
    return value.version;
}

void RegisterTable::collect(const std::string& key) {
    auto found = registers_.find(key);
    if (found == registers_.end()) return;
    version_floor_ = std::max(version_floor_, found->second.version);
    tombstones_.erase(key);
    registers_.erase(found);
}

bool RegisterTable::matches(const std::string& key, const Revision& revision) const {
    const Register* value = find(key);
    if (!value) return false;
    if (revision == Revision{term_, value->version}) return true;
    auto chosen = chosen_revisions_.find(key);
    return chosen != chosen_revisions_.end() && revision == chosen->second;
}

}  // namespace calicostall
