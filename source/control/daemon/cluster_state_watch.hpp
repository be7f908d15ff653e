// The long polls of fronts, agents and daemons outside the membership that wait for a newer cluster state. Owns the
// polls that wait; what the state is, it is told. Pure but for sending the responses.
#pragma once
#include "common.hpp"
#include "shared/http/listener.hpp"
#include "shared/wire/watch_messages.hpp"

namespace calicostall {

// What a response depends on. Two equal states mean equal responses.
struct ClusterState {
    Term term;
    std::uint64_t config_revision = 0;
    std::uint64_t membership_version = 0;
    bool is_in_contact = false;  // with the majority
    bool operator==(const ClusterState&) const = default;
};

// All times are microseconds.
struct ClusterStateWatchSettings {
    // The longest that one requester may wait.
    Micros max_wait = seconds(30);
    // Without contact to the majority a poll is kept only so long: its sender then goes to another daemon.
    Micros max_wait_without_contact = milliseconds(500);
};

// Example: watch.add(std::move(responder), request, now); watch.respond(state, [&] { return make_response(); }, now);
class ClusterStateWatch {
public:
    using ResponseFactory = std::function<WatchResponse()>;

    explicit ClusterStateWatch(ClusterStateWatchSettings settings) : settings_(settings) {}

    // A new poll; the next `respond` decides on it.
    void add(Responder responder, const WatchRequest& request, Micros now);
    // Responds to the polls that are due: those that know an older state, and those whose time is up. `make_response`
    // is called only if there is one.
    void respond(const ClusterState& state, const ResponseFactory& make_response, Micros now);
    // The next `respond` responds to all polls.
    void expire_all();

private:
    struct PendingWatch {
        Responder responder;
        WatchRequest request;
        Micros received_at = 0, expires_at = 0;
    };

    bool is_due(const PendingWatch& watch, const ClusterState& state, Micros now) const;

    ClusterStateWatchSettings settings_;
    std::list<PendingWatch> pending_;
    Micros next_due_at_ = 0;  // before this time nobody is due as long as the state stays the same
    ClusterState last_state_;
};

}  // namespace calicostall
