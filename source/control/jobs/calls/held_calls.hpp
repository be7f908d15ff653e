// The operator's calls at one daemon, from their arrival to their answer. A call is held while the owner changes, and
// sent again once another owner is known, instead of being turned away to a caller whose pauses grow. Sending twice is
// harmless: an order that was taken is known by its text, and a read changes nothing. Pure: time and answers are passed
// in, and the caller sends.
#pragma once
#include "common.hpp"
#include "shared/wire/frames.hpp"

namespace calicostall {

// All times are microseconds.
struct HeldCallsSettings {
    // From its arrival a call is held for at most so long; callers go on to another daemon after a second of silence.
    Micros patience = milliseconds(900);
    // One that can't be sent anywhere, at a daemon without contact to the core, is held no longer than this.
    Micros patience_without_contact = milliseconds(300);
    // After "not here" a call is sent again; the pause doubles each time.
    Micros first_pause = milliseconds(50);
    // More calls than these at once are turned away.
    size_t most = 64;
};

// Where a call can be sent now.
struct CallRoute {
    bool serves_here = false;          // this daemon is the owner and may begin something new
    std::optional<std::string> owner;  // the address of another daemon that is the owner, as far as is known
    Epoch epoch;                       // the term of either
    bool in_contact = true;            // this daemon is in contact with the majority of the core
    bool reachable() const { return serves_here || owner.has_value(); }
};

// Example:
//   calls.hold(ask, respond, now);
//   for (HeldCalls::Send& send : calls.due(route, now)) carry(send);  // then note_answer(send.ticket, answer, now)
class HeldCalls {
public:
    using Respond = std::function<void(CallAnswer)>;
    using Ticket = std::uint64_t;

    // One sending of a call; `to` is empty where this daemon serves it itself.
    struct Send {
        Ticket ticket = 0;
        CallAsk ask;
        std::string to;
        Micros patience = 0;
    };

    explicit HeldCalls(HeldCallsSettings settings = {}) : settings_(settings) {}

    // Takes a call; `respond` is called exactly once.
    void hold(CallAsk ask, Respond respond, Micros now);

    // What is to be sent now. Calls whose time is up are answered: *doubtful* if one of their sendings may have been
    // carried out, *elsewhere* if not. One that this daemon serves itself stays until its fate is known.
    std::vector<Send> due(const CallRoute& route, Micros now);

    // The answer to a sending; none came if its fate is *doubtful*. Those of calls answered by now are disregarded.
    void note_answer(Ticket ticket, CallAnswer answer, Micros now);

    // Answers all calls as if their time were up: this daemon ends.
    void release();

    // When `due` has something to do by time alone; none while no call is held.
    std::optional<Micros> next_at() const;

    size_t size() const { return calls_.size(); }

private:
    struct Held {
        CallAsk ask;
        Respond respond;
        Micros deadline = 0, deadline_without_contact = 0;
        Micros next_at = 0, pause = 0;
        std::vector<Ticket> tickets;  // of all its sendings, the last one last
        bool in_flight = false;       // the last one is
        bool served_here = false;     // by the last one
        Epoch sent_to, doubted;       // the terms of the last one, and of the last one that stayed in doubt
        bool doubtful = false;
    };

    bool is_over(const Held& held, const CallRoute& route, Micros now) const;
    bool may_send(const Held& held, const CallRoute& route, Micros now) const;
    Send send(Held& held, const CallRoute& route, Micros now);
    std::list<Held>::iterator find(Ticket ticket);

    HeldCallsSettings settings_;
    std::list<Held> calls_;
    Ticket last_ticket_ = 0;
};

}  // namespace calicostall
