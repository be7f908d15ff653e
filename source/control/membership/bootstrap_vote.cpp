#include "control/membership/bootstrap_vote.hpp"

namespace calicostall {

BootstrapVote::Grant BootstrapVote::grant(const BootstrapRequest& request) {
    if (is_bound() && record_.voted_address != request.sender.control_address) return Grant::refused;
    if (record_.voted_replica_id == request.sender.replica_id) return Grant::held;
    if (request.vote_count != record_.vote_count) return Grant::refused;
    record_.voted_address = request.sender.control_address;
    record_.voted_replica_id = request.sender.replica_id;
    ++record_.vote_count;
    return Grant::given;
}

bool BootstrapVote::release(const BootstrapResponse& response, std::uint64_t vote_count_when_asked) {
    const bool is_given = record_.voted_replica_id.value != 0;
    const bool is_of_sender = is_given && record_.voted_replica_id == response.sender.replica_id;
    const bool is_disk_lost = is_of_lost_disk(response, vote_count_when_asked);
    if (!response.has_abandoned || (!is_of_sender && !is_disk_lost)) return false;
    if (is_disk_lost) record_.voted_address.clear();
    record_.voted_replica_id = ReplicaId{};
    ++record_.vote_count;
    return true;
}

// An excluded disk, with another replica id, responded at the address that has the vote to a request that was sent
// after the vote.
bool BootstrapVote::is_of_lost_disk(const BootstrapResponse& response, std::uint64_t vote_count_when_asked) const {
    const bool is_excluded = response.has_abandoned && !response.is_eligible && !response.report.is_known;
    const bool is_at_voted_address = is_bound() && record_.voted_address == response.sender.control_address;
    const bool is_asked_since = vote_count_when_asked == record_.vote_count;
    const bool is_other_disk = record_.voted_replica_id != response.sender.replica_id;
    return is_excluded && is_at_voted_address && is_asked_since && is_other_disk;
}

}  // namespace calicostall
