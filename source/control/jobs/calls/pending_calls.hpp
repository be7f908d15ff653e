/// The operator's calls at one daemon, from their arrival to their response. Pure: time and responses are passed in,
/// and the caller sends.
///
/// A call stays pending while the leader changes, and is sent again once another leader is known, instead of being
/// turned away to a caller whose backoff grows. Sending twice is harmless: a configuration change that was accepted is
/// recognized by its text, and a read changes nothing.
#pragma once
#include "common.hpp"
#include "shared/wire/call_messages.hpp"

namespace calicostall {

/// All times are microseconds.
struct PendingCallsSettings {
    /// A call is pending for at most so long from its arrival; callers go on to another daemon after a second without
    /// a response.
    Micros timeout = milliseconds(900);
    /// And for each byte of its body so much longer: 256 KB take 1.05 s on a link of 2 Mbit/s, and callers wait longer
    /// for large bodies.
    Micros timeout_per_byte = 5;
    /// One that can't be sent anywhere, at a daemon without contact to a majority, is pending no longer than this.
    Micros timeout_without_quorum = milliseconds(300);
    /// After "not executed" a call is sent again; the backoff doubles each time.
    Micros initial_backoff = milliseconds(50);
    /// More calls than these at once are turned away.
    size_t max_calls = 64;
};

/// Where a call can be sent now.
struct CallRoute {
    bool is_local = false;              // this daemon is the leader and may begin something new
    std::optional<std::string> leader;  // the address of another daemon that is the leader, as far as is known
    Term term;                          // of either
    bool has_quorum_contact = true;     // this daemon is in contact with the majority of the voting members
    bool is_reachable() const { return is_local || leader.has_value(); }
};

/// Owns the pending calls and their attempts.
/// Example:
///   calls.enqueue(request, respond, now);
///   for (PendingCalls::Attempt& attempt : calls.take_due(route, now)) send(attempt);
///   calls.on_response(attempt.ticket, response, now);  // once for each attempt
class PendingCalls {
public:
    using Respond = std::function<void(CallResponse)>;
    /// Names an attempt; each has its own.
    using Ticket = std::uint64_t;

    /// One sending of a call.
    struct Attempt {
        Ticket ticket = 0;
        CallRequest request;
        std::string destination;  // an address; empty where this daemon serves the call itself
        Micros timeout = 0;       // how long a response is of use
    };

    explicit PendingCalls(PendingCallsSettings settings = {}) : settings_(settings) {}

    /// Takes a call in; `respond` is called exactly once, at once if there are too many.
    /// @param now  monotonic time in microseconds, as for all methods
    void enqueue(CallRequest request, Respond respond, Micros now);

    /// Returns what is to be sent now. Calls whose time is up are responded to: *unknown* if one of their attempts may
    /// have been carried out, *not executed* if not. One that this daemon serves itself stays until its outcome is
    /// known.
    std::vector<Attempt> take_due(const CallRoute& route, Micros now);

    /// Takes the response to an attempt; *unknown* if none came. Those of calls that were responded to are ignored.
    void on_response(Ticket ticket, CallResponse response, Micros now);

    /// Responds to all calls as if their time were up: this daemon ends.
    void expire_all();

    /// When `take_due` has something to do by time alone; none while no call is pending.
    std::optional<Micros> next_due_at() const;

    size_t size() const { return calls_.size(); }

private:
    struct PendingCall {
        CallRequest request;
        Respond respond;
        Micros deadline = 0, deadline_without_quorum = 0;
        Micros next_at = 0, backoff = 0;
        std::vector<Ticket> tickets;  // of all its attempts, the latest one last
        bool is_in_flight = false;    // the latest attempt is
        bool is_local = false;        // the latest attempt is served by this daemon
        Term sent_in_term;            // the latest attempt
        Term unknown_in_term;         // the latest attempt whose outcome stayed unknown
        bool is_outcome_unknown = false;
    };

    bool is_expired(const PendingCall& call, const CallRoute& route, Micros now) const;
    bool can_send(const PendingCall& call, const CallRoute& route, Micros now) const;
    Attempt start_attempt(PendingCall& call, const CallRoute& route, Micros now);
    std::list<PendingCall>::iterator find(Ticket ticket);

    PendingCallsSettings settings_;
    std::list<PendingCall> calls_;
    Ticket last_ticket_ = 0;
};

}  // namespace calicostall
