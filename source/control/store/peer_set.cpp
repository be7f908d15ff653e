#include "control/store/peer_set.hpp"

namespace calicostall {

void PeerSet::update() {
    std::map<ReplicaId, Member> expected;
    for (const Member& member : membership_.members)
        expected[member.replica_id] = member;
    for (const auto& [replica_id, member] : learners_)
        expected[replica_id] = member;
    std::erase_if(peers_, [&](const auto& entry) { return !expected.contains(entry.first); });
    for (const auto& [replica_id, member] : expected)
        peers_[replica_id].set_member(member);
}

void PeerSet::restart_replication() {
    std::map<ReplicaId, Peer> previous_peers;
    previous_peers.swap(peers_);
    update();
    for (auto& [replica_id, peer] : peers_) {
        auto previous = previous_peers.find(replica_id);
        if (previous != previous_peers.end()) peer.carry_over(previous->second);
    }
}

void PeerSet::clear() {
    peers_.clear();
    learners_.clear();
}

const Peer* PeerSet::find_live(ReplicaId replica_id) const {
    auto found = peers_.find(replica_id);
    return found == peers_.end() || found->second.is_disk_lost() ? nullptr : &found->second;
}

bool PeerSet::is_disk_lost(ReplicaId replica_id) const {
    auto found = peers_.find(replica_id);
    return found != peers_.end() && found->second.is_disk_lost();
}

Peer* PeerSet::end_request(std::uint64_t request_id) {
    for (auto& [replica_id, peer] : peers_) {
        if (!peer.awaits(request_id)) continue;
        peer.end_request();
        return &peer;
    }
    return nullptr;
}

template <class Predicate>
size_t PeerSet::count_members(Predicate predicate) const {
    size_t count = 0;
    for (const Member& member : membership_.members) {
        const Peer* peer = find_live(member.replica_id);
        count += peer && predicate(*peer);
    }
    return count;
}

bool PeerSet::is_majority_synchronized() const {
    return count_members([](const Peer& peer) { return peer.is_synchronized(); }) >= membership_.majority();
}

bool PeerSet::is_majority_responsive(ReplicaId self, Micros since) const {
    size_t count = 0;
    for (const Member& member : membership_.members) {
        const Peer* peer = find_live(member.replica_id);
        count += member.replica_id == self || (peer && peer->has_responded_since(since));
    }
    return count >= membership_.majority();
}

size_t PeerSet::caught_up_count(Sequence sequence, Sequence last_sequence, std::optional<ReplicaId> excluded) const {
    return count_members([&](const Peer& peer) {
        return peer.member().replica_id != excluded && peer.acknowledged_sequence(last_sequence) >= sequence;
    });
}

bool PeerSet::is_majority_at(const std::string& key, Version version) const {
    const size_t count = count_members([&](const Peer& peer) { return peer.has_acknowledged(key, version); });
    return count >= membership_.majority();
}

bool PeerSet::is_majority_in_round(std::uint64_t confirmation_round) const {
    const size_t count = count_members([&](const Peer& peer) { return peer.confirmed_round() >= confirmation_round; });
    return count >= membership_.majority();
}

bool PeerSet::is_everyone_at(const std::string& key, Version version) const {
    return std::all_of(peers_.begin(), peers_.end(),
                       [&](const auto& entry) { return entry.second.has_acknowledged(key, version); });
}

Micros PeerSet::majority_acknowledged_send_at() const {
    std::vector<Micros> send_times;
    for (const Member& member : membership_.members) {
        const Peer* peer = find_live(member.replica_id);
        send_times.push_back(peer ? peer->acknowledged_send_at() : -1);
    }
    if (send_times.size() < membership_.majority()) return -1;
    std::sort(send_times.rbegin(), send_times.rend());
    return send_times[membership_.majority() - 1];
}

}  // namespace calicostall
