#include "control/daemon/agent_polls.hpp"

namespace calicostall {

void AgentPolls::add(AgentPoll poll) {
    if (auto previous = waiting_.find(poll.node); previous != waiting_.end()) {
        superseded_.push_back(remove(previous));
        superseded_.back().is_superseded = true;
    }
    deadlines_.emplace(poll.expires_at, poll.node);
    std::string node = poll.node;
    mark_for_inspection(waiting_.emplace(std::move(node), WaitingPoll{std::move(poll)}).first);
}

void AgentPolls::notify(const std::string& node) {
    if (auto entry = waiting_.find(node); entry != waiting_.end()) mark_for_inspection(entry);
}

std::vector<AgentPoll> AgentPolls::remove_due(Micros now, const HasUpdate& has_update) {
    std::vector<AgentPoll> due = std::exchange(superseded_, {});
    for (const std::string& node : std::exchange(inspection_queue_, {})) {
        auto entry = waiting_.find(node);
        if (entry == waiting_.end() || !std::exchange(entry->second.needs_inspection, false)) continue;
        ++inspection_count_;
        if (has_update(entry->second.poll)) due.push_back(remove(entry));
    }
    remove_expired(now, due);
    return due;
}

std::vector<AgentPoll> AgentPolls::remove_all() {
    std::vector<AgentPoll> all = std::exchange(superseded_, {});
    while (!waiting_.empty())
        all.push_back(remove(waiting_.begin()));
    inspection_queue_.clear();
    return all;
}

void AgentPolls::mark_for_inspection(WaitingEntry entry) {
    if (std::exchange(entry->second.needs_inspection, true)) return;
    inspection_queue_.push_back(entry->first);
}

void AgentPolls::remove_expired(Micros now, std::vector<AgentPoll>& due) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        ++inspection_count_;
        due.push_back(remove(waiting_.find(deadlines_.begin()->second)));
    }
}

AgentPoll AgentPolls::remove(WaitingEntry entry) {
    AgentPoll poll = std::move(entry->second.poll);
    deadlines_.erase({poll.expires_at, poll.node});
    waiting_.erase(entry);
    return poll;
}

}  // namespace calicostall
