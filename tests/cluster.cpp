// The whole control side in one process: detector, record, scheduler, sides and workers under a simulated
// network, simulated disks and simulated time. RapidCheck draws the troubles; an oracle watches the workers.
#include "cluster/run.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

bool play_and_tell(std::uint64_t seed, const std::vector<Fault>& faults, size_t wide_jobs = 6) {
    Options options;
    options.others = wide_jobs > 6 ? 2 : 0;
    Run run(seed, options);
    run.wide_jobs = wide_jobs;
    std::vector<std::string> broken = run.play(faults);
    // Without trouble no member of a gang waits for the others in vain.
    if (faults.empty() && run.oracle.alone > 0)
        broken.push_back(fmt::format("GANG {} runs ended alone", run.oracle.alone));
    return tell(seed, broken);
}

}  // namespace

int main() {
    std::freopen("/dev/null", "w", stdout);
    EXPECT(play_and_tell(7, {}));
    for (std::uint64_t seed = 8; seed < 14; ++seed)
        EXPECT(play_and_tell(seed, {}, 13));
    // Named cases: the owner killed, cut off, all killed at once, a worker reborn, a side cut off.
    for (int kind = 0; kind < 5; ++kind)
        for (size_t target = 0; target < 2; ++target)
            EXPECT_SAID(play_and_tell(100 + std::uint64_t(kind), {{kind, target, seconds(8), seconds(4)}}),
                        fmt::format("case of kind {} target {}", kind, target));
    // Grey, flapping and leaving workers, under every kind of job.
    for (int kind = slow_worker; kind < trouble_count; ++kind)
        for (size_t target = 0; target < 6; target += 5)
            EXPECT_SAID(play_and_tell(200 + std::uint64_t(kind), {{kind, target, seconds(8), seconds(9)}}, 13),
                        fmt::format("case of kind {} target {}", kind, target));
    bool good = rc::check("no rule is broken under drawn troubles", [] {
        const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(1, 1u << 30);
        const size_t count = *rc::gen::inRange<size_t>(1, 9);
        std::vector<Fault> faults;
        for (size_t number = 0; number < count; ++number)
            faults.push_back({*rc::gen::inRange(0, 5), *rc::gen::inRange<size_t>(0, 12),
                              ms(*rc::gen::inRange(2000, 30000)), ms(*rc::gen::inRange(300, 7000))});
        Run run(seed);
        std::vector<std::string> broken = run.play(faults);
        if (!broken.empty()) RC_FAIL(broken.front());
    });
    property("cluster", good);
    good = rc::check("no rule is broken under every kind of job and worker", [] {
        const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(1, 1u << 30);
        const size_t count = *rc::gen::inRange<size_t>(1, 9);
        std::vector<Fault> faults;
        for (size_t number = 0; number < count; ++number)
            faults.push_back({*rc::gen::inRange(0, int(trouble_count)), *rc::gen::inRange<size_t>(0, 12),
                              ms(*rc::gen::inRange(2000, 30000)), ms(*rc::gen::inRange(300, 7000))});
        Options options;
        options.others = 2;
        Run run(seed, options);
        run.wide_jobs = 13;
        std::vector<std::string> broken = run.play(faults);
        if (!broken.empty()) RC_FAIL(broken.front());
    });
    property("jobs and workers", good);
    return result();
}
