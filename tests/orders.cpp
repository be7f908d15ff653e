// Orders that are sent again: configurations of two operators, jobs and their cancelling. Tables against the scheduler
// with a ledger that commits when it is told to, then drawn histories against real owners and replicas whose messages
// are lost, late or doubled.
#include "control/store/owner.hpp"
#include "control/store/replica.hpp"
#include "order_desk.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

void taken_orders_are_acknowledged_again() {
    Desk desk;
    desk.take_one_to(12);
    for (int owner = 0; owner < 3; ++owner) {
        for (std::uint64_t revision = 1; revision <= 12; ++revision)
            EXPECT_SAID(desk.put(revision - 1, revision) == 200, fmt::format("revision {} sent again", revision));
        desk.take_over(owner % 2 == 0);
    }
    EXPECT(desk.scheduler.config().revision == 12);
}

void two_operators_under_one_number() {
    Desk desk;
    desk.take_one_to(4);
    // Sent at the same time, before anything is committed.
    auto first = desk.send("4", config_text(5, "first"));
    auto second = desk.send("4", config_text(5, "second"));
    auto first_again = desk.send("4", config_text(5, "first"));
    EXPECT(*first == 0 && *second == 0 && *first_again == 0);
    desk.ledger.commit();
    EXPECT(*first == 200 && *first_again == 200 && *second == 412);
    for (int owner = 0; owner < 3; ++owner) {
        EXPECT(desk.put(4, 5, "first") == 200);
        EXPECT(desk.put(4, 5, "second") == 412);
        desk.take_over(true);
    }
    EXPECT(desk.put(5, 6) == 200);
    EXPECT(desk.put(4, 5, "first") == 200);
    EXPECT(desk.put(4, 5, "second") == 412);
}

void eight_orders_on_one_base() {
    Desk desk;
    desk.take_one_to(1);
    std::vector<Desk::Answer> answers;
    for (int round = 0; round < 3; ++round)
        for (int place = 0; place < 8; ++place)
            answers.push_back(desk.send("1", config_text(2 + std::uint64_t(place % 3), fmt::format("{}", place))));
    desk.ledger.commit();
    for (std::size_t place = 0; place < answers.size(); ++place)
        EXPECT(*answers[place] == (place % 8 == 0 ? 200 : 412));
}

void an_order_in_flight_when_its_owner_is_deposed() {
    for (bool sees_it : {true, false}) {
        Desk desk;
        desk.take_one_to(4);
        auto first = desk.send("4", config_text(5, "first"));
        auto again = desk.send("4", config_text(5, "first"));
        auto rival = desk.send("4", config_text(5, "second"));
        desk.take_over(sees_it);
        EXPECT(unclear(*first) && unclear(*again) && unclear(*rival));
        // The next owner either has it, or takes the one that comes first.
        EXPECT(desk.put(4, 5, "second") == (sees_it ? 412 : 200));
        EXPECT(desk.put(4, 5, "first") == (sees_it ? 200 : 412));
        EXPECT(desk.put(5, 6) == 200);
        EXPECT(desk.put(4, 5, sees_it ? "first" : "second") == 200);
    }
}

void clear_answers_wait_for_a_majority() {
    struct Case {
        std::string name, if_match, text;
        int code;
    };
    for (const Case& each : std::vector<Case>{{"taken and present", "3", config_text(4), 200},
                                              {"taken earlier", "1", config_text(2), 200},
                                              {"next", "4", config_text(5), 200},
                                              {"another base", "3", config_text(5), 412},
                                              {"a base to come", "7", config_text(8), 412},
                                              {"same number, another text", "3", config_text(4, "b"), 412},
                                              {"no base", "", config_text(5), 412},
                                              {"malformed base", "x", config_text(5), 400},
                                              {"number not above its base", "4", config_text(4, "b"), 400},
                                              {"invalid", "4", R"({"revision":5})", 400},
                                              {"no JSON", "4", "{", 400},
                                              {"no table", "4", "[]", 400},
                                              {"taken, sent with another base", "2", config_text(4), 200},
                                              {"taken, sent without base", "", config_text(4), 200}}) {
        Desk desk;
        desk.take_one_to(4);
        auto answer = desk.send(each.if_match, each.text);
        EXPECT_SAID(*answer == 0, each.name + ": answered before a majority was asked");
        desk.ledger.commit();
        EXPECT_SAID(*answer == each.code, fmt::format("{}: {}", each.name, *answer));
        Desk deposed;
        deposed.take_one_to(4);
        answer = deposed.send(each.if_match, each.text);
        deposed.ledger.give_up();
        EXPECT_SAID(unclear(*answer), fmt::format("{}, without a majority: {}", each.name, *answer));
    }
}

