/// The messages of the bootstrap, and what a voter keeps on its disk.
///
/// `describe` lists the fields in the order of the wire and of the disk: it never changes.
#pragma once
#include "common.hpp"
#include "control/store/membership.hpp"
#include "control/store/register.hpp"

namespace calicostall {

/// One control daemon as it describes itself.
struct BootstrapEndpoint {
    ReplicaId replica_id;
    std::string replica_address;
    std::string control_address;  // its address among the seeds
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(replica_id), visit(replica_address), visit(control_address);
    }
};

/// What the sender knows of a membership. `is_known` may stand without `membership`: the sender was only told that
/// there is one.
struct MembershipReport {
    bool is_known = false;
    bool is_initial = false;               // `membership` is the first version: a voter that is listed may accept it
    std::optional<Membership> membership;  // as the sender holds it
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(is_known), visit(is_initial), visit(membership);
    }
};

/// Sent by each voter to its seeds, and by each member to those listed members that may not have the membership yet.
struct BootstrapRequest {
    BootstrapEndpoint sender;
    std::vector<std::string> seeds;  // of the sender, sorted
    bool wants_vote = false;
    std::uint64_t vote_count = 0;  // the receiver's, as the sender last received it
    MembershipReport report;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(sender), visit(seeds), visit(wants_vote), visit(vote_count), visit(report);
    }
};

/// The receiver answers for itself.
struct BootstrapResponse {
    ReplicaId to;  // the sender of the request
    BootstrapEndpoint sender;
    bool is_eligible = false;      // whether the sender's disk has a vote; one that doesn't, or is excluded, has none
    bool has_abandoned = false;    // this replica id never forms a membership, now or later
    bool is_vote_granted = false;  // the requester has this disk's vote
    std::uint64_t vote_count = 0;
    MembershipReport report;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(to), visit(sender), visit(is_eligible), visit(has_abandoned), visit(is_vote_granted), visit(vote_count),
            visit(report);
    }
};

/// What a voter has on its disk until it is in a membership: one entry, written before any response that relies on it.
struct BootstrapRecord {
    bool is_voter = false;       // this disk took part in a first start
    bool has_abandoned = false;  // without `is_voter`: the disk is excluded, it was empty after the first start
    std::vector<std::string> seeds;
    std::string voted_address;     // control address of the candidate that has the vote; empty: nobody ever had it
    ReplicaId voted_replica_id;    // zero: the candidate that had it abandoned
    std::uint64_t vote_count = 0;  // rises with each change of the vote
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(is_voter), visit(has_abandoned), visit(seeds), visit(voted_address), visit(voted_replica_id),
            visit(vote_count);
    }
};

}  // namespace calicostall
