// A member that leaves in order goes only after everything acknowledged is on a majority without it, and nobody gets a
// doubtful answer on the way.
#include "cluster/traffic.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

// The longest time without any answer while an owner hands over and its successor takes over.
constexpr Micros pause_most = ms(400);

size_t holders_without(const Run& run, const Daemon& leaver, const std::string& key) {
    size_t count = 0;
    for (const auto& daemon : run.daemons)
        count += daemon.get() != &leaver && daemon->up && daemon->live->replica.registers.contains(key);
    return count;
}

// The daemon at `place` leaves at 6 s; before that another follower is cut off for `lag`, so that it lacks what came
// meanwhile.
std::vector<std::string> leave(std::uint64_t seed, size_t daemons, size_t place, Micros lag) {
    Options options;
    options.daemons = daemons;
    Run run(seed, options);
    run.jobs = 0;
    World& world = run.world;
    const Micros leaves_at = world.now + seconds(6);
    Traffic traffic{run, leaves_at, leaves_at + seconds(4)};
    Daemon& leaver = *run.daemons[place];
    size_t in_order = 0, in_haste = 0;
    std::vector<std::string> broken;
    world.at_moment = [&](const char* moment) {
        in_haste += std::string_view(moment) == "left in haste";
        if (std::string_view(moment) != "left in order") return;
        ++in_order;
        const size_t majority = daemons / 2 + 1;
        for (const std::string& id : run.accepted)
            if (holders_without(run, leaver, "job/" + id) < majority)
                broken.push_back("too few hold the acknowledged job " + id);
    };
    traffic.begin();
    if (lag > 0) {
        Daemon& lagging = *run.daemons[place == daemons - 1 ? daemons - 2 : daemons - 1];
        world.after(leaves_at - lag - world.now, [&lagging] { lagging.parted = true; });
        world.after(leaves_at - world.now, [&lagging] { lagging.parted = false; });
    }
    world.after(leaves_at - world.now, [&] { leaver.leave([&leaver] { leaver.removed = true; }); });
    world.run_until(traffic.until + seconds(12));
    run.check_end();
    broken.insert(broken.end(), world.broken.begin(), world.broken.end());
    auto expect = [&](bool good, std::string what) {
        if (!good) broken.push_back(std::move(what));
    };
    expect(leaver.removed, "it has not left");
    expect(in_order == 1 && in_haste == 0, "it left in haste");
    expect(traffic.doubtful == 0, fmt::format("{} doubtful answers", traffic.doubtful));
    expect(traffic.unanswered == 0, fmt::format("{} calls without an answer", traffic.unanswered));
    expect(traffic.refused == 0, fmt::format("{} calls refused", traffic.refused));
    if (lag == 0)
        expect(traffic.longest_gap <= pause_most, fmt::format("a pause of {} ms", traffic.longest_gap / 1000));
    fmt::print(stderr, "seed {}: {} daemons, place {} leaves, lag {} ms: {} calls, pause {} ms\n", seed, daemons, place,
               lag / 1000, traffic.calls, traffic.longest_gap / 1000);
    return broken;
}

}  // namespace

int main() {
    std::freopen("/dev/null", "w", stdout);
    for (size_t daemons : {3, 5})
        for (size_t place = 0; place < daemons; ++place)
            for (Micros lag : {ms(0), ms(700)})
                EXPECT_SAID(tell(place, leave(place + 1, daemons, place, lag)),
                            fmt::format("{} daemons, place {} leaves, lag {} ms", daemons, place, lag / 1000));
    return result();
}
