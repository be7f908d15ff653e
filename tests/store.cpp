// Replica and owner as tables: promises, refusals, hand-over, what was never decided, change of the core.
#include "control/store/owner.hpp"
#include "control/store/replica.hpp"
#include "shared/wire/cbor.hpp"

#include "check.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

Core core_of(size_t count) {
    Core core;
    for (size_t number = 1; number <= count; ++number) core.members.push_back({number, Identity{100 + number}, fmt::format("d{}", number), ""});
    core.next_number = count + 1;
    core.size_wanted = count;
    return core;
}
Replica replica_of(size_t number, const Core& core) {
    Replica replica;
    replica.identity = Identity{100 + number};
    replica.registers["core"] = Register{Epoch{0}, Version{1}, {}, pack(core)};
    return replica;
}
WriteAsk write(Identity to, std::uint64_t epoch, std::vector<WriteEntry> entries, bool complete = false) {
    return {Identity{101}, to, Epoch{epoch}, complete, true, std::move(entries), {}};
}
WriteEntry entry(const std::string& key, std::uint64_t epoch, std::uint64_t version, const std::string& value, Carries carries = Carries::all) {
    return {key, carries, Register{Epoch{epoch}, Version{version}, carries == Carries::all ? "fixed" : "", value}};
}

void prepare_table() {
    struct Row { std::uint64_t promised, asked; bool trusted; std::uint64_t to; Verdict verdict; std::uint64_t after; };
    for (const Row& row : {Row{0, 65, true, 102, Verdict::granted, 65}, Row{65, 65, true, 102, Verdict::granted, 65}, Row{66, 65, true, 102, Verdict::outdated, 66},
                           Row{0, 65, false, 102, Verdict::untrusted, 0}, Row{0, 65, true, 999, Verdict::stranger, 0}}) {
        Replica replica = replica_of(2, core_of(3));
        replica.promised = Epoch{row.promised};
        auto [answer, change] = replica.prepare({Identity{101}, Identity{row.to}, Epoch{row.asked}}, row.trusted);
        EXPECT(answer.verdict == row.verdict && replica.promised.value == row.after);
        EXPECT(change.promised.has_value() == (row.after != row.promised));
        EXPECT(answer.registers.empty() == (row.verdict != Verdict::granted));
    }
}
void write_table() {
    Replica replica = replica_of(2, core_of(3));
    Identity to = replica.identity;
    EXPECT(replica.write(write(to, 65, {entry("a", 65, 1, "one")})).first.verdict == Verdict::granted);
    EXPECT(replica.promised.value == 65 && replica.registers["a"].moving == "one");
    // A lower epoch is refused and changes nothing; an older version does not go back.
    EXPECT(replica.write(write(to, 64, {entry("a", 64, 9, "old")})).first.verdict == Verdict::outdated);
    replica.write(write(to, 65, {entry("a", 65, 3, "three")}));
    replica.write(write(to, 65, {entry("a", 65, 2, "two")}));
    EXPECT(replica.registers["a"].moving == "three");
    // A part without the rest is lacking, never half a value.
    auto lacking = replica.write(write(to, 65, {entry("b", 65, 2, "x", Carries::moving)})).first;
    EXPECT(lacking.lacking == std::vector<std::string>{"b"} && !replica.registers.contains("b"));
    replica.write(write(to, 65, {entry("a", 65, 4, "four", Carries::moving)}));
    EXPECT(replica.registers["a"].fixed == "fixed" && replica.registers["a"].moving == "four");
    EXPECT(replica.write(write(to, 70, {entry("a", 70, 3, "", Carries::mark)})).first.lacking.size() == 1);
    EXPECT(replica.write(write(to, 70, {entry("a", 70, 4, "", Carries::mark)})).first.lacking.empty());
    EXPECT(replica.registers["a"].epoch.value == 70 && replica.registers["a"].moving == "four");
    EXPECT(replica.write({Identity{101}, Identity{5}, Epoch{99}, false, true, {}, {}}).first.verdict == Verdict::stranger);
    // Complete: what an earlier owner left undecided here is dropped for good.
    replica.registers["ghost"] = Register{Epoch{65}, Version{9}, "f", "never decided"};
    replica.write(write(to, 71, {entry("core", 71, 1, pack(core_of(3))), entry("a", 71, 4, "", Carries::mark)}, true));
    EXPECT(!replica.registers.contains("ghost") && replica.synced.value == 71);
}

