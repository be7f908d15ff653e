// A daemon that comes back takes ownership over in order: while orders and jobs flow, none of them gets a doubtful
// answer, and all are answered after a short pause.
#include "cluster/traffic.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

// The longest time without any answer during a hand-back.
constexpr Micros pause_most = ms(300);

struct Outcome {
    size_t hand_overs = 0;
    std::vector<std::string> broken;
};

// The lowest daemon is hurt at 4 s for `length`; what begins within 8 s after it is back counts.
Outcome come_back(std::uint64_t seed, size_t daemons, int kind, Micros length) {
    Options options;
    options.daemons = daemons;
    Run run(seed, options);
    run.jobs = 0;
    World& world = run.world;
    const Micros hurt_at = world.now + seconds(4), back_at = hurt_at + length;
    Traffic traffic{run, back_at, back_at + seconds(8)};
    Outcome outcome;
    world.at_moment = [&](const char* moment) { outcome.hand_overs += std::string_view(moment) == "hands over"; };
    traffic.begin();
    world.after(hurt_at - world.now, [&] { run.strike_daemon(*run.daemons[0], {kind, 0, 0, length}); });
    world.run_until(traffic.until + seconds(12));
    run.check_end();
    outcome.broken = world.broken;
    auto expect = [&](bool good, std::string what) {
        if (!good) outcome.broken.push_back(std::move(what));
    };
    expect(run.daemons[0]->acting(), "the lowest daemon is not the owner again");
    expect(traffic.calls > 1500, fmt::format("only {} calls", traffic.calls));
    expect(traffic.doubtful == 0, fmt::format("{} doubtful answers", traffic.doubtful));
    expect(traffic.unanswered == 0, fmt::format("{} calls without an answer", traffic.unanswered));
    expect(traffic.refused == 0, fmt::format("{} calls refused", traffic.refused));
    expect(traffic.longest_gap <= pause_most, fmt::format("a pause of {} ms", traffic.longest_gap / 1000));
    fmt::print(stderr, "seed {}: {} daemons, trouble {} for {:.1f} s: {} calls, pause {} ms, longest call {} ms\n",
               seed, daemons, kind, double(length) / 1e6, traffic.calls, traffic.longest_gap / 1000,
               traffic.longest_call / 1000);
    return outcome;
}

}  // namespace

int main() {
    std::freopen("/dev/null", "w", stdout);
    for (size_t daemons : {3, 5})
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            for (Micros length : {seconds(2), seconds(6)})
                EXPECT_SAID(tell(seed, come_back(seed, daemons, freeze_daemon, length).broken),
                            fmt::format("{} daemons, frozen for {} s", daemons, length / seconds(1)));
            // A core of five gives a member up that is cut off for longer.
            const Micros cut = daemons == 3 ? seconds(20) : seconds(8);
            EXPECT_SAID(tell(seed, come_back(seed, daemons, cut_daemon, cut).broken),
                        fmt::format("{} daemons, cut off for {} s", daemons, cut / seconds(1)));
            EXPECT_SAID(tell(seed, come_back(seed, daemons, kill_daemon, seconds(3)).broken),
                        fmt::format("{} daemons, restarted after 3 s", daemons));
        }
    return result();
}