void an_earlier_configuration_is_not_refused_for_its_base() {
    Desk desk;
    desk.take_one_to(4);
    for (const char* if_match : {"", "x", "0", "3", "4", "9"})
        EXPECT_SAID(desk.put(if_match, config_text(2)) == 504, std::string("If-Match: ") + if_match);
    EXPECT(desk.scheduler.config().revision == 4);
}

void beyond_the_bound_no_clear_answer() {
    Desk desk;
    desk.take_one_to(1124);
    for (int owner = 0; owner < 2; ++owner) {
        EXPECT(desk.put(99, 100) == 504);
        EXPECT(desk.put(0, 1) == 504);
        EXPECT(desk.put(100, 101) == 200);
        EXPECT(desk.put(1122, 1123) == 200);
        EXPECT(desk.put(1122, 1123, "other") == 412);
        desk.take_over(true);
    }
    EXPECT(desk.put(1124, 1125) == 200);
}

void a_record_of_an_earlier_version() {
    Desk desk;
    desk.ledger.registers["config"].moving = config_text(7);
    desk.take_over(true);
    EXPECT(desk.scheduler.config().revision == 7);
    EXPECT(desk.put(6, 7) == 200);
    EXPECT(desk.put(4, 5) == 504);
    EXPECT(desk.put(6, 8) == 412);
    EXPECT(desk.put(7, 8) == 200);
    desk.take_over(true);
    EXPECT(desk.put(7, 8) == 200);
    EXPECT(desk.put(7, 8, "other") == 412);
    EXPECT(desk.put(6, 7) == 504);
    EXPECT(desk.put(8, 9) == 200);
    EXPECT(desk.put(7, 8) == 200);
}

// A copy that came too early must not be refused if another copy was taken before the refusal was confirmed.
void a_copy_taken_while_another_is_being_refused() {
    Desk desk;
    desk.take_one_to(1);
    auto early = desk.send("2", config_text(3));
    auto second = desk.send("1", config_text(2));
    auto third = desk.send("2", config_text(3));
    desk.ledger.commit();
    EXPECT(*second == 200 && *third == 200);
    EXPECT_SAID(unclear(*early), fmt::format("early copy: {}", *early));
}

// An owner that begins publishes what it found, unless a newer one was taken before that was confirmed.
void an_old_configuration_is_not_published_after_a_newer_one() {
    Desk desk;
    desk.take_one_to(2);
    desk.ledger.registers["published"].moving = config_text(1);
    desk.scheduler.begin(Epoch{9}, desk.ledger.registers, desk.now);
    auto found = std::move(desk.ledger.waits.front());  // the confirmation of revision 2 is late
    desk.ledger.waits.pop_front();
    EXPECT(desk.put(2, 3) == 200);
    found.callback(true);
    EXPECT(desk.ledger.published.back() == config_text(3));
}

void the_daemon_reads_back_what_it_took() {
    Desk desk;
    desk.take_one_to(3);
    std::string body;
    desk.scheduler.get_config([&](CallFate, Response response) { body = response.body; });
    EXPECT(body.empty());
    desk.ledger.commit();
    EXPECT(body == config_text(3));
}

// --- jobs ---