// Drives an owner against replicas in memory; `up` says who answers.
struct Bench {
    std::vector<Replica> replicas;
    Owner owner;
    std::vector<bool> up;
    std::vector<bool> trusting;
    Micros now = seconds(1);
    size_t messages = 0;
    Bench(size_t count, size_t self) : owner({}, Identity{100 + self}), up(count + 2, true), trusting(count + 2, true) {
        for (size_t number = 1; number <= count; ++number) replicas.push_back(replica_of(number, core_of(count)));
        owner.unpack_core = [](const std::string& packed) { return unpack<Core>(packed); };
    }
    void run(int rounds = 12) {
        for (int round = 0; round < rounds; ++round) {
            now += milliseconds(120);
            for (Errand& errand : owner.pump(now)) {
                ++messages;
                Replica* replica = nullptr;
                size_t place = 0;
                for (size_t each = 0; each < replicas.size(); ++each)
                    if (replicas[each].identity == errand.to.identity) replica = &replicas[each], place = each;
                bool answers = replica && up[place];
                if (auto* prepare = std::get_if<PrepareAsk>(&errand.ask)) {
                    if (answers) {
                        auto answer = replica->prepare(*prepare, trusting[place]).first;
                        owner.take(errand.ticket, &answer, now);
                    } else {
                        owner.take(errand.ticket, static_cast<const PrepareAnswer*>(nullptr), now);
                    }
                } else if (answers) {
                    auto answer = replica->write(std::get<WriteAsk>(errand.ask)).first;
                    owner.take(errand.ticket, &answer, now);
                } else {
                    owner.take(errand.ticket, static_cast<const WriteAnswer*>(nullptr), now);
                }
            }
        }
    }
};

