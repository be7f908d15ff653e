/// How the first membership comes about.
///
/// Owned by the daemon; writes into the daemon's `Replica`. Pure: the caller carries the messages and keeps each
/// WriteBatch on the disk. All times are microseconds of the monotonic clock.
///
/// A daemon draws its replica id at random, once for its disk. A voter is a daemon that starts with an empty disk,
/// whose settings say that the whole system starts for the first time, whose own address is among its seeds and whose
/// disk is eligible. A disk that starts empty later on is *excluded*: it never votes and forms nothing, for ever. The
/// *candidate* is the voter with the lowest address of the seeds whose disks are eligible and not excluded. It asks all
/// other such seeds for their vote; with every vote, each given together with the statement "I hold no membership",
/// it writes the membership {members in the order of their addresses, with the replica ids that voted} to its disk and
/// then sends it to the others. A voter accepts the first membership that lists its own replica id at its own address.
/// Members pass the membership on to listed members.
///
/// Rules
///  1. A vote is on the disk before the response that grants it leaves. It is given by a disk that holds no membership,
///     to one control address only, for ever. At that address it may pass from one replica id to another: the requester
///     must name the voter's present `vote_count`, which rises with each change, so a request that is late from an
///     earlier incarnation of the candidate never takes it back.
///  2. A voter grants only to a requester with the same seeds as its own.
///  3. The candidate forms a membership at most once, only while it holds none, has given its own vote to nobody else
///     and has not abandoned; the membership is on its disk before it is sent.
///  4. A disk accepts a membership only if it holds none, is listed with its replica id at its address, and its vote is
///     either with the candidate of that membership (its first member) or with nobody.
///  5. A voter that learns of a membership which does not list its replica id abandons, on its disk, for ever: it never
///     forms one and never votes; it joins as a new member. A vote that it had is free again once the voter knows of
///     that from itself.
///  6. A disk is excluded on its disk before it says so. A vote is free again, for any address, once the voter has
///     asked the address that has it, after the vote was given, and an excluded disk with another replica id responded.
///
/// Invariant: at no time do the disks there are hold two different first memberships. So no two memberships can ever
/// both have a majority.
///
/// Proof. Let X and Y be two memberships that were formed, first without rule 6. With equal seeds the candidates'
/// address A is the same, and a disk at A forms once (3), so they were formed by two disks p and q at A, one after the
/// other; let q be the later one. p's disk is lost when q's incarnation begins, and p's copy of X with it. For Y every
/// other eligible seed s granted q its vote. At that moment s held no membership (1). After it s's vote is with q, who
/// formed one and so never abandoned (5), and passes to nobody while q's disk exists: it goes to another replica id
/// only with the vote_count that is counted after q's vote, which only a later incarnation of A has been sent (1). So s
/// accepts no X after its grant (4), and had none before: no disk that granted q ever holds X. If s was wiped after its
/// grant, its new replica id is not listed in X, which was formed before q's incarnation began. So nobody holds X when
/// Y is formed, or later.
///
/// With rule 6 the candidates p of X and q of Y may have different addresses. X needed the votes
/// of all eligible seeds, among them that of q if p's address is not q's. q's own vote is free again only by rule 6: q
/// asked p's address after it had voted, and another disk responded; so p's disk is lost, and p's copy of X with it.
/// The same holds for each other seed s that voted for p and then for q: it held no membership when it granted q its
/// vote, and accepts no X after it (4); a late request of p fails by the vote_count. An excluded disk is listed in
/// neither, and holds neither.
///
/// What follows from it:
///  - Bootstrap partitioned: the half without the candidate waits; the half with it lacks votes and waits as well. No
///    half forms a membership, as every seed's vote is needed. This is the price: the first start needs all seeds for a
///    few round trips.
///  - Seeds that name each other late, or differ: voters with unlike seeds do not vote for each other (2). Two
///    memberships from two disjoint lists share no disk; whoever learns of a membership that does not list it joins it.
///  - A voter restarted with its disk has its vote there (1) and grants the same again. Restarted without it, it votes
///    anew with a new replica id; the candidate lists the replica id that granted last. If the membership lists the
///    lost one, the new one learns of a membership that does not list it and joins.
///  - The candidate wiped between forming and sending: if nobody accepted X, it never had more than one copy, and the
///    new incarnation may form Y. If anyone accepted X, that disk refuses its vote and reports that a membership
///    exists: the new incarnation abandons. A voter that had passed its vote to the new incarnation accepts X when it
///    has learned that the new one abandoned (5).
///  - Late messages of an earlier incarnation: a request fails by its vote_count (1), a membership by the vote (4), a
///    response by the replica id it is addressed to.
///
///  - The disk of a seed is lost during the first start, be it the candidate's or another one's: the excluded disk says
///    so, and the others form the membership without it; it joins as a new member.
///
/// Limits: a seed that is gone for good before a membership was formed, and whose address stays silent, keeps the
/// others waiting. With a single seed nobody else can be asked, so a single voter whose disk was emptied bootstraps
/// again. The same holds if the disks of all seeds were emptied at once while their settings still say that this is a
/// first start.
#pragma once
#include "control/membership/bootstrap_messages.hpp"
#include "control/membership/bootstrap_vote.hpp"
#include "control/store/replica.hpp"

