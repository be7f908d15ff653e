// The sides' polls that wait at the owner for orders or other news. Pure: it is told the time and whom there is news
// for.
//
// What it costs to answer does not grow with the number of polls that wait: one is looked at when it comes, when there
// is news for its side, and when its time is up.
#pragma once
#include "common.hpp"
#include "shared/http/listener.hpp"

namespace calicostall {

// A side's poll that waits for orders or other news.
struct SidePoll {
    Reply reply;
    std::string node;
    Epoch epoch;
    std::uint64_t orders_taken = 0, ends_seen = 0;
    Micros until = 0;
    bool superseded = false;  // a newer poll of the same side is here: that one gets the orders
};

// Example: polls.add({std::move(reply), "side-1", epoch, 0, 0, now + timeout});
//          polls.note_news("side-1");
//          for (SidePoll& poll : polls.take_due(now, has_news)) answer(poll);
class SidePolls {
public:
    // Whether a poll is to be answered now, before its time is up.
    using HasNews = std::function<bool(const SidePoll&)>;

    // A new poll; it is looked at by the next `take_due`, and one of the same side that still waits is superseded.
    void add(SidePoll poll);
    // There may be news for the side: its poll, if one waits, is looked at by the next `take_due`.
    void note_news(const std::string& node);
    // The polls that are to be answered: superseded ones, those with news, those whose time is up.
    std::vector<SidePoll> take_due(Micros now, const HasNews& has_news);
    // All polls, whatever they wait for.
    std::vector<SidePoll> take_all();

    size_t size() const { return waiting_.size() + superseded_.size(); }
    // How many polls were looked at so far: what the work of `take_due` is measured by.
    std::uint64_t looks() const { return looks_; }

private:
    struct Waiting {
        SidePoll poll;
        bool to_look_at = false;
    };
    using Place = std::unordered_map<std::string, Waiting>::iterator;

    void look_at(Place place);
    void take_expired(Micros now, std::vector<SidePoll>& due);
    SidePoll take(Place place);

    std::unordered_map<std::string, Waiting> waiting_;    // by node
    std::set<std::pair<Micros, std::string>> deadlines_;  // of all in `waiting_`
    std::vector<std::string> to_look_at_;                 // nodes; each at most once
    std::vector<SidePoll> superseded_;
    std::uint64_t looks_ = 0;
};

}  // namespace calicostall
