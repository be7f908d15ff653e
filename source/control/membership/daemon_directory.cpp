#include "control/membership/daemon_directory.hpp"

#include "shared/wire/codec.hpp"

namespace calicostall {

void DaemonDirectory::begin_term(const Register* record, Micros now) {
    end_term();
    next_round_at_ = now;
    if (!record) return;
    const std::optional<DirectoryRecord> stored = decode<DirectoryRecord>(record->head);
    if (!stored) return;
    for (const std::string& address : stored->addresses)
        last_heard_at_[address] = now;
}

void DaemonDirectory::end_term() {
    last_heard_at_.clear();
    has_changed_ = false;
    is_proposal_under_way_ = false;
}

void DaemonDirectory::add(const std::string& address, Micros now) {
    const auto [found, is_new] = last_heard_at_.try_emplace(address, now);
    found->second = now;
    if (is_new) has_changed_ = true;
}

void DaemonDirectory::on_answered(const std::string& address, Micros now) {
    auto found = last_heard_at_.find(address);
    if (found != last_heard_at_.end()) found->second = now;
}

std::optional<std::string> DaemonDirectory::next_proposal(Micros now) {
    forget_silent(now);
    if (!has_changed_ || is_proposal_under_way_) return std::nullopt;
    has_changed_ = false;
    is_proposal_under_way_ = true;
    DirectoryRecord record;
    for (const auto& [address, heard_at] : last_heard_at_)
        record.addresses.push_back(address);
    return encode(record);
}

std::set<std::string> DaemonDirectory::announcements_due(const std::vector<std::string>& seeds,
                                                         const std::set<std::string>& excluded, Micros now) {
    if (now < next_round_at_) return {};
    next_round_at_ = now + settings_.announcement_interval;
    std::set<std::string> addresses(seeds.begin(), seeds.end());
    for (const auto& [address, heard_at] : last_heard_at_)
        addresses.insert(address);
    for (const std::string& address : excluded)
        addresses.erase(address);
    return addresses;
}

void DaemonDirectory::forget_silent(Micros now) {
    const size_t before = last_heard_at_.size();
    std::erase_if(last_heard_at_, [&](const auto& entry) { return now - entry.second > settings_.retention; });
    while (last_heard_at_.size() > settings_.max_addresses) {
        auto by_time = [](const auto& one, const auto& other) { return one.second < other.second; };
        last_heard_at_.erase(std::min_element(last_heard_at_.begin(), last_heard_at_.end(), by_time));
    }
    if (last_heard_at_.size() != before) has_changed_ = true;
}

}  // namespace calicostall
