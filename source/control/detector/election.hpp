/// One daemon's part in the leader election: when it sends heartbeats, starts an election, transfers its leadership and
/// shuts down. The detector says whom to trust; this module says what follows from it.
///
/// Drives the daemon's `Detector` and `Leader`; owned by the daemon, as those are. Pure: time is passed in
/// (microseconds of the monotonic clock), and the caller sends what a step returns.
///
/// A daemon is in one of these conditions:
///  - fit: it sends heartbeats when it trusts itself.
///  - catching up: it may hold an old state, so it is silent. It begins so after a start, after its process was
///  suspended
///    (a gap between two steps), after it was without a majority, and when another leader preempted its term. It ends
///    once the current leader has sent it everything, once a majority has granted or confirmed this daemon's own term,
///    or after `catch_up_timeout`.
///  - draining: it leads and transfers its leadership: nothing new is begun, what is in flight is still committed, and
///    the successor is caught up before it steps down. At most `drain_timeout`.
#pragma once
#include "common.hpp"
#include "control/detector/detector.hpp"
#include "control/store/leader.hpp"
#include "control/store/replica.hpp"
#include "shared/wire/graceful_shutdown_messages.hpp"

namespace calicostall {

struct ElectionSettings {
    /// A longer gap between two steps is a suspension: others may have elected another leader since. The detector's
    /// time-out.
    Micros suspension_threshold = seconds(1);
    /// Even a daemon that nothing happens to makes a step at least twice in this time.
    static constexpr Micros min_suspension_threshold = milliseconds(400);
    Micros catch_up_timeout = milliseconds(1200);
    /// Without a majority for so long a daemon is isolated: it steps down and is silent.
    Micros isolation_timeout = milliseconds(1000);
    /// A disk that has kept a batch waiting for so long makes its daemon unfit.
    Micros disk_stall_timeout = milliseconds(600);
    /// Between two elections that this daemon starts.
    Micros election_interval = milliseconds(150);
    /// How long a leader transfers its leadership before it steps down all the same: to a member of lower rank that has
    /// come back,
    Micros drain_timeout = milliseconds(400);
    /// and when it shuts down for good.
    Micros shutdown_timeout = milliseconds(1500);
};

/// What a step looks at beside the state machines that it drives.
struct ElectionInput {
    const Membership& membership;
    Micros disk_stalled_for = 0;
    bool is_too_slow = false;  // this daemon backs off by itself, see SelfSuspicion
    Micros now = 0;
    const Register* membership_register = nullptr;  // what `membership` was read from, see KnownMembership
};

/// What the caller is to do, and what is worth a line of the log.
struct ElectionStep {
    std::vector<size_t> heartbeat_ranks;  // of those that are to be sent one
    bool was_suspended = false;           // a gap was noticed
    std::optional<Term> drain_started;    // the term whose leadership began to be transferred
    std::optional<Term> stepped_down;     // the term whose leadership, or election, ended
    Micros drained_for = 0;               // how long that was drained before
};

/// What a leader answers to a member that shuts down. The first request is answered with the sequence of the last
/// proposal, the ones after it by whether that much is replicated without the asker.
GracefulShutdownResponse answer_graceful_shutdown(const Leader& leader, const GracefulShutdownRequest& request);

/// Example:
///   ElectionStep step = election.step({membership, disk.stalled_for(now), is_too_slow, now});
///   for (size_t rank : step.heartbeat_ranks) send_heartbeat(rank);
class Election {
public:
    Election(ElectionSettings settings, Detector& detector, Leader& leader, const Replica& replica);

    /// Begins. A daemon that bootstraps the cluster has nobody to catch up with.
    void start(bool is_bootstrapping, Micros now);

    /// This daemon became a member: only from now on it makes steps.
    void begin_membership(Micros now);

    /// To be called for every member at least every few tens of milliseconds.
    ElectionStep step(const ElectionInput& input);

    /// Notices a suspension of the process; to be called before anything is done for a caller from outside.
    /// @return whether there was one
    bool record_activity(Micros now);

    /// Somebody was heard to have this term.
    void record_term(Term term) { highest_term_ = std::max(highest_term_, term); }
    /// The own replica granted a write.
    void on_write_granted(const WriteRequest& request, Micros now);

    /// Whether this daemon, as leader, may begin something new: it is not draining, and after a suspension a majority
    /// has confirmed its term.
    bool can_serve() const;
    /// Whether the own replica may grant a term to `candidate`.
    bool can_grant(ReplicaId candidate, const Membership& membership) const;
    /// Whether this daemon is silent because its state may be old.
    bool is_catching_up(Micros now) const { return now < catching_up_until_; }

    /// How long this daemon has asked for a term without being granted one; 0 when it does not ask.
    Micros ungranted_for(Micros now) const {
        return leader_.state() == Leader::State::preparing ? now - election_started_at_ : 0;
    }

    /// A planned stop: a leader transfers its leadership, nobody starts an election.
    void begin_shutdown(Micros now);
    bool is_shutting_down() const { return shutdown_deadline_.has_value(); }

    /// The leader that is to be let finish what it has in flight, when this daemon is preferred to it. None in a
    /// failover.
    std::optional<ReplicaId> current_leader(const Membership& membership) const;

private:
    struct LastLeader {
        Term term;
        ReplicaId replica_id;
    };

    void begin_catching_up(Micros now);
    void end_catching_up_when_granted();
    bool is_isolated(const ElectionInput& input);
    void seek_leadership(const ElectionInput& input);
    void start_election(const ElectionInput& input);
    void keep_or_step_down(const ElectionInput& input, bool is_isolated_now, ElectionStep& step);
    void transfer_leadership(const ElectionInput& input, ElectionStep& step);
    bool is_transfer_complete(const Membership& membership) const;
    void step_down(ElectionStep& step, Micros now);
    void handle_preemption(Micros now);
    bool is_unfit(const ElectionInput& input) const;

    ElectionSettings settings_;
    Detector& detector_;
    Leader& leader_;
    const Replica& replica_;
    std::optional<Micros> last_step_at_;
    Micros catching_up_until_ = 0;
    Micros doubt_since_ = 0;      // when this daemon last began to catch up
    bool term_in_doubt_ = false;  // the term is older than that, and no majority has confirmed it since
    bool was_catching_up_ = false;
    Micros last_majority_at_ = 0;
    Micros next_election_at_ = 0;
    Micros election_started_at_ = 0;
    Micros drain_started_at_ = 0;
    std::optional<Micros> shutdown_deadline_;
    Term highest_term_;
    LastLeader last_leader_;
    Term led_term_;  // the last one this daemon was seen to synchronize or lead in
};

}  // namespace calicostall