void jobs_sent_again() {
    const std::string job = R"({"job_spec":"x","steps":[{"count":1,"cpu":1000,"estimate_ms":100}]})";
    const std::string id = "00000000000000a1";
    struct Step {
        std::string state, method, path;
        int code;
    };
    Desk desk;
    desk.take_one_to(1);
    auto play = [&](const std::vector<Step>& steps) {
        for (const Step& step : steps) {
            int code = desk.call(step.method, step.path + id, step.method == "POST" ? job : "");
            EXPECT_SAID(code == step.code, fmt::format("{}: {} {} gets {}", step.state, step.method, step.path, code));
        }
    };
    play({{"unknown", "DELETE", "/a/", 410},
          {"unknown", "GET", "/a/", 410},
          {"unknown", "POST", "/a/", 200},
          {"accepted", "POST", "/a/", 200},
          {"accepted", "POST", "/b/", 409},
          {"accepted", "DELETE", "/b/", 410},
          {"accepted", "GET", "/a/", 200}});
    desk.take_over(true);
    play({{"accepted, next owner", "POST", "/a/", 200},
          {"accepted, next owner", "DELETE", "/a/", 200},
          {"cancelled", "DELETE", "/a/", 200},
          {"cancelled", "POST", "/a/", 200},
          {"cancelled", "GET", "/a/", 200}});
    desk.take_over(true);
    play({{"cancelled, next owner", "DELETE", "/a/", 200}, {"cancelled, next owner", "POST", "/a/", 200}});
    EXPECT(desk.scheduler.find_job(id)->ended());
    EXPECT(std::string(desk.scheduler.find_job(id)->phase()) == "cancelled");
    // Forgotten after `status_s`: another job from then on.
    desk.now += seconds(200);
    desk.scheduler.tick(desk.now, desk.now, desk.now);
    play({{"forgotten", "GET", "/a/", 410},
          {"forgotten", "DELETE", "/a/", 410},
          {"forgotten", "POST", "/a/", 200},
          {"accepted once more", "POST", "/a/", 200}});
}

void ended_jobs_sent_again() {
    const std::string job = R"({"job_spec":"x","steps":[{"count":1,"cpu":1000,"estimate_ms":100}]})";
    const std::string path = "/a/00000000000000a3";
    Desk desk;
    desk.take_one_to(1);
    QuickWorker worker{desk};
    worker.work(10);
    EXPECT(desk.call("POST", path, job) == 200);
    worker.work(10);
    for (int owner = 0; owner < 2; ++owner) {
        EXPECT(std::string(desk.scheduler.find_job(path.substr(3))->phase()) == "done");
        EXPECT(desk.call("POST", path, job) == 200);
        EXPECT(desk.call("DELETE", path) == 200);
        EXPECT(desk.call("GET", path) == 200);
        desk.take_over(true);
    }
    EXPECT(std::string(desk.scheduler.find_job(path.substr(3))->phase()) == "done");
}

// A job's call in flight when its owner is deposed gets no clear answer, and is settled by the next owner.
void jobs_in_flight() {
    const std::string job = R"({"job_spec":"x","steps":[{"count":1,"cpu":1000,"estimate_ms":100}]})";
    const std::string path = "/a/00000000000000a2";
    for (bool sees_it : {true, false}) {
        Desk desk;
        desk.take_one_to(1);
        std::vector<int> codes;
        auto send = [&](const std::string& method) {
            desk.scheduler.call({method, host, path, method == "POST" ? job : "", "", false}, desk.now, desk.now,
                                [&](CallFate fate, Response response) { codes.push_back(code_of(fate, response)); });
        };
        send("POST"), send("POST");
        EXPECT(codes.empty());
        desk.take_over(sees_it);
        EXPECT(codes == (std::vector<int>{504, 504}));
        EXPECT(desk.call("POST", path, job) == 200);
        codes.clear();
        send("DELETE"), send("DELETE");
        EXPECT(codes.empty());
        desk.take_over(sees_it);
        EXPECT(codes == (std::vector<int>{504, 504}));
        EXPECT(desk.call("DELETE", path) == 200);
        EXPECT(desk.call("POST", path, job) == 200);
        EXPECT(std::string(desk.scheduler.find_job(path.substr(3))->phase()) == "cancelled");
    }
}

// --- drawn histories: real owners and replicas, two operators ---

struct DrawnOrder {
    std::uint64_t revision = 0, base = 0;
    std::string text;
    std::size_t by = 0;
    bool open = true;                            // its operator has no clear answer yet
    bool acknowledged = false, refused = false;  // by any answer, lost ones too
};

class Cluster {
public:
    explicit Cluster(std::size_t count) : operators_(2) {
        Core core;
        for (std::size_t place = 0; place < count; ++place)
            core.members.push_back(
                {core.next_number++, Identity{place + 1}, fmt::format("d{}", place), fmt::format("c{}", place)});
        core.size_wanted = count;
        for (std::size_t place = 0; place < count; ++place) {
            auto daemon = std::make_unique<Daemon>();
            daemon->replica.identity = Identity{place + 1};
            daemon->replica.found("core", Register{Epoch{0}, Version{1}, {}, pack(core), {}});
            daemon->core = core;
            daemons_.push_back(std::move(daemon));
            start(place);
        }
    }
    std::size_t size() const { return daemons_.size(); }
    std::string broken;  // the first rule that was broken
    std::size_t acknowledged = 0, takeovers = 0, sendings = 0;

