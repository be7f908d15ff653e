/// One election as the candidate sees it: what it holds itself, who granted the term, and the values that follow.
///
/// Owned by one `Leader`, which sends the requests. Pure: time and responses are passed in.
#pragma once
#include "common.hpp"
#include "control/store/membership.hpp"
#include "control/store/register_table.hpp"
#include "control/store/replication_messages.hpp"

namespace calicostall {

/// Example:
///   round.begin(replica.registers, known_leader, membership_register);
///   round.add_grant(member, response);
///   if (round.is_granted_by_majority(membership, self)) table.begin_term(term, round.choose_registers());
class ElectionRound {
public:
    /// @param local_registers what the candidate's own replica holds: the others send only what differs from it
    /// @param current_leader the leader that is let finish what it has in flight; none in a failover
    /// @param membership_register the register that the candidate's membership was read from, when it is a later one
    ///        than the own replica holds
    void begin(std::map<std::string, Register> local_registers, std::optional<ReplicaId> current_leader,
               const Register& membership_register);
    /// Forgets what was held and granted; the membership learned last stays readable.
    void clear();

    /// The register that the election's membership was read from: a later one learned from a grant, or the own
    /// replica's; empty when there is none.
    Register membership_register() const;
    /// A grant shows a membership: goes by it if it is later than the one in use.
    /// @return whether it is later
    bool learn_membership(const Register& value);

    /// The prepare to be sent to `to`. A pre-vote promises nothing and names nothing that the candidate holds.
    PrepareRequest make_request(ReplicaId self, ReplicaId to, Term term, PrepareKind kind) const;

    /// Whether the current leader is still to be let finish: until it answered, has gone from the membership, or
    /// `timeout` has run out since the first call.
    bool awaits_current_leader(const Membership& membership, Micros timeout, Micros now);
    /// `from` answered a prepare; null when its answer never came.
    void on_response(ReplicaId from, const PrepareResponse* response);

    void add_grant(ReplicaId from, const PrepareResponse& response) { grants_[from] = response; }
    const PrepareResponse* find_grant(ReplicaId from) const;
    bool has_grant(ReplicaId from) const { return grants_.contains(from); }
    size_t grant_count() const { return grants_.size(); }
    /// Whether a majority of the membership, the candidate itself among them, granted the term.
    bool is_granted_by_majority(const Membership& membership, ReplicaId self) const;

    /// What a replica holds, from its grant: all that the candidate holds itself but for what the grant names.
    std::map<std::string, Revision> revisions_of(const PrepareResponse& grant) const;
    /// The newest value of each key that the grants show, without what a leader since has gone on without. Grants of
    /// replicas that are no members don't count: what they hold is on a majority, or was forgotten since.
    std::map<std::string, Register> choose_registers(const Membership& membership);
    /// Drops the contents, which were chosen from: of what the candidate held only revisions are needed from now on.
    void drop_contents();

private:
    Term synchronized_floor() const;
    std::map<std::string, size_t> count_differing_grants() const;

    std::map<std::string, Register> local_registers_;
    std::string encoded_local_revisions_;       // of `local_registers_`, as KeyRevisions
    std::optional<Register> later_membership_;  // than the own replica holds
    std::optional<ReplicaId> current_leader_;   // while its answer to a pre-vote is awaited
    std::optional<Micros> handover_deadline_;   // set by the first pre-vote
    std::map<ReplicaId, PrepareResponse> grants_;
};

}  // namespace calicostall
