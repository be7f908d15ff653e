// How often daemons ask each other, and what goes on the wire once only: tables and properties.
#include "shared/news/pace.hpp"

#include "control/daemon/turn_pace.hpp"
#include "shared/news/backoff.hpp"
#include "shared/wire/frames.hpp"

#include "check.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

constexpr Micros ms(std::int64_t count) {
    return milliseconds(count);
}

// How many turns a daemon makes in a second when a message comes each `every`, and a turn takes `work`.
size_t turns_in_a_second(bool acting, Micros every, Micros work) {
    TurnPace pace({});
    size_t turns = 0;
    Micros free_at = 0;
    bool wanted = false;
    for (Micros now = seconds(10); now < seconds(11); now += 10) {
        wanted = wanted || now % every == 0;
        if (!wanted || now < free_at || now < pace.earliest(acting)) continue;
        ++turns, wanted = false, free_at = now + work;
        pace.ended(now, now + work);
    }
    return turns;
}

void turns_are_gathered() {
    // A message after a quiet time is worked on at once.
    TurnPace pace({});
    pace.ended(seconds(1), seconds(1) + 50);
    EXPECT(pace.earliest(true) == seconds(1) + 50 + ms(1) && pace.earliest(false) == seconds(1) + 100);
    // An owner's turns don't follow the rate of what comes in; a long turn is
    // followed by as long a pause, in bounds.
    const size_t few = turns_in_a_second(true, ms(1) / 2, 50), many = turns_in_a_second(true, ms(1) / 10, 50);
    EXPECT_SAID(few <= 1000 && many <= 1000, fmt::format("{} and {} turns in a second", few, many));
    EXPECT_SAID(many > 900, fmt::format("{} turns in a second", many));
    pace.ended(seconds(2), seconds(2) + ms(30));
    EXPECT(pace.earliest(true) == seconds(2) + ms(38));
}

void pause_by_lateness() {
    struct Row {
        Micros lateness, pause;
    };
    for (const Row& row : {Row{0, 0}, Row{ms(10), 0}, Row{ms(11), ms(2)}, Row{ms(30), ms(40)}, Row{ms(110), ms(200)},
                           Row{seconds(9), ms(200)}}) {
        Micros pause = ask_pause({}, row.lateness);
        EXPECT_SAID(pause == row.pause, fmt::format("{} late: {}", row.lateness, pause));
    }
    property("later turns never shorten the pause", rc::check([] {
                 Micros lateness = *rc::gen::inRange<Micros>(0, seconds(1)),
                        later = *rc::gen::inRange<Micros>(0, seconds(1));
                 RC_ASSERT(ask_pause({}, lateness + later) >= ask_pause({}, lateness));
             }));
}

void asks_keep_the_pause() {
    AskPacer pacer;
    for (Haste haste : {Haste::resting, Haste::pressing, Haste::urgent})
        EXPECT(pacer.due(haste, 0) == 0);
    pacer.asked(ms(1000));
    pacer.answered(ms(1010), ms(40));
    struct Row {
        Haste haste;
        size_t flying;
        Micros due;
    };
    for (const Row& row :
         {Row{Haste::resting, 0, ms(1050)}, Row{Haste::pressing, 0, ms(1050)}, Row{Haste::urgent, 0, 0},
          Row{Haste::resting, 1, AskPacer::never}, Row{Haste::pressing, 1, ms(1050)}, Row{Haste::urgent, 1, 0},
          Row{Haste::urgent, 2, AskPacer::never}})
        EXPECT_SAID(
            pacer.due(row.haste, row.flying) == row.due,
            fmt::format("haste {}, {} flying: {}", int(row.haste), row.flying, pacer.due(row.haste, row.flying)));
    // While one waits at the owner, a second one leaves a pause after it at the earliest.
    pacer.asked(ms(1100));
    EXPECT(pacer.due(Haste::pressing, 1) == ms(1140));
    pacer.reset();
    EXPECT(pacer.due(Haste::resting, 0) == 0 && pacer.due(Haste::pressing, 1) <= ms(1100));
}

void tries_grow_rarer() {
    property("however often it is asked, a backoff grants few tries, never none", rc::check([](std::uint64_t seed) {
                 Backoff backoff(ms(100), ms(400), seed);
                 size_t tries = 0;
                 Micros last = 0;
                 for (Micros now = 0; now < seconds(8); now += ms(5)) {
                     if (!backoff.due(now)) continue;
                     RC_ASSERT(tries == 0 || (now - last >= ms(75) && now - last <= ms(505)));
                     last = now;
                     ++tries;
                 }
                 RC_ASSERT(tries >= 16 && tries <= 32);
             }));
    Backoff backoff(ms(100), ms(400), 1);
    EXPECT(backoff.due(0) && !backoff.due(ms(70)) && backoff.due(ms(126)) && !backoff.due(ms(126 + 149)));
    EXPECT(backoff.due(ms(1000)));
    backoff.reset();
    EXPECT(!backoff.due(ms(1200)) && backoff.due(ms(1600)) && backoff.due(ms(1726)));
}

void specs_go_once() {
    SideAnswer answer;
    for (std::uint64_t number = 1; number <= 30; ++number) {
        Order order{number, number % 10 == 0 ? OrderKind::stop : OrderKind::start, "life", "task", 1, {}, {}};
        if (order.kind == OrderKind::start) order.spec = std::string(1000, number % 2 ? 'a' : 'b');
        answer.orders.push_back(order);
    }
    std::vector<Order> before = answer.orders;
    size_t plain = pack(answer).size();
    answer.gather_specs();
    std::string bytes = pack(answer);
    EXPECT_SAID(answer.specs.size() == 2 && bytes.size() * 5 < plain,
                fmt::format("{} texts, {} bytes after {}", answer.specs.size(), bytes.size(), plain));
    auto read = unpack<SideAnswer>(bytes);
    EXPECT(read && read->spread_specs() && read->orders.size() == before.size());
    for (size_t place = 0; read && place < before.size(); ++place)
        EXPECT(read->orders[place].spec == before[place].spec && read->orders[place].number == before[place].number);
    if (!read) return;
    read->orders.front().spec_place = 3;
    EXPECT(!read->spread_specs());
}

void frames_come_back() {
    property(
        "what was packed is read, and nothing cut short is",
        rc::check([](const std::string& name, std::int64_t leaves, std::uint64_t mark,
                     const std::vector<std::string>& over, bool silent) {
            SideAsk ask;
            ask.node = name;
            ask.account_mark = mark;
            ask.leaves_in = leaves;
            ask.over = over;
            ask.silent = silent;
            if (silent) ask.worker = WorkerAccount{.life = name, .labels = over, .leaves_in = leaves};
            std::string bytes = pack(ask);
            auto read = unpack<SideAsk>(bytes);
            RC_ASSERT(read && read->node == name && read->account_mark == mark && read->leaves_in == leaves &&
                      read->over == over && read->silent == silent && read->worker == ask.worker);
            RC_ASSERT(!unpack<SideAsk>(std::string_view(bytes).substr(0, *rc::gen::inRange<size_t>(0, bytes.size()))));
        }));
    // A list that says it is longer than the frame takes no room for it.
    std::string lying = "\x01\x8a\x40\x9b";
    EXPECT(!unpack<SideAsk>(lying + std::string(8, '\xff') + "aaaa"));
}

}  // namespace

int main() {
    turns_are_gathered();
    pause_by_lateness();
    asks_keep_the_pause();
    tries_grow_rarer();
    specs_go_once();
    frames_come_back();
    return result();
}
