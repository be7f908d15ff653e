#include "control/jobs/runs/agent_sessions.hpp"

namespace calicostall {

namespace {

constexpr size_t max_past_incarnations = 32;  // of one node; polls of older processes are surely no longer under way

}  // namespace

bool AgentSessions::is_newest(const AgentPollRequest& request) {
    AgentSession& session = by_node_[request.node];
    if (request.agent_incarnation != session.incarnation) {
        std::deque<std::uint64_t>& past = session.past_incarnations;
        if (std::find(past.begin(), past.end(), request.agent_incarnation) != past.end()) return false;
        past.push_back(session.incarnation);
        if (past.size() > max_past_incarnations) past.pop_front();
        session.incarnation = request.agent_incarnation;
        session.last_poll_number = 0;
    }
    if (request.sequence < session.last_poll_number) return false;
    session.last_poll_number = request.sequence;
    return true;
}

}  // namespace calicostall
