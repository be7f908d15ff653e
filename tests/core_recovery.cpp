// Cores of two to seven daemons under troubles that overlap without bound: cuts, also one way, kills, freezes and
// losses of all power, while no more disks are missing at once than the core bears. Service may rest meanwhile. Once
// all daemons run and reach each other it has to come back, with everything that was acknowledged, and every machine
// has to become a member again.
#include "cluster/run.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

// From the end of the last trouble on everybody runs and is heard.
constexpr Micros traffic_length = seconds(40), quiet_length = seconds(35);

Run run_of(std::uint64_t seed, size_t daemons) {
    Options options;
    options.daemons = daemons;
    options.losses = (daemons - 1) / 2;
    Run run(seed, options);
    run.jobs = 10;
    run.traffic = traffic_length;
    run.length = traffic_length + quiet_length;
    run.overlapping = true;
    return run;
}

std::vector<std::string> play(std::uint64_t seed, size_t daemons, const std::vector<Fault>& faults) {
    Run run = run_of(seed, daemons);
    return run.play(faults);
}

// The day that lost its core: one member is cut off, another loses its disk, and when the cut heals and the empty one
// asks to join, the owner goes dark.
void a_cut_and_a_lost_disk() {
    for (std::uint64_t seed = 1; seed <= 12; ++seed)
        for (Micros cut_for : {ms(5500), ms(6300), ms(7000)}) {
            const std::vector<Fault> faults = {{cut_daemon, 1, seconds(10), cut_for},
                                               {wipe_daemon, 2, seconds(15), ms(800)},
                                               {kill_daemon, 0, seconds(16) + ms(600), seconds(6)}};
            EXPECT_SAID(tell(seed, play(seed, 3, faults)),
                        fmt::format("a cut of {} ms and a lost disk", cut_for / 1000));
        }
}

// The owner is lost, with its disk, in the moment in which it proposes a change of the core.
void an_owner_lost_at_a_change(int kind, Micros wait) {
    for (size_t daemons : {3, 4, 5, 6}) {
        Run run = run_of(700 + daemons, daemons);
        bool struck = false;
        run.world.at_moment = [&run, &struck, kind, wait](const char* moment) {
            if (struck || std::string_view(moment) != "core proposed" || run.world.now < seconds(108)) return;
            struck = true;
            Daemon* owner = run.owner();
            if (!owner) return;
            run.strike_daemon(*owner, {part_daemon, 0, 0, seconds(3)});
            run.world.after(wait, [&run, owner, kind] { run.strike_daemon(*owner, {kind, 0, 0, seconds(2)}); });
        };
        const std::vector<Fault> faults = {{cut_daemon, daemons - 1, seconds(9), seconds(16)}};
        EXPECT_SAID(tell(700 + daemons, run.play(faults)),
                    fmt::format("core of {}, trouble {} of the owner at a change of the core", daemons, kind));
    }
}

void any_order_of_troubles() {
    bool good = rc::check("service comes back from whatever order of troubles", [] {
        const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(1, 1u << 30);
        const size_t daemons = *rc::gen::inRange<size_t>(2, 8);
        const size_t count = *rc::gen::inRange<size_t>(3, 16);
        std::vector<Fault> faults;
        for (size_t number = 0; number < count; ++number) {
            const int kind = *rc::gen::element<int>(kill_daemon, cut_daemon, cut_daemon, wipe_daemon, wipe_daemon,
                                                    mute_daemon, deafen_daemon, freeze_daemon, part_daemon, kill_all);
            faults.push_back({kind, *rc::gen::inRange<size_t>(0, daemons), ms(*rc::gen::inRange(2000, 34000)),
                              ms(*rc::gen::inRange(300, 9000))});
        }
        std::vector<std::string> broken = play(seed, daemons, faults);
        if (!broken.empty()) RC_FAIL(broken.front());
    });
    property("core recovery", good);
}

}  // namespace

int main() {
    a_cut_and_a_lost_disk();
    for (int kind : {kill_daemon, wipe_daemon})
        for (Micros wait : {ms(0), ms(20), ms(200)})
            an_owner_lost_at_a_change(kind, wait);
    any_order_of_troubles();
    return result();
}
