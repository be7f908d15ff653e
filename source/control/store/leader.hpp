/// The leading side of the replicated record: elections, commits, confirmations and changes of membership.
///
/// A `Leader` owns the values of its term (`RegisterTable`), the replication to each member and learner (`PeerSet`) and
/// what waits for a majority (`PendingCommits`); while it is a candidate, an `ElectionRound`. Pure: time and responses
/// are passed in, and the caller sends the requests. All times are microseconds of the monotonic clock.
#pragma once
#include "common.hpp"
#include "control/store/election_round.hpp"
#include "control/store/peer_set.hpp"
#include "control/store/pending_commits.hpp"
#include "control/store/register_table.hpp"
#include "control/store/replication_messages.hpp"

namespace calicostall {

struct LeaderSettings {
    /// After a request that failed, or was refused, the member is left alone for so long.
    Micros retry_interval = milliseconds(100);
    /// The same where the member only doesn't trust the candidate yet.
    Micros untrusted_retry_interval = milliseconds(30);
    /// A write is closed once its entries take so much, in bytes.
    size_t max_batch_bytes = 512 * 1024;
    /// Under load changes are gathered for half as long as the last write took, at most so long.
    Micros max_batch_delay = milliseconds(6);
    /// During an election a member that has nothing more to give is asked again after so long.
    Micros probe_interval = milliseconds(200);
    /// How long an election waits for the current leader to finish what it has in flight.
    Micros handover_timeout = milliseconds(500);
};

/// A request that the caller sends to one member; the response goes to `Leader::on_response` with the request's id.
struct OutgoingMessage {
    std::uint64_t request_id = 0;
    Member to;
    std::variant<PrepareRequest, WriteRequest> request;
};

/// Terms. An election asks for one term above the highest that the candidate has seen. A replica promises a term to one
/// candidate, by replica id, and keeps both on its disk before it answers; so of two candidates with an equal term at
/// most one gets a majority of a membership, and the other steps down and asks above it. A leader leads only after its
/// own replica has promised its term as well, so no two incarnations of one daemon lead in one term either. With
/// memberships that change: say X leads in term T by a majority of membership K, and Y asks for T with membership L. If
/// K and L are the same or one step apart, their majorities meet, and the replica in both promised T once. Else L was
/// reached from K by changes that were committed (see below). Had a leader of a higher term made one, whoever shows it
/// has promised more than T, and refuses Y. Had X made it, whoever shows it has promised T to X, and refuses Y. Had a
/// leader of a lower term made the first, a majority of the membership next to K wrote it; a replica of that majority
/// is among those who promised T to X: either it wrote first, and X would have seen it and used that membership, or it
/// promised first, and refused to write. So a term, which workers see as `fence`, belongs to one leader for all time.
///
/// Membership. The membership K changes to K' by one member, and the change is committed once a majority of K' has
/// acknowledged everything that was proposed up to and including it; only then may the next one begin. Catching up
/// before a change was chosen over joint majorities (an election that needs a majority of both memberships): with
/// those, a value that only removed members hold would still have to be copied before they are let go, and an election
/// would wait for members that were removed because they are lost.
///   1. K and K' differ by one member, so any majority of K meets any majority of K'. So it doesn't matter by which of
///      the two a value was committed or an election goes.
///   2. What was committed before K'' begins is on a majority of K', and so is K' itself: it was proposed up to the
///      change to K', and a majority of K' has all of that; or it was proposed after it, and was committed by K'
///      itself.
///   3. An election goes by the latest membership that its grants show, and needs a majority of that one. Say that is
///      K'. Was a K'' committed in a lower term, a majority of K'' wrote it, and by 1. one of them is among the grants:
///      it wrote K'' before it promised, and the grant shows it, or after, and refused. So at most one change is open
///      beyond K', and by 1. and 2. everything that was committed, by K, K' or K'', is found by a majority of K'.
///   4. An election writes what it found, the membership too, to a majority of K' before it leads, so it begins with a
///      committed membership. An open K'' that it didn't see is of a lower term and can't be committed any more: a
///      majority of K' has promised the higher term, and meets every majority of K''. Whoever still holds K'' and goes
///      by it meets that majority, is shown the later K', and goes by that.
///   5. Only grants of members of the membership that the election goes by count; the membership itself may be learned
///      from anybody, as a later one is always safe to go by. By 3. they have all that was committed; what one that was
///      removed still holds may have been collected by all others since.
///   6. A key that was removed is collected only when every member and learner holds its tombstone and no change is
///      open. So whoever takes part in an election, also one that joined since, holds the tombstone or nothing, never
///      the value.
/// A removed member that still answers adds nothing to this and does no harm: its copies are on a majority of the new
/// membership before anything else changes.
///
/// States: idle -> preparing (asks for a higher term) -> synchronizing (writes what the members miss) -> leading.
class Leader {
public:
    enum class State { idle, preparing, synchronizing, leading };
    using Callback = CommitCallback;

