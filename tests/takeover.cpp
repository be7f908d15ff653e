// A new owner places nothing twice: the owner is lost at each step of a plan's way, from the intent to the noted end.
#include "cluster/run.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

const std::vector<const char*> moments = {"proposed",     "sent",       "committed",    "ordered",   "started",
                                          "result heard", "side heard", "end reported", "end noted", "took over"};
const std::vector<int> losses = {kill_daemon,   cut_daemon,  part_daemon, mute_daemon,
                                 freeze_daemon, wipe_daemon, kill_all};

// The owner is lost at the `nth` time that `moment` comes, and its successor too where `again` is set.
std::vector<std::string> lose_at(std::uint64_t seed, const char* moment, size_t nth, int kind, bool again,
                                 Micros wait) {
    Options options;
    options.daemons = again ? 5 : 3;
    options.losses = again ? 2 : 1;
    options.others = 2;
    Run run(seed, options);
    run.jobs = 12;
    run.wide_jobs = 13;
    run.traffic = seconds(12);
    run.length = seconds(42);
    size_t heard = 0, struck = 0;
    run.world.at_moment = [&](const char* now) {
        if (std::string_view(now) != moment || run.world.now < seconds(102) || struck > size_t(again)) return;
        if (++heard < nth * (struck + 1)) return;
        ++struck;
        run.world.after(wait, [&run, kind] {
            Daemon* owner = run.owner();
            if (owner && run.hurt() < (kind == kill_all ? 1 : run.options.losses))
                run.strike_daemon(*owner, {kind, 0, 0, seconds(3)});
        });
    };
    std::vector<std::string> broken = run.play({});
    if (struck == 0 && std::string_view(moment) != "took over")
        broken.push_back(fmt::format("the moment '{}' never came", moment));
    return broken;
}

}  // namespace

int main() {
    std::freopen("/dev/null", "w", stdout);
    for (const char* moment : moments)
        for (size_t nth : {1, 2, 5, 12, 20})
            for (int kind : losses) {
                const std::uint64_t seed = 1000 * nth + std::uint64_t(kind);
                EXPECT_SAID(tell(seed, lose_at(seed, moment, nth, kind, false, 0)),
                            fmt::format("trouble {} at time {} of '{}'", kind, nth, moment));
            }
    bool good = rc::check("nothing is placed twice wherever one owner, or two in turn, are lost", [] {
        const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(1, 1u << 30);
        const char* moment = *rc::gen::elementOf(moments);
        const size_t nth = *rc::gen::inRange<size_t>(1, 60);
        const int kind = *rc::gen::elementOf(losses);
        const bool again = *rc::gen::arbitrary<bool>();
        const Micros wait = *rc::gen::inRange(0, 9000);
        std::vector<std::string> broken = lose_at(seed, moment, nth, kind, again, wait);
        std::erase_if(broken, [](const std::string& each) { return each.starts_with("the moment"); });
        if (!broken.empty()) RC_FAIL(broken.front());
    });
    property("takeover", good);
    return result();
}
