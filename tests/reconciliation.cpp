// The leader's scheduler and the agents, the real classes, against workers after the protocol: whatever is lost, late
// or killed between them, no task runs twice, and once there is calm everything ends and nothing is asked for ever.
//
// Lists of ends are cut at a handful here, so what takes hundreds of tasks on a real machine happens in every sequence.
#include "check.hpp"
#include "reconciliation/agent_world.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

enum class WorldStepKind { submit, submit_lasting, cancel, kill_agent, freeze_agent, kill_leader, trouble, calm };

struct WorldStep {
    WorldStepKind kind = WorldStepKind::calm;
    std::uint32_t number = 0;  // which job or machine, how many tasks
    Micros duration = 0;
    Micros pause = 0;  // after it
};

// Printed by RapidCheck for a sequence that breaks a rule; the order of the names is that of WorldStepKind.
std::ostream& operator<<(std::ostream& stream, const WorldStep& step) {
    constexpr std::array names{"submit",       "submit_lasting", "cancel",  "kill_agent",
                               "freeze_agent", "kill_leader",    "trouble", "calm"};
    return stream << fmt::format("\n    {{WorldStepKind::{}, {}, {}, {}}}", names.at(size_t(step.kind)), step.number,
                                 step.duration, step.pause);
}

void play(AgentWorld& world, const WorldStep& step) {
    switch (step.kind) {
        case WorldStepKind::submit:
            world.submit(1 + step.number % 8, step.duration / 1000);
            break;
        case WorldStepKind::submit_lasting:
            world.submit(1 + step.number % 3, 0);
            break;
        case WorldStepKind::cancel:
            world.cancel(step.number);
            break;
        case WorldStepKind::kill_agent:
            world.kill_agent(step.number, step.duration / 4);
            break;
        case WorldStepKind::freeze_agent:
            world.freeze_agent(step.number, step.duration);
            break;
        case WorldStepKind::kill_leader:
            world.kill_leader(step.duration / 2, step.number % 2 == 0);
            break;
        case WorldStepKind::trouble:
            world.set_trouble({int(step.number % 30), int(step.number / 30 % 15)});
            break;
        case WorldStepKind::calm:
            world.set_trouble({});
            break;
    }
    world.run_for(step.pause);
}

std::vector<std::string> violations_of(std::uint64_t seed, size_t max_listed_ends,
                                       const std::vector<WorldStep>& steps) {
    // Longer than a lease with its margins, the longest task and all retries.
    constexpr Micros settling_span = seconds(20);
    constexpr Micros quiet_span = seconds(3);
    AgentWorld world(seed, max_listed_ends);
    for (const WorldStep& step : steps)
        play(world, step);
    world.set_trouble({});
    world.run_for(seconds(4));  // a leader is there again
    world.cancel_lasting();
    world.run_for(settling_span);
    std::vector<std::string> found = world.broken_rules();
    for (std::string& each : world.unsettled(quiet_span))
        found.push_back(std::move(each));
    return found;
}

// Guards against "a cancelled run is kept for good" (found by the property below, in its 2197th sequence): the answer
// to a stop came to the leader with a cut list of ends, which proves nothing, and the agent had nothing more to ask
// for.
void a_stop_answered_with_a_cut_list_is_settled() {
    using enum WorldStepKind;
    const std::vector<WorldStep> steps{
        {submit, 0, 20000, 15000},          {cancel, 0, 20000, 0},        {kill_agent, 0, 20000, 0},
        {submit_lasting, 0, 20000, 104835}, {submit, 0, 20000, 427966},   {cancel, 0, 20000, 332713},
        {submit, 0, 20000, 439486},         {submit, 127, 597000, 10000}, {submit, 4, 20000, 159239},
        {freeze_agent, 0, 20000, 615761},   {cancel, 495, 20000, 0}};
    for (const std::string& violation : violations_of(474734966, 1, steps))
        EXPECT_SAID(false, violation);
}

// Guards against "a task runs again after its run ended done" (TWICE; found by the property below with another seed): a
// late status, older than the answer to a stop, was reported together with that answer, which then seemed to prove that
// the run was gone.
void an_overtaken_status_proves_nothing() {
    using enum WorldStepKind;
    const std::vector<WorldStep> steps{
        {kill_leader, 169, 650508, 1558},    {kill_agent, 212, 761663, 104135},   {submit, 271, 658915, 245856},
        {cancel, 59, 260970, 60507},         {cancel, 361, 77778, 78449},         {kill_leader, 100, 77758, 45298},
        {trouble, 217, 64647, 88227},        {submit, 26, 669540, 312004},        {trouble, 88, 506922, 154112},
        {cancel, 63, 942700, 172269},        {cancel, 277, 665312, 66735},        {cancel, 27, 660066, 229564},
        {submit, 19, 918880, 250902},        {submit, 11, 812325, 287469},        {cancel, 313, 857495, 310581},
        {cancel, 70, 131963, 239998},        {freeze_agent, 176, 247759, 104087}, {submit, 51, 819998, 230867},
        {kill_agent, 241, 219025, 109355},   {cancel, 237, 485228, 21853},        {submit, 14, 586402, 137820},
        {submit, 127, 38742, 332206},        {freeze_agent, 67, 628362, 176195},  {calm, 223, 91336, 288945},
        {submit, 95, 224888, 75860},         {submit, 136, 275572, 254986},       {submit, 364, 457607, 211742},
        {cancel, 394, 140614, 25870},        {submit, 170, 577973, 140059},       {submit, 219, 244026, 125956},
        {cancel, 300, 888739, 2606},         {submit, 356, 749149, 81756},        {kill_agent, 55, 189701, 39995},
        {freeze_agent, 128, 740206, 293362}, {freeze_agent, 236, 475742, 320338}};
    for (const std::string& violation : violations_of(428356103, 2, steps))
        EXPECT_SAID(false, violation);
}

rc::Gen<WorldStep> any_step() {
    return rc::gen::construct<WorldStep>(
        rc::gen::elementOf(std::vector<WorldStepKind>{
            WorldStepKind::submit, WorldStepKind::submit, WorldStepKind::submit, WorldStepKind::submit_lasting,
            WorldStepKind::cancel, WorldStepKind::cancel, WorldStepKind::kill_agent, WorldStepKind::freeze_agent,
            WorldStepKind::kill_leader, WorldStepKind::trouble, WorldStepKind::calm}),
        rc::gen::inRange<std::uint32_t>(0, 1000), rc::gen::inRange<Micros>(milliseconds(20), milliseconds(2500)),
        rc::gen::inRange<Micros>(0, milliseconds(900)));
}

}  // namespace

int main() {
    std::freopen("/dev/null", "w", stdout);
    a_stop_answered_with_a_cut_list_is_settled();
    an_overtaken_status_proves_nothing();
    const bool good = rc::check("leader and agents agree with the workers after any losses", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1u << 30);
        const auto max_listed_ends = *rc::gen::inRange<size_t>(1, 6);
        const auto steps = *rc::gen::container<std::vector<WorldStep>>(any_step());
        const std::vector<std::string> violations = violations_of(seed, max_listed_ends, steps);
        if (!violations.empty()) RC_FAIL(violations.front());
    });
    property("reconciliation", good);
    std::fflush(nullptr);
    std::_Exit(exit_status());
}
