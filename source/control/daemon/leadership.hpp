// Who leads the cluster, as this daemon knows it, and whether it is this daemon itself. Owns the known leader, the term
// that the scheduler works under, and when the leader last wrote to the own replica. Pure: time is passed in.
#pragma once
#include "common.hpp"
#include "control/clock/quorum_clock.hpp"
#include "control/detector/election.hpp"
#include "control/store/leader.hpp"

namespace calicostall {

// Example: if (leadership.is_serving()) serve(request);
//          else if (auto address = leadership.other_leader_address()) relay(request, *address);
class Leadership {
public:
    Leadership(const Leader& leader, Election& election, const QuorumClock& clock);

    // The address of the own replica, which is the leader's when this daemon leads.
    void set_own_address(const std::string& address) { own_address_ = address; }
    const std::string& own_address() const { return own_address_; }

    // Whether this daemon leads, and its scheduler has taken the record over.
    bool is_leading() const;
    // The same, and it may begin something new: it is not handing over, its term is not in doubt, and a majority's
    // clocks were heard in it.
    bool is_serving() const;
    // Whether the leader of the store and the scheduler don't agree on the term yet.
    bool must_begin() const { return leader_.leading() && scheduler_term_ != leader_.term(); }
    bool must_end() const { return !leader_.leading() && has_begun(); }
    bool has_begun() const { return scheduler_term_.value != 0; }
    // The scheduler begins to work under the leader's term, or ends.
    void begin(Micros now);
    void end() { scheduler_term_ = Term{}; }
    // Since when this daemon leads; nothing when it doesn't.
    std::optional<Micros> leading_since() const;

    // Somebody named the leader of a term. Returns whether that was new: a later term, or another address of this one.
    bool update_known_leader(Term term, const std::string& address);
    Term known_term() const { return known_term_; }
    // The address of the leader's replica as last heard of; empty when unknown.
    const std::string& leader_address() const { return known_leader_; }
    // The same, when it is another daemon than this one.
    std::optional<std::string> other_leader_address() const;

    // The own replica granted a write of another daemon.
    void on_leader_write(Micros now) { last_leader_write_at_ = now; }
    std::optional<Micros> last_leader_write_at() const { return last_leader_write_at_; }

private:
    const Leader& leader_;
    Election& election_;
    const QuorumClock& clock_;
    std::string own_address_;
    Term scheduler_term_;  // 0: the scheduler doesn't work
    Micros leading_since_ = 0;
    Term known_term_;
    std::string known_leader_;
    std::optional<Micros> last_leader_write_at_;
};

}  // namespace calicostall
