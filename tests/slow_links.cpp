// What a daemon on a slow link learns and passes on. A text of the largest size takes more than a second there; the
// owner's address and the members' must come through all the same.
#include "check.hpp"
#include "shared/news/locator.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

const std::vector<std::string> seeds = {"a:1", "b:1", "c:1"};
constexpr Micros transfer_per_byte = 4;  // 2 Mbit/s
constexpr size_t text_bytes = 270000;

// Daemons that all know the same, at the far end of a link; everything that is under way shares it. An answer that
// takes longer than its ask's patience never comes.
struct SlowLoop : Loop {
    struct UnderWay {
        Ask ask;
        Then then;
    };
    std::deque<UnderWay> under_way;
    const std::string text = std::string(text_bytes, 'x');
    NewsAnswer known{21, text_bytes, Epoch{2}, "a:1", 6, seeds, true};
    size_t bytes = 0;

    void ask(Ask ask, Then then) override { under_way.push_back({std::move(ask), std::move(then)}); }

    std::string answer_to(const Ask& ask) const {
        if (ask.url.ends_with("/inner/config")) return pack(ConfigTextAnswer{known.config_revision, text});
        EXPECT(unpack<NewsAsk>(ask.body).has_value());
        return pack(known);
    }
    // All that is under way is answered, or its patience ends.
    void round() {
        std::deque<UnderWay> now;
        now.swap(under_way);
        std::vector<std::string> answers;
        size_t sum = 0;
        for (const UnderWay& each : now) {
            answers.push_back(answer_to(each.ask));
            sum += answers.back().size();
        }
        for (size_t place = 0; place < now.size(); ++place) {
            const bool small = answers[place].size() < 1000;
            const Micros takes = Micros(small ? answers[place].size() : sum) * transfer_per_byte;
            bytes += answers[place].size();
            if (takes > now[place].ask.patience)
                now[place].then({});
            else
                now[place].then({Answer::Fate::answered, 200, answers[place]});
        }
    }
};

// A daemon outside the core, and a front, each with two polls.
void the_owner_is_learnt_over_a_slow_link() {
    for (Micros wait : {seconds(1), seconds(5)}) {
        SlowLoop loop;
        Locator locator({.own = "control-4", .seeds = seeds, .wait = wait}, loop, [] {});
        Locator beside({.own = "front-4", .seeds = seeds, .wait = wait}, loop, [] {});
        locator.open();
        beside.open();
        for (int round = 0; round < 4; ++round)
            loop.round();
        EXPECT_SAID(locator.owner() == "a:1" && locator.epoch() == Epoch{2}, "the owner isn't known");
        EXPECT_SAID(locator.peers().first == 6, "the members aren't known");
        EXPECT_SAID(locator.in_touch(steady_now()), "there is no contact");
        EXPECT_SAID(locator.revision() == 21 && beside.revision() == 21, "the configuration never came");
        EXPECT_SAID(loop.bytes < 3 * text_bytes, fmt::format("{} bytes for two copies of the text", loop.bytes));
    }
}

}  // namespace

int main() {
    the_owner_is_learnt_over_a_slow_link();
    return result();
}