namespace calicostall {

/// What the settings of the machine say about the bootstrap.
struct BootstrapSettings {
    std::string control_address;     // own address among the seeds
    std::string replica_address;     // of the own replica
    std::vector<std::string> seeds;  // control addresses
    bool is_first_start = false;
    bool is_eligible = false;                     // the own disk may hold a vote
    Micros retry_interval = milliseconds(50);     // between two requests to a seed, until this daemon is a member
    Micros relay_interval = milliseconds(500);    // between two requests to a member that may lack the membership
    Micros indirect_report_timeout = seconds(1);  // a membership reported without its list is believed after so long
};

enum class BootstrapState {
    non_voter,         // takes no part, or is excluded: it only responds, and joins
    collecting_votes,  // a voter without a membership
    abandoned,         // a voter that learned of a membership which does not list it: it joins
    member,            // holds a membership
};

/// A request on its way; the caller brings its response back by `on_response`, or null when none came.
struct BootstrapMessage {
    std::string control_address;  // of the receiver
    std::string replica_address;  // of the receiver's replica, empty where only the control address is known
    BootstrapRequest request;
};

/// The bootstrap of one daemon. Example:
///   Bootstrap bootstrap(settings, replica);
///   disk.enqueue(bootstrap.start(), [] {});
///   for (BootstrapMessage& message : bootstrap.requests_due(now)) send(message);
///   auto [response, batch] = bootstrap.on_request(request, now);
///   disk.enqueue(batch, [response] { reply(response); });
class Bootstrap {
public:
    /// @param replica loaded from the disk, with its replica id; outlives this object
    Bootstrap(BootstrapSettings settings, Replica& replica);
    Bootstrap(const Bootstrap&) = delete;
    Bootstrap& operator=(const Bootstrap&) = delete;

    /// Begins.
    /// @return what must be on the disk before the first message leaves
    WriteBatch start();
    /// The settings were read again: later seeds count as long as this daemon is a voter without a membership.
    WriteBatch change_seeds(std::vector<std::string> seeds);

    /// The requests that are due.
    std::vector<BootstrapMessage> requests_due(Micros now);
    /// When `requests_due` has something to send; none when nothing is left to be done.
    std::optional<Micros> next_request_at() const;

    /// Serves a request. The response may leave once the batch, and all earlier ones, are on the disk.
    std::pair<BootstrapResponse, WriteBatch> on_request(const BootstrapRequest& request, Micros now);
    /// Takes the response of the daemon at `control_address`; null when none came.
    WriteBatch on_response(const std::string& control_address, const BootstrapResponse* response, Micros now);
    /// A membership is at work: one of its messages came in which did not mean this replica id, or a watch names one.
    WriteBatch on_active_membership_observed(Micros now);
    /// All batches that were returned before `sequence` was read from `last_batch_sequence` are on the disk.
    void mark_durable(std::uint64_t sequence);
    /// How many batches were returned so far.
    std::uint64_t last_batch_sequence() const { return batch_count_; }

    BootstrapState state() const;
    /// What the operator should know, one line each; cleared by the call.
    std::vector<std::string> take_log_lines();

private:
    /// What is known of one seed, or of one listed member, and when it is sent the next request.
    struct Peer {
        std::string replica_address;
        Micros next_request_at = 0;
        bool request_in_flight = false;
        std::uint64_t own_vote_count_when_asked = 0;
        std::optional<BootstrapResponse> last_response;
        bool informed = false;  // it holds the membership, or is another disk than the one listed and knows of it
    };

    const Register* membership_register() const;
    std::optional<Membership> local_membership() const;
    bool is_collecting_votes() const { return state() == BootstrapState::collecting_votes; }
    bool is_excluded() const { return record_.has_abandoned && !record_.is_voter; }
    void exclude_if_empty(WriteBatch& batch);
    bool is_membership_durable() const { return durable_batches_ >= membership_batch_; }
    bool is_candidate() const;
    MembershipReport make_report() const;
    BootstrapEndpoint own_endpoint() const;
    std::vector<std::string> other_seeds() const;

    bool can_vote_for(const BootstrapRequest& request) const;
    void on_report(const MembershipReport& report, Micros now, WriteBatch& batch);
    void on_indirect_report(Micros now, WriteBatch& batch);
    void accept_membership(const Membership& membership, WriteBatch& batch);
    void abandon(const std::string& reason, WriteBatch& batch);
    bool try_grant_vote(const BootstrapRequest& request, WriteBatch& batch);
    const BootstrapResponse* last_response_of(const std::string& seed) const;
    bool has_vote_from(const std::string& seed) const;
    bool is_ineligible(const std::string& seed) const;
    void form_membership_if_complete(WriteBatch& batch);
    Membership compose_membership() const;
    void store_membership(const Membership& membership, WriteBatch& batch);
    void persist_record(WriteBatch& batch);
    void append_seed_requests(std::vector<BootstrapMessage>& messages, Micros now);
    void append_member_requests(std::vector<BootstrapMessage>& messages, Micros now);
    std::vector<std::string> uninformed_members() const;
    BootstrapMessage make_request(const std::string& control_address, Peer& peer);
    void update_peer(const BootstrapEndpoint& sender, const MembershipReport& report, Micros now);
    WriteBatch count_batch(WriteBatch batch);

    BootstrapSettings settings_;
    Replica& replica_;
    BootstrapRecord record_;
    BootstrapVote vote_{record_};
    std::map<std::string, Peer> peers_;            // by control address
    std::optional<Micros> indirect_report_since_;  // a membership is known to exist whose list was not seen
    bool relay_complete_ = false;  // every listed member is known to have the membership, or to know of it
    std::uint64_t batch_count_ = 0;
    std::uint64_t durable_batches_ = 0;
    std::uint64_t membership_batch_ = 0;  // the one that stores the membership; 0: none does
    std::vector<std::string> log_lines_;
};

/// A new random id, never zero.
ReplicaId generate_replica_id();

}  // namespace calicostall
