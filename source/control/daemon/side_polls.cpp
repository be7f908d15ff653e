#include "control/daemon/side_polls.hpp"

namespace calicostall {

void SidePolls::add(SidePoll poll) {
    if (auto older = waiting_.find(poll.node); older != waiting_.end()) {
        superseded_.push_back(take(older));
        superseded_.back().superseded = true;
    }
    deadlines_.emplace(poll.until, poll.node);
    std::string node = poll.node;
    look_at(waiting_.emplace(std::move(node), Waiting{std::move(poll)}).first);
}

void SidePolls::note_news(const std::string& node) {
    if (auto place = waiting_.find(node); place != waiting_.end()) look_at(place);
}

std::vector<SidePoll> SidePolls::take_due(Micros now, const HasNews& has_news) {
    std::vector<SidePoll> due = std::exchange(superseded_, {});
    for (const std::string& node : std::exchange(to_look_at_, {})) {
        auto place = waiting_.find(node);
        if (place == waiting_.end() || !std::exchange(place->second.to_look_at, false)) continue;
        ++looks_;
        if (has_news(place->second.poll)) due.push_back(take(place));
    }
    take_expired(now, due);
    return due;
}

std::vector<SidePoll> SidePolls::take_all() {
    std::vector<SidePoll> all = std::exchange(superseded_, {});
    while (!waiting_.empty())
        all.push_back(take(waiting_.begin()));
    to_look_at_.clear();
    return all;
}

void SidePolls::look_at(Place place) {
    if (std::exchange(place->second.to_look_at, true)) return;
    to_look_at_.push_back(place->first);
}

void SidePolls::take_expired(Micros now, std::vector<SidePoll>& due) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        ++looks_;
        due.push_back(take(waiting_.find(deadlines_.begin()->second)));
    }
}

SidePoll SidePolls::take(Place place) {
    SidePoll poll = std::move(place->second.poll);
    deadlines_.erase({poll.until, poll.node});
    waiting_.erase(place);
    return poll;
}

}  // namespace calicostall