    void take_over(std::size_t place) {
        Daemon& daemon = *daemons_[place];
        if (daemon.live->owner.state() != Owner::State::idle) return;
        Epoch seen = std::max(daemon.replica.promised, daemon.live->highest);
        daemon.live->owner.take_over(daemon.core, seen, daemon.replica.registers);
        follow(place);
    }
    // The process ends without a word; what its disk took stays.
    void restart(std::size_t place) { start(place); }
    void give_way(std::size_t place) {
        daemons_[place]->live->owner.give_up();
        follow(place);
    }
    void pump(std::size_t place) {
        Daemon& daemon = *daemons_[place];
        for (OutgoingMessage& outgoing : daemon.live->owner.messages_due(now_)) {
            std::size_t to = std::size_t(outgoing.to.identity.value - 1);
            messages_.push_back({place, to, daemon.life, std::move(outgoing)});
        }
    }
    // Carries the drawn message to its replica; the answer comes back or not.
    void deliver(std::size_t draw, bool answer_lost, bool keep_a_copy) {
        if (messages_.empty()) return;
        auto message = messages_.begin() + std::ptrdiff_t(draw % messages_.size());
        Message taken = *message;
        if (!keep_a_copy) messages_.erase(message);
        if (auto* ask = std::get_if<PrepareAsk>(&taken.outgoing.ask)) {
            auto [answer, change] = daemons_[taken.to]->replica.prepare(*ask, true);
            if (answer.verdict == Verdict::granted && taken.from != taken.to) give_way(taken.to);
            bring(taken, answer, answer_lost);
        } else {
            auto [answer, change] = daemons_[taken.to]->replica.write(std::get<WriteAsk>(taken.outgoing.ask));
            bring(taken, answer, answer_lost);
        }
    }
    void lose(std::size_t draw) {
        if (messages_.empty()) return;
        auto message = messages_.begin() + std::ptrdiff_t(draw % messages_.size());
        Message lost = *message;
        messages_.erase(message);
        bring(lost, WriteAnswer{}, true);
    }
    // An operator makes a new change of what it knows as the newest; four at once at most.
    void make_order(std::size_t by, std::uint64_t leap) {
        std::size_t open = 0;
        for (const DrawnOrder& order : orders_)
            open += order.by == by && order.open;
        if (open >= 4) return;
        DrawnOrder order;
        order.base = operators_[by];
        order.revision = order.base + 1 + leap;
        order.text = config_text(order.revision, fmt::format("{} of {}", orders_.size(), by));
        order.by = by;
        orders_.push_back(std::move(order));
    }
    void send(std::size_t draw, std::size_t place, bool answer_lost) {
        if (orders_.empty()) return;
        const std::size_t number = draw % orders_.size();
        ++sendings;
        Daemon& daemon = *daemons_[place];
        if (!acting(daemon)) return;
        const DrawnOrder& order = orders_[number];
        daemon.live->scheduler.put_config({"PUT", "", "/config", order.text, std::to_string(order.base), false},
                                          [this, number, answer_lost](CallFate fate, Response response) {
                                              note_answer(number, code_of(fate, response), answer_lost);
                                          });
    }
    // Reads the configuration back for an operator; the answer must not be older than what was acknowledged before.
    void read(std::size_t by, std::size_t place) {
        Daemon& daemon = *daemons_[place];
        if (!acting(daemon)) return;
        daemon.live->scheduler.get_config([this, by, least = highest_acknowledged_](CallFate fate, Response response) {
            const int code = code_of(fate, response);
            if (code != 200 && code != 404) return;
            Findings findings;
            const std::uint64_t revision = code == 200 ? parse_config(response.body, findings).revision : 0;
            if (revision < least) note_broken(fmt::format("{} read after {} was acknowledged", revision, least));
            operators_[by] = std::max(operators_[by], revision);
        });
    }
    void pass(Micros time) { now_ += time; }
    std::size_t order_count() const { return orders_.size(); }
    std::size_t message_count() const { return messages_.size(); }

