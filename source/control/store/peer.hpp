/// The replication from a leader to one member or learner: what that replica is known to hold, what it still needs, and
/// the request that is under way to it.
///
/// Owned by the leader's `PeerSet`. Pure: the leader passes time in and sends the requests. All times are microseconds
/// of the monotonic clock; -1 stands for "never".
#pragma once
#include "common.hpp"
#include "control/store/member_backlog.hpp"
#include "control/store/membership.hpp"
#include "control/store/register_table.hpp"
#include "control/store/replication_messages.hpp"

namespace calicostall {

/// What `Peer::next_write` needs of the leader.
struct WriteContext {
    ReplicaId sender;
    const RegisterTable& table;
    std::uint64_t confirmation_round = 0;  // the last one that was requested
    size_t max_batch_bytes = 0;            // a write is closed once it carries so much
};

/// What a granted write changed.
struct WriteResult {
    bool has_adopted = false;  // the peer adopted the term: what matched counts as acknowledged from now on
    std::vector<std::string> acknowledged_tombstones;
};

class Peer {
public:
    const Member& member() const { return member_; }
    void set_member(const Member& member) { member_ = member; }

    // --- the request under way ---

    bool is_idle() const { return in_flight_request_id_ == 0; }
    /// Whether the next request may leave: none is under way, and a back-off or batching delay has run out.
    bool can_send(Micros now) const { return is_idle() && now >= next_send_at_; }
    Micros next_send_at() const { return next_send_at_; }
    void delay_until(Micros time) { next_send_at_ = time; }
    void on_sent(std::uint64_t request_id, Micros now);
    /// Whether the response to this request is awaited.
    bool awaits(std::uint64_t request_id) const { return in_flight_request_id_ == request_id; }
    void end_request() { in_flight_request_id_ = 0; }
    /// Whether something was sent, and nothing since `interval` ago.
    bool is_quiet_for(Micros interval, Micros now) const { return sent_at_ > 0 && now - sent_at_ >= interval; }

    // --- what is known of the replica ---

    void on_response(Micros now) { last_response_at_ = now; }
    bool has_responded_since(Micros since) const { return last_response_at_ >= since; }
    /// Takes over from the same peer before synchronization when it last responded; all else begins anew.
    void carry_over(const Peer& previous) { last_response_at_ = previous.last_response_at_; }
    /// Another replica answers at the member's address: its disk is lost with all that it acknowledged.
    void mark_disk_lost() { disk_lost_ = true; }
    bool is_disk_lost() const { return disk_lost_; }
    void mark_would_grant() { would_grant_ = true; }
    bool would_grant() const { return would_grant_; }
    /// Whether it is known what the replica holds, so that it can be written to.
    bool is_compared() const { return compared_; }
    /// Whether it was sent everything that the election chose, and acknowledged it.
    bool is_synchronized() const { return is_synchronized_; }

    /// Learns what the replica holds. What matches the chosen or the present value need not be written again.
    void compare(const std::map<std::string, Revision>& revisions, const RegisterTable& table);

    // --- writes ---

    /// The key was proposed: queues what changed. `is_full`: the immutable part changed too, so all of it is sent.
    void enqueue(const std::string& key, Sequence sequence, const Mutation& mutation, bool is_full);
    /// The key was collected at this version: the replica is to forget it.
    void enqueue_purge(const std::string& key, Version version);
    /// Whether a write has content or is needed for a confirmation round.
    bool has_work(std::uint64_t confirmation_round) const {
        return !backlog_.empty() || confirmed_round_ < confirmation_round;
    }
    /// The next write; none when there is nothing to send. What it carries counts as in flight.
    std::optional<WriteRequest> next_write(const WriteContext& context);
    /// The replica granted the write in flight.
    /// @param max_batch_delay how long the next batch may gather changes at most
    WriteResult on_write_granted(const WriteResponse& response, const RegisterTable& table, Micros max_batch_delay,
                                 Micros now);
    /// The write in flight failed. It may have arrived or not, so it is sent again; a replica that applied it misses
    /// the base of the second one, says so, and is sent all of the value.
    void requeue(const RegisterTable& table);

    // --- what counts for a majority ---

    /// Whether the replica acknowledged this version of the key, or a later one.
    bool has_acknowledged(const std::string& key, Version version) const;
    /// Up to which proposal the replica acknowledged everything; `last_sequence` is the leader's last one.
    Sequence acknowledged_sequence(Sequence last_sequence) const;
    std::uint64_t confirmed_round() const { return confirmed_round_; }
    /// When the last granted write was sent; -1: none was.
    Micros acknowledged_send_at() const { return acknowledged_send_at_; }

private:
    struct InFlight {
        Version version;
        Delta delta;
    };

    void classify(const std::string& key, const Revision& revision, const RegisterTable& table);
    void enqueue_differing(const RegisterTable& table);
    void fill(WriteRequest& request, const WriteContext& context);
    WriteEntry make_entry(const std::string& key, const Delta& delta, const RegisterTable& table) const;
    void schedule_next_batch(Micros max_batch_delay, Micros now);
    bool finish_adoption();
    std::vector<std::string> acknowledge_entries(const std::set<std::string>& missing_keys, const RegisterTable& table);
    void finish_purges();

    Member member_;
    std::uint64_t in_flight_request_id_ = 0;  // 0: none is under way
    Micros sent_at_ = 0;
    Micros next_send_at_ = 0;
    Micros last_response_at_ = -1;
    Micros acknowledged_send_at_ = -1;
    Micros last_write_response_at_ = -1;
    std::uint64_t confirmed_round_ = 0;
    std::uint64_t in_flight_round_ = 0;
    bool would_grant_ = false;  // it answered a pre-vote
    bool compared_ = false;
    bool adopting_ = false;  // the next write tells it to adopt the term
    bool is_synchronized_ = false;
    bool completing_ = false;  // the write in flight completes the synchronization
    bool disk_lost_ = false;
    MemberBacklog backlog_;
    std::map<std::string, Version> acknowledged_;  // in this term
    std::map<std::string, Version> matching_;      // what it has in this term once it has adopted the term
    std::vector<std::string> divergent_keys_;      // what it holds otherwise than chosen: not to be adopted
    std::map<std::string, InFlight> in_flight_;
    std::map<std::string, Version> pending_purges_;
    std::map<std::string, Version> in_flight_purges_;
};

}  // namespace calicostall
