// Which poll of an agent is its newest: agents restart, and polls overtake each other.
#pragma once
#include "common.hpp"
#include "shared/wire/agent_poll_messages.hpp"

namespace calicostall {

// Owns, by the agent's node, the agent process that polled last and its last poll.
class AgentSessions {
public:
    // Takes note of a poll.
    // @return false for what an earlier agent process sent late and for a poll that was overtaken: both tell nothing
    // new
    bool is_newest(const AgentPollRequest& request);
    void clear() { by_node_.clear(); }

private:
    struct AgentSession {
        std::uint64_t incarnation = 0, last_poll_number = 0;
        std::deque<std::uint64_t> past_incarnations;
    };
    std::map<std::string, AgentSession> by_node_;
};

}  // namespace calicostall