    // All faults end: the daemon becomes owner and every order is sent there until its answer is clear.
    void settle(std::size_t place) {
        messages_.clear();
        for (std::size_t each = 0; each < size(); ++each)
            start(each);
        for (int round = 0; round < 40 && !acting(*daemons_[place]); ++round) {
            take_over(place);
            run_calmly(place);
        }
        if (!acting(*daemons_[place])) return note_broken("no owner after the faults ended");
        for (std::size_t number = 0; number < orders_.size(); ++number)
            for (int times = 0; times < 2; ++times) {
                send(number, place, false);
                run_calmly(place);
            }
        const Config& present = daemons_[place]->live->scheduler.config();
        for (const DrawnOrder& order : orders_) {
            if (order.open) note_broken(fmt::format("revision {} never got a clear answer", order.revision));
            if (order.acknowledged && order.revision > present.revision)
                note_broken(fmt::format("revision {} was acknowledged and is lost", order.revision));
            if (order.acknowledged && order.revision == present.revision && order.text != present.text)
                note_broken(fmt::format("another text is in force under revision {}", order.revision));
        }
    }

private:
    struct Daemon;
    struct OwnerLedger {
        Owner* owner = nullptr;
        void propose(const std::string& key, std::optional<std::string> fixed, Patch patch,
                     std::function<void(bool)> callback) {
            owner->propose(key, std::move(fixed), std::move(patch), std::move(callback));
        }
        void confirm(const std::string& key, std::function<void(bool)> callback) {
            owner->confirm(key, std::move(callback));
        }
        void bury(const std::string& key) { owner->remove(key); }
    };
    struct Process {
        Owner owner;
        OwnerLedger ledger;
        Scheduler<OwnerLedger> scheduler;
        Epoch scheduler_epoch, highest;
        explicit Process(Identity identity) : owner({}, identity), ledger{&owner}, scheduler({}, ledger) {
            owner.unpack_core = [](const std::string& packed) { return unpack<Core>(packed); };
        }
    };
    struct Daemon {
        Replica replica;
        Core core;
        std::unique_ptr<Process> live;
        std::uint64_t life = 0;
    };
    struct Message {
        std::size_t from, to;
        std::uint64_t life;  // of the sender: a later process doesn't know the message
        OutgoingMessage outgoing;
    };

    static bool acting(const Daemon& daemon) {
        return daemon.live->owner.acting() && daemon.live->scheduler_epoch == daemon.live->owner.epoch();
    }
    void start(std::size_t place) {
        Daemon& daemon = *daemons_[place];
        ++daemon.life;
        // The old process tells nobody anything: its callbacks go with it.
        daemon.live = std::make_unique<Process>(daemon.replica.identity);
    }
    // Scheduler and owner begin and end together, as in the daemon.
    void follow(std::size_t place) {
        Process& live = *daemons_[place]->live;
        if (live.owner.superseded_by) {
            live.highest = std::max(live.highest, *live.owner.superseded_by);
            live.owner.superseded_by.reset();
        }
        if (live.owner.acting() && live.scheduler_epoch != live.owner.epoch()) {
            ++takeovers;
            live.scheduler_epoch = live.owner.epoch();
            live.scheduler.begin(live.owner.epoch(), live.owner.registers(), now_);
        }
        if (!live.owner.acting() && live.scheduler_epoch.value != 0) {
            live.scheduler_epoch = Epoch{};
            live.scheduler.end_ownership();
        }
    }
    template <class Answer>
    void bring(const Message& message, const Answer& answer, bool lost) {
        Daemon& asker = *daemons_[message.from];
        if (asker.life != message.life) return;
        asker.live->owner.take(message.outgoing.ticket, lost ? nullptr : &answer, now_);
        follow(message.from);
    }
    void run_calmly(std::size_t place) {
        for (int round = 0; round < 8; ++round) {
            pass(milliseconds(200));
            pump(place);
            while (!messages_.empty())
                deliver(0, false, false);
        }
    }
    void note_answer(std::size_t number, int code, bool lost) {
        DrawnOrder& order = orders_[number];
        if (unclear(code)) return;
        const bool yes = code == 200;
        if (!yes && code != 412) note_broken(fmt::format("a valid order got {}", code));
        (yes ? order.acknowledged : order.refused) = true;
        if (order.acknowledged && order.refused)
            note_broken(fmt::format("revision {} on base {} was acknowledged and refused", order.revision, order.base));
        if (yes) {
            ++acknowledged;
            highest_acknowledged_ = std::max(highest_acknowledged_, order.revision);
            auto [winner, fresh] = winners_.try_emplace(order.base, number);
            if (!fresh && winner->second != number)
                note_broken(fmt::format("two orders were acknowledged on base {}", order.base));
        }
        if (lost) return;
        order.open = false;
        if (yes) operators_[order.by] = std::max(operators_[order.by], order.revision);
    }
    void note_broken(const std::string& what) {
        if (broken.empty()) broken = what;
    }

    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::vector<Message> messages_;
    std::vector<DrawnOrder> orders_;
    std::vector<std::uint64_t> operators_;          // the newest revision that each one knows
    std::map<std::uint64_t, std::size_t> winners_;  // by base
    std::uint64_t highest_acknowledged_ = 0;
    Micros now_ = seconds(10);
};