    Leader(LeaderSettings settings, ReplicaId self) : settings_(settings), self_(self) {}

    State state() const { return state_; }
    bool leading() const { return state_ == State::leading; }
    /// The term that is led, or asked for; while idle the last one.
    Term term() const { return term_; }
    const Membership& membership() const { return peers_.membership(); }
    const std::map<std::string, Register>& registers() const { return table_.registers(); }
    /// The register that the election's membership was read from: a later one that a grant showed, or the own
    /// replica's; empty when there is none.
    Register membership_register() const { return election_.membership_register(); }
    /// When a majority was last known to follow this term: the sending time of the oldest response that it needs.
    Micros confirmed_at() const { return confirmed_at_; }
    /// How many elections were started.
    std::uint64_t election_count() const { return election_count_; }

    /// Starts an election.
    /// @param highest_term_seen the highest term known; the next one is asked for
    /// @param local_registers what this daemon's own replica holds: the others send only what differs from it
    /// @param current_leader only pre-votes are sent until this member answers that it would grant, or can't be
    /// reached,
    ///        or `handover_timeout` has run out since the first of them
    /// @param membership_register what `membership` was read from, when that is later than what the own replica holds
    /// Example: leader.start_election(membership, std::max(replica.promised_term, highest), replica.registers, known);
    void start_election(const Membership& membership, Term highest_term_seen,
                        std::map<std::string, Register> local_registers = {},
                        std::optional<ReplicaId> current_leader = std::nullopt,
                        const Register& membership_register = {});

    /// Ends the leadership: every callback that waits is called with false, which says neither done nor never done.
    void step_down();

    /// Proposes the key's next value. `on_committed` is called once a majority has it (or with false on stepping down).
    void propose(const std::string& key, std::optional<std::string> immutable, Mutation mutation,
                 Callback on_committed);

    /// Calls back once the key's present value is on a majority that was asked after this call.
    void confirm(const std::string& key, Callback on_committed);

    /// Asks the majority once more whether this term still holds.
    void request_confirmation() { pending_commits_.request_round(); }

    /// Removes a key: an empty value (a tombstone) everywhere first; the key itself is collected once all have that.
    void remove(const std::string& key);

    /// Changes the membership by at most one member; the new one counts at once, as any later reader meets it.
    /// @param encoded the same membership as it is to be stored
    /// @param on_committed called once the change is committed
    /// @return false, and `on_committed` is never called, when the change before isn't committed, more than one member
    ///         differs, or this daemon itself would go
    bool change_membership(const Membership& membership, const std::string& encoded, Callback on_committed);

    /// Whether the last change of membership is committed: a majority of the membership holds everything that was
    /// proposed up to and including it. False while not leading.
    bool membership_committed() const { return leading() && !membership_changing_; }

    /// Whether the member has acknowledged everything that was proposed so far.
    bool is_caught_up(ReplicaId replica_id) const;

    /// Whether as many members as a majority has, not counting this one, are caught up. A member that shuts down
    /// gracefully waits for it.
    bool is_caught_up_without(ReplicaId replica_id) const;