void takeover_and_repair() {
    Bench bench(3, 1);
    bench.owner.take_over(core_of(3), Epoch{0});
    bench.run();
    EXPECT(bench.owner.acting() && bench.owner.epoch().value == 65);
    int told = 0;
    bench.up[2] = false;
    bench.owner.propose("a", "fixed", "one", [&](bool committed) { told += committed ? 1 : -10; });
    bench.run();
    EXPECT(told == 1 && !bench.replicas[2].registers.contains("a"));
    // What the missing replica should have had is handed over when it is back.
    bench.up[2] = true;
    bench.run();
    EXPECT(bench.replicas[2].registers["a"].moving == "one");
    // Without a majority nothing is told; a loss of ownership tells that it is not known.
    bench.up[1] = bench.up[2] = false;
    bench.owner.propose("a", std::nullopt, "two", [&](bool committed) { told += committed ? -10 : 100; });
    bench.owner.confirm("a", [&](bool sure) { told += sure ? -10 : 1000; });
    bench.run();
    EXPECT(told == 1);
    bench.owner.give_up();
    EXPECT(told == 1101);
}
void untrusted_candidate_leaves_the_owner_alone() {
    Bench bench(3, 1);
    bench.trusting[1] = bench.trusting[2] = false;
    bench.owner.take_over(core_of(3), Epoch{0});
    bench.run();
    EXPECT(bench.owner.state() == Owner::State::preparing);
    for (const Replica& replica : bench.replicas) EXPECT(replica.promised.value == 0);
}
void undecided_value_does_not_come_back() {
    // An old owner left v2 on disk 1 only. A later owner acts on disks 2 and 3; a third one reads 1 and 2.
    Bench bench(3, 2);
    for (Replica& replica : bench.replicas) replica.registers["a"] = Register{Epoch{65}, Version{1}, "fixed", "one"};
    bench.replicas[0].registers["a"] = Register{Epoch{65}, Version{2}, "fixed", "undecided"};
    bench.replicas[0].registers["lone"] = Register{Epoch{65}, Version{1}, "fixed", "undecided"};
    bench.up[0] = false;
    bench.owner.take_over(core_of(3), Epoch{65});
    bench.run();
    EXPECT(bench.owner.acting() && bench.owner.registers().at("a").moving == "one" && !bench.owner.registers().contains("lone"));
    Bench third(3, 2);
    third.replicas = bench.replicas;
    third.up[2] = false;
    third.owner.take_over(core_of(3), Epoch{200});
    third.run();
    EXPECT(third.owner.acting() && third.owner.registers().at("a").moving == "one" && !third.owner.registers().contains("lone"));
    EXPECT(third.replicas[0].registers["a"].moving == "one");
    EXPECT(!third.replicas[0].registers.contains("lone"));
}
void higher_promise_ends_an_owner() {
    Bench bench(3, 1);
    bench.owner.take_over(core_of(3), Epoch{0});
    bench.run();
    bench.replicas[1].promised = Epoch{300};
    bench.owner.propose("a", "f", "v", nullptr);
    bench.run(2);
    EXPECT(bench.owner.state() == Owner::State::idle && bench.owner.outbid_by == Epoch{300});
}
void core_changes_by_one() {
    Bench bench(3, 1);
    bench.owner.take_over(core_of(3), Epoch{0});
    bench.run();
    bench.owner.propose("a", "f", "v", nullptr);
    bench.run();
    bench.up[2] = false;
    Core smaller = bench.owner.core();
    smaller.members.pop_back();
    bool done = false;
    bench.owner.set_core(smaller, pack(smaller), [&](bool committed) { done = committed; });
    bench.run();
    EXPECT(done && bench.owner.core().majority() == 2);
    Replica fresh;
    fresh.identity = Identity{900};
    bench.replicas.push_back(fresh);
    Member member{0, Identity{900}, "d4", ""};
    bench.owner.add_learner(member);
    EXPECT(!bench.owner.learner_ready(Identity{900}));
    bench.run();
    EXPECT(bench.owner.learner_ready(Identity{900}) && bench.replicas[3].registers["a"].moving == "v");
    Core larger = bench.owner.core();
    member.number = larger.next_number++;
    larger.members.push_back(member);
    done = false;
    bench.owner.set_core(larger, pack(larger), [&](bool committed) { done = committed; });
    bench.run();
    EXPECT(done && unpack<Core>(bench.replicas[3].registers["core"].moving)->members.size() == 3);
    // An address that answers with another identity tells that the disk is gone.
    bench.replicas[1].identity = Identity{777};
    bench.owner.propose("a", std::nullopt, "w", nullptr);
    bench.run();
    EXPECT(!bench.owner.is_gone(Identity{101}));
}
void ended_keys_are_forgotten_by_all() {
    Bench bench(3, 1);
    bench.owner.take_over(core_of(3), Epoch{0});
    bench.run();
    bench.owner.propose("job/1", "f", "v", nullptr);
    bench.run();
    bench.up[2] = false;
    bench.owner.bury("job/1");
    bench.run();
    EXPECT(bench.owner.registers().contains("job/1"));
    EXPECT(bench.replicas[1].registers["job/1"].moving.empty());
    bench.up[2] = true;
    bench.run();
    EXPECT(!bench.owner.registers().contains("job/1"));
    for (const Replica& replica : bench.replicas) EXPECT(!replica.registers.contains("job/1"));
}
void frames_are_refused_whole() {
    WriteAsk ask = write(Identity{102}, 65, {entry("a", 65, 1, "x")}, true);
    std::string bytes = pack(ask);
    EXPECT(unpack<WriteAsk>(bytes) && unpack<WriteAsk>(bytes)->entries.front().value.moving == "x");
    for (size_t length = 0; length < bytes.size(); ++length) EXPECT(!unpack<WriteAsk>(bytes.substr(0, length)));
    EXPECT(!unpack<WriteAsk>(bytes + "x"));
    std::string other = bytes;
    other[0] = 2;  // another format
    EXPECT(!unpack<WriteAsk>(other));
    property("noise never reads as a frame by accident of a crash", rc::check([](const std::string& noise) { (void)unpack<WriteAsk>(noise), (void)unpack<PrepareAnswer>(noise); }));
}

}  // namespace

int main() {
    prepare_table();
    write_table();
    takeover_and_repair();
    untrusted_candidate_leaves_the_owner_alone();
    undecided_value_does_not_come_back();
    higher_promise_ends_an_owner();
    core_changes_by_one();
    ended_keys_are_forgotten_by_all();
    frames_are_refused_whole();
    return result();
}