// One random number generator a history: a history has thousands of draws.
void play(std::uint64_t seed, std::size_t steps, Cluster& cluster) {
    std::mt19937_64 random(seed);
    auto draw = [&](std::uint64_t below) { return std::size_t(random() % below); };
    // How often something goes wrong, one in so many; drawn for each history, as rare and frequent troubles differ.
    const std::uint64_t trouble = 4 + draw(60);
    for (std::size_t step = 0; step < steps && cluster.broken.empty(); ++step) {
        cluster.pass(Micros(draw(20000)));
        const std::size_t place = draw(cluster.size());
        if (draw(trouble) == 0) switch (draw(5)) {
                case 0:
                    cluster.restart(place);
                    break;
                case 1:
                    cluster.give_way(place);
                    break;
                case 2:
                    cluster.lose(draw(1000));
                    break;
                default:
                    cluster.take_over(place);
            }
        switch (draw(16)) {
            case 0:
                cluster.make_order(draw(2), draw(3));
                break;
            case 1:
                cluster.read(draw(2), place);
                break;
            case 2:
            case 3:
            case 4:
                cluster.send(draw(1000000), place, draw(2) == 0);
                break;
            case 5:
            case 6:
            case 7:
                // Newest first: what is under way is sent most.
                if (cluster.order_count() > 0)
                    cluster.send(cluster.order_count() - 1 - draw(std::min<std::size_t>(cluster.order_count(), 8)),
                                 place, draw(2) == 0);
                break;
            case 8:
            case 9:
                cluster.pump(place);
                break;
            default:
                cluster.pump(place);
                cluster.deliver(draw(1000), draw(trouble) == 0, draw(trouble) == 0);
        }
    }
    if (cluster.broken.empty()) cluster.settle(draw(cluster.size()));
}

void drawn_histories() {
    std::size_t acknowledged = 0, takeovers = 0, sendings = 0;
    bool good = rc::check("taken orders are never refused, and of two on one base one is taken", [&] {
        const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(1, 1u << 30);
        const std::size_t steps = *rc::gen::inRange<std::size_t>(100, 8000);
        const std::size_t count = *rc::gen::element<std::size_t>(3, 5);
        Cluster cluster(count);
        play(seed, steps, cluster);
        acknowledged += cluster.acknowledged, takeovers += cluster.takeovers, sendings += cluster.sendings;
        if (!cluster.broken.empty()) RC_FAIL(cluster.broken);
    });
    property("drawn histories", good);
    fmt::print("{} sendings, {} acknowledgements, {} takeovers\n", sendings, acknowledged, takeovers);
    // A history in which nothing happens shows nothing.
    EXPECT(acknowledged > 1000 && takeovers > 500);
}

}  // namespace

int main() {
    taken_orders_are_acknowledged_again();
    two_operators_under_one_number();
    eight_orders_on_one_base();
    an_order_in_flight_when_its_owner_is_deposed();
    clear_answers_wait_for_a_majority();
    an_earlier_configuration_is_not_refused_for_its_base();
    beyond_the_bound_no_clear_answer();
    a_record_of_an_earlier_version();
    a_copy_taken_while_another_is_being_refused();
    an_old_configuration_is_not_published_after_a_newer_one();
    the_daemon_reads_back_what_it_took();
    jobs_sent_again();
    ended_jobs_sent_again();
    jobs_in_flight();
    drawn_histories();
    return result();
}
