// Cores of three to eight daemons under losses, empty disks, replaced machines and one-way cuts,
// with two operators who change the same version of the configuration at the same time.
#include "cluster/run.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

Options core_of(size_t daemons) {
    Options options;
    options.daemons = daemons;
    options.losses = daemons >= 5 ? 2 : 1;
    return options;
}
std::vector<std::string> play(std::uint64_t seed, size_t daemons, const std::vector<Fault>& faults, bool racing) {
    Run run(seed, core_of(daemons));
    run.jobs = 16;
    run.length = seconds(65);
    run.racing = racing;
    return run.play(faults);
}
const std::vector<int> troubles = {kill_daemon,   cut_daemon,    wipe_daemon, replace_daemon, mute_daemon,
                                   deafen_daemon, freeze_daemon, slow_disk,   part_daemon};

// A configuration is acknowledged, and in the same moment as many disks as the core bears are emptied, the owner's
// among them.
bool wipe_after_acknowledgement(std::uint64_t seed, size_t daemons) {
    Run run(seed, core_of(daemons));
    run.jobs = 8;
    run.length = seconds(60);
    std::uint64_t wiped_at = 0;
    for (int look = 0; look < 24000; ++look)
        run.world.after(seconds(8) + ms(look), [&run, &wiped_at] {
            if (run.taken_revision < 2 || run.taken_revision == wiped_at || run.hurt() > 0 ||
                run.world.now > seconds(128))
                return;
            wiped_at = run.taken_revision;
            Daemon* owner = run.owner();
            if (!owner) return;
            run.strike_daemon(*owner, {wipe_daemon, 0, 0, ms(700)});
            if (run.options.losses < 2) return;
            auto next =
                std::find_if(run.daemons.begin(), run.daemons.end(), [](const auto& daemon) { return daemon->up; });
            run.strike_daemon(**next, {wipe_daemon, 0, 0, ms(700)});
        });
    std::vector<std::string> broken = run.play({});
    if (wiped_at < 3) broken.push_back("too few configurations were taken");
    return tell(seed, broken);
}

// The owner loses its peers in the moment a configuration is proposed, while clients and fronts still reach it.
std::vector<std::string> part_at_proposal(std::uint64_t seed, size_t daemons, int kind, Micros wait) {
    Run run(seed, core_of(daemons));
    run.jobs = 8;
    run.length = seconds(60);
    run.racing = true;
    run.world.at_moment = [&run, kind, wait](const char* moment) {
        if (std::string_view(moment) != "config proposed" || run.world.now < seconds(104)) return;
        run.world.after(wait, [&run, kind] {
            if (Daemon* owner = run.owner(); owner && run.hurt() == 0 && run.world.now < seconds(122))
                run.strike_daemon(*owner, {kind, 0, 0, seconds(3)});
        });
    };
    return run.play({});
}

}  // namespace

int main() {
    std::freopen("/dev/null", "w", stdout);
    for (size_t daemons : {3, 5, 6, 8}) {
        EXPECT_SAID(tell(daemons, play(daemons, daemons, {}, true)),
                    fmt::format("core of {} without trouble", daemons));
        for (int kind : troubles)
            for (size_t target : {size_t(0), daemons - 1})
                EXPECT_SAID(tell(100 + daemons, play(100 + daemons, daemons,
                                                     {{kind, target, seconds(8), seconds(5)},
                                                      {kind, (target + 1) % daemons, ms(8300), seconds(5)}},
                                                     true)),
                            fmt::format("core of {}, trouble {} at {}", daemons, kind, target));
        EXPECT_SAID(wipe_after_acknowledgement(300 + daemons, daemons),
                    fmt::format("core of {}, wiped after an acknowledgement", daemons));
        EXPECT_SAID(tell(400 + daemons, play(400 + daemons, daemons, {{kill_all, 0, seconds(20), seconds(8)}}, true)),
                    fmt::format("core of {}, all power lost", daemons));
    }
    for (size_t daemons : {3, 6})
        for (int kind : {part_daemon, mute_daemon, cut_daemon, kill_daemon, wipe_daemon})
            for (Micros wait : {0, 3, 7, 12})
                EXPECT_SAID(tell(500 + daemons, part_at_proposal(500 + daemons, daemons, kind, ms(wait))),
                            fmt::format("core of {}, trouble {} {} ms after a configuration was proposed", daemons,
                                        kind, wait));
    bool good = rc::check("no rule is broken in cores of three to eight", [] {
        const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(1, 1u << 30);
        const size_t daemons = *rc::gen::element<size_t>(3, 4, 5, 6, 8);
        const size_t count = *rc::gen::inRange<size_t>(1, 9);
        const bool racing = *rc::gen::arbitrary<bool>();
        std::vector<Fault> faults;
        for (size_t number = 0; number < count; ++number) {
            const int kind =
                *rc::gen::element<int>(kill_daemon, cut_daemon, kill_all, wipe_daemon, replace_daemon, mute_daemon,
                                       deafen_daemon, freeze_daemon, slow_disk, part_daemon, cut_side, rebirth);
            faults.push_back({kind, *rc::gen::inRange<size_t>(0, 24), ms(*rc::gen::inRange(2000, 28000)),
                              ms(*rc::gen::inRange(300, 9000))});
        }
        std::vector<std::string> broken = play(seed, daemons, faults, racing);
        if (!broken.empty()) RC_FAIL(broken.front());
    });
    property("membership", good);
    return result();
}
