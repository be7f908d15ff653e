// The sides' polls that wait at the owner: who is answered when, and that it costs the same however many wait.
#include "control/daemon/side_polls.hpp"

#include "check.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

constexpr Micros timeout = seconds(1);

SidePoll poll_of(size_t side, Micros now) {
    return {Reply(), fmt::format("side-{}", side), Epoch{7}, 0, 0, now + timeout};
}

const SidePolls::HasNews nothing = [](const SidePoll&) { return false; };
const SidePolls::HasNews something = [](const SidePoll&) { return true; };

// How many polls are looked at in one turn in which one side polls and another has news, among so many that wait.
std::uint64_t looks_of_a_turn(size_t sides) {
    SidePolls polls;
    for (size_t side = 0; side < sides; ++side)
        polls.add(poll_of(side, 0));
    polls.take_due(0, nothing);
    const std::uint64_t before = polls.looks();
    polls.add(poll_of(3, 10));
    polls.note_news("side-5");
    polls.take_due(10, [](const SidePoll& poll) { return poll.node == "side-5"; });
    EXPECT(polls.size() == sides - 1);
    return polls.looks() - before;
}

void cost_stays() {
    const std::uint64_t few = looks_of_a_turn(50), many = looks_of_a_turn(1500);
    EXPECT_SAID(few == 2, fmt::format("{} looks among 50 sides", few));
    EXPECT_SAID(many == few, fmt::format("{} looks among 1,500 sides, {} among 50", many, few));
    SidePolls idle;
    for (size_t side = 0; side < 1500; ++side)
        idle.add(poll_of(side, 0));
    idle.take_due(0, nothing);
    const std::uint64_t before = idle.looks();
    for (Micros now = 1; now < 1000; ++now)
        idle.take_due(now, something);
    EXPECT_SAID(idle.looks() == before, "turns without news look at nobody");
}

void who_is_answered() {
    SidePolls polls;
    polls.add(poll_of(1, 0));
    polls.add(poll_of(2, 0));
    EXPECT(polls.take_due(0, nothing).empty());
    // Only the newest poll of a side waits.
    polls.add(poll_of(1, 5));
    std::vector<SidePoll> due = polls.take_due(5, nothing);
    EXPECT(due.size() == 1 && due[0].node == "side-1" && due[0].superseded && due[0].until == timeout);
    // News for a side that has no poll here is told by the next one: it is looked at when it comes.
    polls.note_news("side-3");
    EXPECT(polls.take_due(6, something).empty());
    polls.add(poll_of(3, 7));
    due = polls.take_due(7, something);
    EXPECT(due.size() == 1 && due[0].node == "side-3" && !due[0].superseded);
    // Whose time is up is answered without news, the earliest first, and once.
    due = polls.take_due(timeout + 5, nothing);
    EXPECT(due.size() == 2 && due[0].node == "side-2" && due[1].node == "side-1");
    EXPECT(polls.take_due(3 * timeout, something).empty() && polls.size() == 0);
    polls.add(poll_of(1, 0));
    polls.add(poll_of(1, 1));
    EXPECT(polls.take_all().size() == 2 && polls.size() == 0);
    EXPECT(polls.take_due(3 * timeout, something).empty());
}

// Against a walk over all polls, with sides whose news comes and goes as it likes.
void equals_a_walk() {
    bool good = rc::check("the same polls are answered as by a look at all of them", [] {
        SidePolls polls;
        std::map<std::string, std::pair<Micros, size_t>> waiting;  // node -> until, and how many polls of it wait
        std::set<std::string> with_news;
        Micros now = 0;
        const size_t events = *rc::gen::inRange<size_t>(1, 100);
        for (size_t event = 0; event < events; ++event) {
            now += *rc::gen::inRange<Micros>(0, timeout / 3);
            const size_t side = *rc::gen::inRange<size_t>(0, 6);
            const std::string node = fmt::format("side-{}", side);
            if (*rc::gen::inRange(0, 2)) {
                polls.add(poll_of(side, now));
                waiting[node] = {now + timeout, waiting[node].second + 1};
            } else {
                with_news.insert(node);
                polls.note_news(node);
            }
            if (*rc::gen::inRange(0, 3) == 0) continue;
            std::map<std::string, size_t> expected, answered;
            for (auto& [each, poll] : waiting) {
                const bool due = with_news.contains(each) || poll.first <= now;
                const size_t count = due ? poll.second : poll.second - std::min<size_t>(1, poll.second);
                if (count) expected[each] = count;
                poll.second -= count;
            }
            for (const SidePoll& poll :
                 polls.take_due(now, [&](const SidePoll& poll) { return with_news.contains(poll.node); }))
                ++answered[poll.node], with_news.erase(poll.node);
            RC_ASSERT(answered == expected);
            std::erase_if(waiting, [](const auto& each) { return each.second.second == 0; });
        }
    });
    property("equals a walk", good);
}

}  // namespace

int main() {
    cost_stays();
    who_is_answered();
    equals_a_walk();
    return result();
}
