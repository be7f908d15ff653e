// The side against a scripted worker and owner: orders whose answer is lost, and how long answers are waited for.
#include "side/side.hpp"

#include <boost/json.hpp>

#include "check.hpp"
#include "side/retry.hpp"
#include "side/worker_messages.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

// Timers run as in a process; what the side sends is handed to the test, which answers it.
class ScriptedLoop : public Loop {
public:
    struct Sent {
        std::string path;
        Ask ask;
        Then then;
        void answer(std::string body, int code = 200) const { then({Answer::Fate::answered, code, std::move(body)}); }
        void lose() const { then({Answer::Fate::unknown, 0, {}}); }
        boost::json::object body() const { return boost::json::parse(ask.body).as_object(); }
    };

    void ask(Ask ask, Then then) override {
        std::string path = ask.url.substr(ask.url.find('/', 7));
        std::lock_guard guard(lock_);
        sent_.push_back({std::move(path), std::move(ask), std::move(then)});
        arrived_.notify_all();
    }
    // The next call to one of these paths; all others are left unanswered and forgotten.
    Sent await(std::initializer_list<std::string_view> paths) {
        std::unique_lock guard(lock_);
        while (true) {
            bool in_time = arrived_.wait_for(guard, std::chrono::seconds(20), [this] { return !sent_.empty(); });
            if (!in_time) {
                fmt::print(stderr, "nothing was sent to {}\n", *paths.begin());
                std::_Exit(1);
            }
            Sent next = std::move(sent_.front());
            sent_.pop_front();
            if (std::find(paths.begin(), paths.end(), next.path) != paths.end()) return next;
        }
    }

private:
    std::mutex lock_;
    std::condition_variable arrived_;
    std::deque<Sent> sent_;
};

constexpr const char *life = "i-1", *task = "5c0e7a21d94b36f8.0.0.0";

// The loop and the side of a process live as long as it does; so do these.
struct Scene {
    ScriptedLoop& loop = *new ScriptedLoop;
    Side* side = nullptr;
    std::uint64_t orders = 0;

    Scene() {
        SideSettings settings;
        settings.machine.node = "side-1";
        settings.machine.seeds = {"127.0.0.1:1"};
        side = new Side(settings, loop);
        std::thread([running = &loop] { running->run(); }).detach();
        side->open();
        Request beat;
        beat.method = "PUT";
        beat.path = std::string("/workers/") + life;
        beat.body = R"({"service":"s","address":"127.0.0.1:2","phase":"ready","clock_ms":1000,"call_seq":1})";
        side->take(std::move(beat));
    }
    SideAnswer owner_says() const {
        SideAnswer answer;
        answer.served = true;
        answer.epoch = Epoch{65};
        answer.life = life;
        answer.era = 1;
        answer.allowance = seconds(60);
        return answer;
    }
    // Answers polls and plain asks until the side sends something to `path`.
    ScriptedLoop::Sent await(std::string_view path) {
        while (true) {
            ScriptedLoop::Sent sent = loop.await({path, "/hold", "/inner/side"});
            if (sent.path == path) return sent;
            if (sent.path == "/hold") sent.answer(R"({"clock_ms":1000,"active":[],"finished":[]})");
            if (sent.path == "/inner/side") sent.answer(pack(owner_says()));
        }
    }
    void order_start(std::uint32_t run) { give_order(OrderKind::start, run); }
    void give_order(OrderKind kind, std::uint32_t run) {
        Order order;
        order.number = ++orders;
        order.kind = kind;
        order.life = life;
        order.task = task;
        order.run = run;
        order.spec = "text";
        SideAnswer answer = owner_says();
        answer.orders.push_back(order);
        await("/inner/side").answer(pack(answer));
    }
    OrderResult await_result() {
        while (true) {
            ScriptedLoop::Sent sent = await("/inner/side");
            auto ask = unpack<SideAsk>(sent.ask.body);
            sent.answer(pack(owner_says()));
            if (ask && !ask->results.empty()) return ask->results.front();
        }
    }
};

