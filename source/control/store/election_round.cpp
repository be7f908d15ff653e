#include "control/store/election_round.hpp"

#include "shared/wire/codec.hpp"

namespace calicostall {

namespace {

std::string encode_revisions(const std::map<std::string, Register>& registers) {
    KeyRevisions revisions;
    for (const auto& [key, value] : registers)
        revisions.entries.push_back({key, value.term, value.version});
    return encode(revisions);
}

// Values below the floor were never committed: a leader of a later term has gone on without them.
void keep_newest(std::map<std::string, Register>& chosen, const std::string& key, const Register& value, Term floor) {
    if (value.term < floor) return;
    auto [found, is_new] = chosen.try_emplace(key, value);
    if (!is_new && value.is_newer_than(found->second)) found->second = value;
}

}  // namespace

void ElectionRound::begin(std::map<std::string, Register> local_registers, std::optional<ReplicaId> current_leader,
                          const Register& membership_register) {
    local_registers_ = std::move(local_registers);
    encoded_local_revisions_ = encode_revisions(local_registers_);
    later_membership_.reset();
    if (membership_register.is_newer_than(this->membership_register())) later_membership_ = membership_register;
    current_leader_ = current_leader;
    handover_deadline_.reset();
}

void ElectionRound::clear() {
    local_registers_.clear();
    encoded_local_revisions_.clear();
    grants_.clear();
}

Register ElectionRound::membership_register() const {
    if (later_membership_) return *later_membership_;
    auto local = local_registers_.find(membership_key);
    return local == local_registers_.end() ? Register{} : local->second;
}

bool ElectionRound::learn_membership(const Register& value) {
    if (!value.is_newer_than(membership_register())) return false;
    later_membership_ = value;
    return true;
}

PrepareRequest ElectionRound::make_request(ReplicaId self, ReplicaId to, Term term, PrepareKind kind) const {
    const std::string known = kind == PrepareKind::pre_vote ? std::string() : encoded_local_revisions_;
    return {self, to, term, kind, known, membership_register()};
}

bool ElectionRound::awaits_current_leader(const Membership& membership, Micros timeout, Micros now) {
    if (!current_leader_) return false;
    if (!handover_deadline_) handover_deadline_ = now + timeout;
    if (now >= *handover_deadline_ || !membership.find(*current_leader_)) current_leader_.reset();
    return current_leader_.has_value();
}

void ElectionRound::on_response(ReplicaId from, const PrepareResponse* response) {
    const bool is_still_leading = response && response->verdict == Verdict::untrusted;
    if (current_leader_ == from && !is_still_leading) current_leader_.reset();
}

const PrepareResponse* ElectionRound::find_grant(ReplicaId from) const {
    auto grant = grants_.find(from);
    return grant == grants_.end() ? nullptr : &grant->second;
}

bool ElectionRound::is_granted_by_majority(const Membership& membership, ReplicaId self) const {
    size_t count = 0;
    for (const Member& member : membership.members)
        count += has_grant(member.replica_id);
    return count >= membership.majority() && has_grant(self);
}

std::map<std::string, Revision> ElectionRound::revisions_of(const PrepareResponse& grant) const {
    std::map<std::string, Revision> revisions;
    for (const auto& [key, value] : local_registers_)
        revisions.emplace_hint(revisions.end(), key, Revision{value.term, value.version});
    for (const std::string& key : grant.missing_keys)
        revisions.erase(key);
    for (const KeyedRegister& entry : grant.registers)
        revisions[entry.key] = {entry.value.term, entry.value.version};
    return revisions;
}

std::map<std::string, Register> ElectionRound::choose_registers(const Membership& membership) {
    std::erase_if(grants_, [&](const auto& entry) { return !membership.find(entry.first); });
    const Term floor = synchronized_floor();
    const std::map<std::string, size_t> differing = count_differing_grants();
    std::map<std::string, Register> chosen;
    for (const auto& [key, value] : local_registers_) {
        // The candidate's own content is on the majority unless each grant lacks it or shows another one.
        auto found = differing.find(key);
        if (found == differing.end() || found->second < grants_.size()) keep_newest(chosen, key, value, floor);
    }
    for (const auto& [replica_id, grant] : grants_)
        for (const KeyedRegister& entry : grant.registers)
            keep_newest(chosen, entry.key, entry.value, floor);
    if (later_membership_) keep_newest(chosen, membership_key, *later_membership_, floor);
    return chosen;
}

Term ElectionRound::synchronized_floor() const {
    Term floor;
    for (const auto& [replica_id, grant] : grants_)
        floor = std::max(floor, grant.synchronized_term);
    return floor;
}

// How many grants lack a key that the candidate holds, or show another content of it.
std::map<std::string, size_t> ElectionRound::count_differing_grants() const {
    std::map<std::string, size_t> differing;
    for (const auto& [replica_id, grant] : grants_) {
        for (const std::string& key : grant.missing_keys)
            ++differing[key];
        for (const KeyedRegister& entry : grant.registers)
            if (local_registers_.contains(entry.key)) ++differing[entry.key];
    }
    return differing;
}

void ElectionRound::drop_contents() {
    for (auto& [key, value] : local_registers_) {
        value.immutable.clear();
        value.head.clear();
        value.chunks.clear();
    }
    grants_.clear();
}

}  // namespace calicostall
