/// The vote of one disk in the bootstrap: whom it is given to, and when it is free again (rules 1 and 6 of
/// control/membership/bootstrap.hpp). Changes the record that the disk keeps; the caller writes it there. Pure.
#pragma once
#include "control/membership/bootstrap_messages.hpp"

namespace calicostall {

class BootstrapVote {
public:
    /// What became of a request for the vote.
    enum class Grant {
        refused,
        held,   // the requester has had the vote before
        given,  // by this request: the record has changed
    };

    /// @param record of the disk; outlives this object
    explicit BootstrapVote(BootstrapRecord& record) : record_(record) {}

    /// Whether any candidate has the vote, or had it and abandoned.
    bool is_bound() const { return !record_.voted_address.empty(); }
    /// Whether a membership of this candidate may be accepted: it has the vote, or nobody has.
    bool allows(ReplicaId candidate) const {
        return record_.voted_replica_id.value == 0 || record_.voted_replica_id == candidate;
    }
    /// Gives the vote to the requester if it is free for it. Whether it may be given at all is the caller's to know.
    Grant grant(const BootstrapRequest& request);
    /// Frees the vote if the response shows that the disk which has it will never form a membership: it has abandoned,
    /// or it is lost.
    /// @param vote_count_when_asked the record's, when the request was sent which the response belongs to
    /// @return whether the record has changed
    bool release(const BootstrapResponse& response, std::uint64_t vote_count_when_asked);

private:
    bool is_of_lost_disk(const BootstrapResponse& response, std::uint64_t vote_count_when_asked) const;

    BootstrapRecord& record_;
};

}  // namespace calicostall