// A refusal says nothing of an earlier attempt that got no answer.
void a_refusal_after_a_lost_answer_is_doubtful() {
    Scene scene;
    scene.order_start(1);
    scene.await("/run-start").lose();
    ScriptedLoop::Sent again = scene.await("/run-start");
    EXPECT(again.body().at("run_id").to_number<int>() == 1);
    again.answer(R"({"clock_ms":1000,"reason":"old"})", 409);
    EXPECT(scene.await_result().fate == OrderFate::doubtful);

    scene.order_start(2);
    scene.await("/run-start").answer(R"({"clock_ms":1000,"reason":"old"})", 409);
    EXPECT(scene.await_result().fate == OrderFate::turned_away);
}

// A worker that is gone while nothing but a stop is open: the owner must hear that it is silent, or its hold, and with
// it the run that is being stopped, would never lapse.
void a_stop_without_answer_shows_a_silent_worker() {
    constexpr Micros patience = seconds(10);
    Scene scene;
    scene.give_order(OrderKind::stop, 1);
    bool polled = false, silent = false;
    for (Micros begun_at = steady_now(); !silent && steady_now() - begun_at < patience;) {
        ScriptedLoop::Sent sent = scene.loop.await({"/run-stop", "/hold", "/inner/side"});
        if (sent.path == "/inner/side") {
            auto ask = unpack<SideAsk>(sent.ask.body);
            silent = ask && ask->silent;
            sent.answer(pack(scene.owner_says()));
        } else if (sent.path == "/hold" && !std::exchange(polled, true)) {
            sent.answer(R"({"clock_ms":1000,"active":[],"finished":[]})");
        } else {
            sent.lose();
        }
    }
    EXPECT(silent);
}

// The look that follows a stop (the short one) is lost while nothing else runs or is open: it must be made again, or
// the owner would never hear that the stopped run is over, and its task would stay placed for good.
void the_look_after_a_stop_is_made_until_it_is_answered() {
    constexpr Micros patience = seconds(10);
    Scene scene;
    // The worker knows the fence: no look is owed for that any more.
    scene.await("/hold").answer(R"({"clock_ms":1000,"active":[],"finished":[]})");
    for (bool shown = false; !shown;) {
        ScriptedLoop::Sent sent = scene.await("/inner/side");
        auto ask = unpack<SideAsk>(sent.ask.body);
        shown = ask && ask->report;
        sent.answer(pack(scene.owner_says()));
    }
    scene.give_order(OrderKind::stop, 1);
    bool stopped = false, lost = false, reported = false;
    for (Micros begun_at = steady_now(); !reported && steady_now() - begun_at < patience;) {
        ScriptedLoop::Sent sent = scene.loop.await({"/run-stop", "/hold", "/inner/side"});
        if (sent.path == "/run-stop") {
            stopped = true;
            sent.answer(R"({"clock_ms":1000})");
        } else if (sent.path == "/hold" && stopped && !lost && !sent.body().contains("wait_ms")) {
            lost = true;
            sent.lose();
        } else if (sent.path == "/hold") {
            sent.answer(R"({"clock_ms":1000,"active":[],"finished":[]})");
        } else {
            auto ask = unpack<SideAsk>(sent.ask.body);
            reported = ask && ask->report && !ask->report->stops.empty();
            sent.answer(pack(scene.owner_says()));
        }
    }
    EXPECT(lost);
    EXPECT(reported);
}

// A worker that answers at once isn't waited for as long as one that is not known.
void quick_answers_shorten_the_patience() {
    Scene scene;
    std::vector<Micros> patiences;
    for (std::uint32_t run = 1; run <= 12; ++run) {
        scene.order_start(run);
        ScriptedLoop::Sent sent = scene.await("/run-start");
        patiences.push_back(sent.ask.patience);
        sent.answer(R"({"clock_ms":1000})");
        EXPECT(scene.await_result().fate == OrderFate::started);
    }
    // Some answer of the test itself may come late on a busy machine: not all of them do.
    EXPECT(*std::min_element(patiences.begin(), patiences.end()) < SideSettings().answer_timeout.most);
}