    /// The number of the last proposal.
    Sequence last_sequence() const { return table_.sequence(); }
    /// Whether as many members as a majority has, not counting this one, have acknowledged everything up to that
    /// proposal. Unlike `is_caught_up_without` it comes true under steady writes too.
    bool is_replicated_without(ReplicaId replica_id, Sequence sequence) const;

    /// Begins a transfer of leadership: from here on the caller begins nothing new, and what is in flight is committed.
    void begin_drain() { draining_ = leading(); }
    /// Ends the drain without a successor.
    void cancel_drain() { draining_ = false; }
    bool is_draining() const { return leading() && draining_; }
    /// Draining, and no callback waits any more.
    bool is_drained() const { return is_draining() && pending_commits_.empty() && !membership_changing_; }

    /// A learner is sent everything, but it doesn't count for any majority.
    void add_learner(const Member& member);
    bool is_learner_ready(ReplicaId replica_id) const;
    bool has_learner(ReplicaId replica_id) const { return peers_.has_learner(replica_id); }
    void remove_learner(ReplicaId replica_id);

    /// Whether the member has responded since that time.
    bool responded_since(ReplicaId replica_id, Micros since) const;
    /// Whether the member's disk is known to be lost: another replica id answers at its address.
    bool is_disk_lost(ReplicaId replica_id) const { return peers_.is_disk_lost(replica_id); }
    /// Whether a majority, this daemon included, has responded since that time.
    bool is_majority_responsive(Micros since) const { return peers_.is_majority_responsive(self_, since); }

    /// The requests that are due now; each counts as sent.
    std::vector<OutgoingMessage> messages_due(Micros now);
    /// When `messages_due` has something to send that it holds back now.
    std::optional<Micros> next_message_at() const;

    /// The response to a request; null when none came.
    void on_response(std::uint64_t request_id, const PrepareResponse* response, Micros now);
    void on_response(std::uint64_t request_id, const WriteResponse* response, Micros now);

    /// Set when a response showed a promise of a higher term, or of this one to another candidate; the caller reads and
    /// clears it, and passes it as `highest_term_seen` to its next election.
    std::optional<Term> higher_term_seen;

    /// How the stored membership is read; set once by the caller.
    std::function<std::optional<Membership>(const std::string&)> decode_membership;

private:
    // --- elections ---
    void on_grant(Peer& peer, const PrepareResponse& response);
    void learn_membership(const PrepareResponse& grant);
    void begin_synchronization();
    bool preempts_own_term(Term promised_term, ReplicaId promised_to) const;
    void preempted_by_higher_term(Term promised_term);

    // --- requests ---
    std::optional<PrepareRequest> next_prepare(const Peer& peer, bool pre_votes_only, Micros now) const;
    std::optional<PrepareRequest> next_vote_request(const Peer& peer, bool pre_votes_only) const;
    std::optional<WriteRequest> next_write(Peer& peer, Micros now);
    PrepareRequest make_prepare(const Peer& peer, PrepareKind kind) const;
    template <class Request>
    OutgoingMessage make_message(Peer& peer, Micros now, Request request);

    // --- responses and commits ---
    void mark_disk_lost(Peer& peer, Micros now);
    void back_off(Peer& peer, Micros now) const { peer.delay_until(now + settings_.retry_interval); }
    void on_write_granted(Peer& peer, const WriteResponse& response, Micros now);
    bool is_committed(const PendingCommit& pending) const;
    void update_confirmed_at();
    void run_commit_callbacks();
    void commit_membership_change(std::vector<Callback>& callbacks);
    void collect_tombstone(const std::string& key);
    void collect_tombstones();

    LeaderSettings settings_;
    ReplicaId self_;
    State state_ = State::idle;
    Term term_;
    std::uint64_t election_count_ = 0;
    std::uint64_t last_request_id_ = 0;
    Micros confirmed_at_ = -1;
    ElectionRound election_;
    RegisterTable table_;
    PeerSet peers_;
    PendingCommits pending_commits_;
    bool draining_ = false;
    bool membership_changing_ = false;
    Sequence membership_sequence_ = 0;  // of the last change of membership
    Callback on_membership_committed_;
};

}  // namespace calicostall
