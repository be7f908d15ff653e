// Overload on a slow processor: three times what can be started is offered for a while, and the owner is lost in the
// middle. Ownership changes at most once for each fault, and starts come back to the rate before the burst in time.
#include "cluster/run.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace calicostall::tests {
std::uint64_t blocks_done();
}

namespace {

struct Shape {
    size_t workers = 16, width = 20;
    double speed = 16;  // basic blocks in a microsecond: about a twelfth of a core
    Micros message_cost = 150;
    double normal = 100, burst = 750;  // tasks offered in a second
    Micros burst_at = seconds(12), burst_length = seconds(10), recovery = seconds(15);
    int kind = kill_daemon;  // how the owner is lost; -1: not at all
    Micros lost_after = seconds(5);
};
struct Outcome {
    double before = 0, after = 0;  // starts in a second
    size_t changes = 0, faults = 0;
    size_t accepted = 0, refused = 0;
    double busy = 0;             // share of the owner's processor before the burst
    std::vector<size_t> starts;  // each second
    std::vector<std::string> broken;
};

Outcome play(std::uint64_t seed, const Shape& shape) {
    Options options;
    options.daemons = 5;
    options.losses = 2;
    options.workers = shape.workers;
    options.meter = blocks_done;
    options.work_a_micro = shape.speed;
    options.message_cost = shape.message_cost;
    options.detector = {};
    Run run(seed, options);
    Outcome outcome;
    for (auto& worker : run.workers)
        worker->least = ms(300), worker->most = ms(500), worker->may_fail = false;
    World& world = run.world;
    const Micros begin = world.now;
    for (int tries = 0; tries < 20; ++tries)
        world.after(ms(900 + 100 * tries), [&run] {
            if (run.taken_revision == 0) run.put_config(1);
        });
    size_t number = 0;
    const std::string body =
        fmt::format(R"({{"job_spec":"x","steps":[{{"count":{},"cpu":1000,"estimate_ms":400}}]}})", shape.width);
    // A client takes a refusal for an answer; without any it asks again.
    std::function<void(std::string, int)> hand_in = [&](std::string id, int again) {
        Daemon* daemon = nullptr;
        for (auto& each : run.daemons)
            if (each->up && each->live->owner.acting()) daemon = each.get();
        if (!daemon) {
            if (again > 0) world.after(ms(500), [&hand_in, id, again] { hand_in(id, again - 1); });
            return;
        }
        ++run.oracle.tries[id];
        CallAsk ask{"POST", host, prefix + id, body, "", false};
        daemon->enter(daemon->incarnation, [&, daemon, ask, id] {
            daemon->serve_call(ask, [&, id](CallFate fate, Response response) {
                if (fate == CallFate::settled && response.code == 200)
                    run.accepted.insert(id), ++outcome.accepted;
                else if (fate != CallFate::doubtful)
                    ++run.oracle.turned_away[id], ++outcome.refused;
            });
        });
        if (again > 0)
            world.after(seconds(2), [&, id, again] {
                if (!run.accepted.contains(id) && run.oracle.turned_away[id] < run.oracle.tries[id])
                    hand_in(id, again - 1);
            });
    };
    std::function<void()> offer = [&] {
        Micros at = world.now - begin;
        bool bursting = at >= shape.burst_at && at < shape.burst_at + shape.burst_length;
        std::string id = fmt::format("{:016x}", ++number);
        run.note_sent(id, prefix, body);
        hand_in(id, 3);
        world.after(Micros(1e6 * double(shape.width) / (bursting ? shape.burst : shape.normal)), offer);
    };
    world.after(seconds(3), offer);
    size_t epochs_before = 0;
    auto epochs = [&run] {
        std::set<std::uint64_t> all;
        for (auto& daemon : run.daemons)
            all.insert(daemon->owned.begin(), daemon->owned.end());
        return all.size();
    };
    world.after(shape.burst_at, [&] { epochs_before = epochs(); });
    if (shape.kind >= 0)
        world.after(shape.burst_at + shape.lost_after, [&] {
            if (Daemon* owner = run.owner())
                ++outcome.faults,
                    run.strike_daemon(*owner, {shape.kind, 0, 0, shape.kind == kill_all ? seconds(4) : seconds(600)});
        });
    std::uint64_t work_at = 0;
    auto work = [&run] {
        std::uint64_t most = 0;
        for (auto& daemon : run.daemons)
            most = std::max(most, daemon->work_done);
        return most;
    };
    world.after(shape.burst_at - seconds(5), [&] { work_at = work(); });
    world.after(shape.burst_at, [&] { outcome.busy = double(work() - work_at) / shape.speed / 5e6; });
    const Micros end = shape.burst_at + shape.burst_length + shape.recovery + seconds(5);
    for (Micros at = seconds(1); at <= end; at += seconds(1))
        world.after(at, [&, last = std::make_shared<size_t>(0)] {
            outcome.starts.push_back(run.oracle.starts);
            (void)last;
        });
    world.run_until(begin + end);
    auto rate = [&outcome](Micros from, Micros to) {
        return double(outcome.starts[size_t(to / 1000000) - 1] - outcome.starts[size_t(from / 1000000) - 1]) /
               double((to - from) / 1000000);
    };
    outcome.before = rate(shape.burst_at - seconds(5), shape.burst_at);
    outcome.after = rate(end - seconds(5), end);
    outcome.changes = epochs() - epochs_before;
    for (const std::string& id : run.oracle.begun)
        world.check(run.accepted.contains(id) || run.oracle.turned_away[id] < run.oracle.tries[id],
                    "REFUSED a task started, though each try to hand in was turned away " + id);
    outcome.broken = world.broken;
    if (outcome.before < 0.7 * shape.normal)
        outcome.broken.push_back(fmt::format("only {:.0f} starts a second before the burst", outcome.before));
    if (outcome.changes > outcome.faults)
        outcome.broken.push_back(fmt::format("{} changes of ownership for {} faults", outcome.changes, outcome.faults));
    if (outcome.after < 0.9 * outcome.before)
        outcome.broken.push_back(
            fmt::format("{:.0f} starts a second after the burst, {:.0f} before", outcome.after, outcome.before));
    return outcome;
}

}  // namespace

int main() {
    std::freopen("/dev/null", "w", stdout);
    auto check = [](std::uint64_t seed, const Shape& shape, const std::string& what) {
        Outcome outcome = play(seed, shape);
        std::string each;
        for (size_t second = 1; second < outcome.starts.size(); ++second)
            each += fmt::format(" {}", outcome.starts[second] - outcome.starts[second - 1]);
        fmt::print(
            stderr,
            "{}: {:.0f} starts a second before, {:.0f} after; {} changes; busy {:.2f}; {} accepted, {} refused;{}\n",
            what, outcome.before, outcome.after, outcome.changes, outcome.busy, outcome.accepted, outcome.refused,
            each);
        EXPECT_SAID(tell(seed, outcome.broken), what);
    };
    Shape shape;
    shape.kind = -1;
    shape.burst = shape.normal;
    check(1, shape, "no burst, no loss");
    shape.burst = 750;
    check(2, shape, "a burst without a loss");
    shape.kind = kill_daemon;
    check(3, shape, "the owner killed in the burst");
    shape.kind = cut_daemon;
    check(4, shape, "the owner cut off in the burst");
    shape.kind = kill_all;
    check(5, shape, "all power lost in the burst");
    shape.width = 200;
    check(6, shape, "all power lost in the burst, wide steps");
    shape.kind = kill_daemon;
    check(7, shape, "the owner killed in the burst, wide steps");
    return result();
}