void timeout_by_round_trips() {
    AnswerTimeout timeout;
    EXPECT(timeout.value() == milliseconds(200));
    timeout.unanswered(0, milliseconds(200));
    EXPECT(timeout.value() == milliseconds(200));
    for (int answer = 0; answer < 20; ++answer)
        timeout.answered(milliseconds(2));
    EXPECT(timeout.value() == milliseconds(40));
    // Ten calls under way together: one doubling.
    for (int call = 0; call < 10; ++call)
        timeout.unanswered(milliseconds(1000), milliseconds(1040 + call));
    EXPECT(timeout.value() == milliseconds(80));
    timeout.unanswered(milliseconds(1100), milliseconds(1180));
    EXPECT(timeout.value() == milliseconds(160));
    timeout.unanswered(milliseconds(1200), milliseconds(1360));
    EXPECT(timeout.value() == milliseconds(200));
    timeout.answered(milliseconds(2));
    EXPECT(timeout.value() == milliseconds(40));
    // One that has become slow is followed.
    for (int answer = 0; answer < 40; ++answer)
        timeout.answered(milliseconds(100));
    EXPECT(timeout.value() > milliseconds(100));
    timeout.reset();
    EXPECT(timeout.value() == milliseconds(200));

    property(
        "a timeout stays between its bounds and above a steady round trip", rc::check([] {
            AnswerTimeout::Settings bounds;
            AnswerTimeout timeout(bounds);
            Micros now = 0;
            for (Micros round_trip : *rc::gen::container<std::vector<Micros>>(rc::gen::inRange<Micros>(0, 300000))) {
                now += round_trip;
                if (round_trip > timeout.value())
                    timeout.unanswered(now - timeout.value(), now);
                else
                    timeout.answered(round_trip);
                RC_ASSERT(timeout.value() >= bounds.least && timeout.value() <= bounds.most);
            }
            Micros steady = *rc::gen::inRange<Micros>(1, 200000);
            for (int answer = 0; answer < 50; ++answer)
                timeout.answered(steady);
            RC_ASSERT(timeout.value() >= steady);
        }));
}

void messages_of_workers() {
    struct Row {
        const char* body;
        bool complete;
    };
    for (const Row& row :
         {Row{R"({"clock_ms":5,"active":[["t.0.0.0",1,"",40]],"finished":[[3,"t.0.0.1",1,"done",""]]})", true},
          Row{R"({"active":[],"finished":[]})", true}, Row{R"({"active":[]})", false},
          Row{R"({"active":[["t",1]],"finished":[]})", false},
          Row{R"({"active":[],"finished":[["3","t",1,"done",""]]})", false}, Row{"[]", false}, Row{"", false},
          Row{R"({"active":[],"finished":[)", false}})
        EXPECT_SAID(parse_hold_reply(row.body).complete == row.complete, row.body);
    HoldReply reply = parse_hold_reply(R"({"clock_ms":5,"active":[["t.0.0.0",1,"c",40]],"finished":[]})");
    EXPECT(reply.clock == milliseconds(5) && reply.active.size() == 1 && reply.active[0].percent == 40);

    EXPECT(parse_reply({Answer::Fate::answered, 409, R"({"clock_ms":7,"reason":"room"})"}).reason == "room");
    EXPECT(parse_reply({Answer::Fate::unknown, 0, R"({"reason":"room"})"}).reason.empty());

    Findings findings;
    EXPECT(!parse_beat("i-1", "[1]", findings));
    auto beat = parse_beat("i-1", R"({"service":"s","address":"a","phase":"draining","leaves_at_ms":1500})", findings);
    EXPECT(findings.empty() && beat && beat->account.draining && beat->account.leaves_in == milliseconds(1500));
    EXPECT(parse_beat("i-1", R"({"address":7})", findings) && !findings.empty());
}

}  // namespace

int main() {
    timeout_by_round_trips();
    messages_of_workers();
    a_refusal_after_a_lost_answer_is_doubtful();
    quick_answers_shorten_the_patience();
    a_stop_without_answer_shows_a_silent_worker();
    the_look_after_a_stop_is_made_until_it_is_answered();
    // The loop's thread goes on to the end: nothing that it uses may be destroyed before.
    int status = result();
    std::fflush(nullptr);
    std::_Exit(status);
}
