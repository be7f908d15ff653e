// Dense traffic of clients and one operator, each of whom goes on at another daemon while it is turned away, as fronts
// do. What each call met is noted.
#pragma once
#include "cluster/run.hpp"

namespace calicostall::tests {

struct Traffic {
    Run& run;
    Micros from, until;  // calls that begin in this time count
    Micros every = ms(5);
    Micros resend = ms(60), patience = ms(1800);
    size_t calls = 0, settled = 0, doubtful = 0, unanswered = 0, refused = 0;
    Micros longest_call = 0, last_answer = 0, longest_gap = 0;
    std::uint64_t jobs = 0, revision = 1;

    struct Call {
        CallAsk ask;
        Micros begun = 0;
        size_t choice = 0;
        bool counts = false;
        std::function<void()> then;
    };

    void begin() {
        run.world.after(ms(100), [this] { offer_job(); });
        run.world.after(ms(100), [this] { offer_config(); });
    }
    bool in_window() const { return run.world.now >= from && run.world.now < until; }
    void offer_job() {
        if (run.taken_revision > 0) {
            const std::string id = fmt::format("{:016x}", ++jobs);
            const std::string body = R"({"job_spec":"x","steps":[{"count":1,"cpu":100,"estimate_ms":100}]})";
            run.note_sent(id, prefix, body);
            ++run.oracle.tries[id];
            start({"POST", host, prefix + id, body, "", false}, [this, id] { run.accepted.insert(id); });
        }
        if (run.world.now < until) run.world.after(every, [this] { offer_job(); });
    }
    // The next order goes out once the last one is answered.
    void offer_config() {
        if (run.world.now >= until) return;
        const std::uint64_t base = run.taken_revision;
        start({"PUT", "", "/config", run.config(base + 1), std::to_string(base), false}, [this, base] {
            run.taken_revision = base + 1;
            run.world.after(ms(20), [this] { offer_config(); });
        });
    }
    void start(CallAsk ask, std::function<void()> then) {
        auto call = std::make_shared<Call>(Call{std::move(ask), run.world.now, 0, in_window(), std::move(then)});
        call->choice = run.world.dice.roll(run.daemons.size());
        calls += call->counts;
        send(call);
    }
    // Nobody can reach one that is cut, and a front leaves one that is silent at once.
    Daemon* choose(Call& call) {
        for (size_t step = 0; step < run.daemons.size(); ++step) {
            Daemon& daemon = *run.daemons[call.choice++ % run.daemons.size()];
            if (daemon.up && !daemon.cut && run.world.now >= daemon.busy_until) return &daemon;
        }
        return nullptr;
    }
    void send(std::shared_ptr<Call> call) {
        if (run.world.now - call->begun > patience) {
            unanswered += call->counts;
            // The operator goes on in any case.
            if (call->ask.method == "PUT") run.world.after(ms(20), [this] { offer_config(); });
            return;
        }
        Daemon* daemon = choose(*call);
        if (!daemon) return again(call);
        daemon->enter(daemon->incarnation, [this, daemon, call] {
            daemon->serve_call(call->ask, [this, call](CallFate fate, Response response) {
                if (fate == CallFate::settled) return note_settled(*call, response);
                if (fate == CallFate::doubtful) doubtful += call->counts;
                again(call);
            });
        });
    }
    void again(std::shared_ptr<Call> call) {
        run.world.after(resend, [this, call] { send(call); });
    }
    void note_settled(const Call& call, const Response& response) {
        const Micros now = run.world.now;
        if (call.counts) {
            ++settled;
            if (response.code != 200) ++refused;
            longest_call = std::max(longest_call, now - call.begun);
            if (last_answer > 0) longest_gap = std::max(longest_gap, now - last_answer);
            last_answer = now;
        }
        if (response.code == 200) return call.then();
        if (call.ask.method == "PUT") run.world.after(ms(20), [this] { offer_config(); });
    }
};

}  // namespace calicostall::tests
