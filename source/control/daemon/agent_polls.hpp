// The agents' polls that wait at the leader for orders or other updates. Owns the polls that wait. Pure: it is told the
// time and for whom there is an update.
//
// What it costs to respond does not grow with the number of polls that wait: one is inspected when it comes, when there
// is an update for its agent, and when its time is up.
#pragma once
#include "common.hpp"
#include "shared/http/listener.hpp"

namespace calicostall {

// An agent's poll that waits for orders or other updates.
struct AgentPoll {
    Responder responder;
    std::string node;
    Term term;  // of the leader whose orders and acknowledgements the next two fields count
    std::uint64_t last_received_order = 0, acknowledged_end = 0;
    Micros expires_at = 0;
    bool is_superseded = false;  // a newer poll of the same agent is here: that one gets the orders
};

// Example: polls.add({std::move(responder), "agent-1", term, 0, 0, now + timeout});
//          polls.notify("agent-1");
//          for (AgentPoll& poll : polls.remove_due(now, has_update)) respond(poll);
class AgentPolls {
public:
    // Whether a poll is to be responded to now, before its time is up.
    using HasUpdate = std::function<bool(const AgentPoll&)>;

    // A new poll; it is inspected by the next `remove_due`, and one of the same agent that still waits is superseded.
    void add(AgentPoll poll);
    // There may be an update for the agent: its poll, if one waits, is inspected by the next `remove_due`.
    void notify(const std::string& node);
    // The polls that are to be responded to: superseded ones, those with an update, those whose time is up.
    std::vector<AgentPoll> remove_due(Micros now, const HasUpdate& has_update);
    // All polls, whatever they wait for.
    std::vector<AgentPoll> remove_all();

    size_t size() const { return waiting_.size() + superseded_.size(); }
    // How many polls were inspected so far: what the work of `remove_due` is measured by.
    std::uint64_t inspection_count() const { return inspection_count_; }

private:
    struct WaitingPoll {
        AgentPoll poll;
        bool needs_inspection = false;
    };
    using WaitingEntry = std::unordered_map<std::string, WaitingPoll>::iterator;

    void mark_for_inspection(WaitingEntry entry);
    void remove_expired(Micros now, std::vector<AgentPoll>& due);
    AgentPoll remove(WaitingEntry entry);

    std::unordered_map<std::string, WaitingPoll> waiting_;  // by node
    std::set<std::pair<Micros, std::string>> deadlines_;    // of all in `waiting_`
    std::vector<std::string> inspection_queue_;             // nodes; each at most once
    std::vector<AgentPoll> superseded_;
    std::uint64_t inspection_count_ = 0;
};

}  // namespace calicostall
