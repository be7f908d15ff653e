// Replica and owner as tables: promises, refusals, hand-over, what was never decided, change of the core.
#include "control/store/owner.hpp"
#include "control/store/replica.hpp"
#include "shared/wire/cbor.hpp"

#include "check.hpp"
#include "store_members.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

Replica replica_of(size_t number, const Core& core) {
    Replica replica;
    replica.identity = Identity{100 + number};
    replica.registers["core"] = Register{Epoch{0}, Version{1}, {}, pack(core)};
    return replica;
}
WriteAsk write(Identity to, std::uint64_t epoch, std::vector<WriteEntry> entries, bool complete = false) {
    return {Identity{101}, to, Epoch{epoch}, complete, true, std::move(entries), {}, false, {}};
}
WriteEntry entry(const std::string& key, std::uint64_t epoch, std::uint64_t version, const std::string& value,
                 std::uint64_t base = 0, std::vector<Part> parts = {}) {
    return {key,           base ? Carries::changes : Carries::all,
            Epoch{epoch},  Version{version},
            Version{base}, base ? "" : "fixed",
            value,         std::move(parts),
            false};
}

void prepare_table() {
    struct Row {
        std::uint64_t promised, asked;
        bool trusted;
        std::uint64_t to;
        Verdict verdict;
        std::uint64_t after;
    };
    for (const Row& row : {Row{0, 65, true, 102, Verdict::granted, 65}, Row{65, 65, true, 102, Verdict::granted, 65},
                           Row{66, 65, true, 102, Verdict::outdated, 66}, Row{0, 65, false, 102, Verdict::untrusted, 0},
                           Row{0, 65, true, 999, Verdict::stranger, 0}}) {
        Replica replica = replica_of(2, core_of(3));
        replica.promised = Epoch{row.promised};
        replica.promised_to = Identity{101};
        auto [answer, change] = replica.prepare({Identity{101}, Identity{row.to}, Epoch{row.asked}}, row.trusted);
        EXPECT(answer.verdict == row.verdict && replica.promised.value == row.after);
        EXPECT(change.empty() == (row.after == row.promised));
        EXPECT(answer.registers.empty() == (row.verdict != Verdict::granted));
        // A pre-vote promises nothing; a late one needs no trust and tells no contents.
        Replica pre_voted = replica_of(2, core_of(3));
        pre_voted.promised = Epoch{row.promised};
        pre_voted.promised_to = Identity{101};
        Verdict verdict =
            pre_voted.prepare({Identity{101}, Identity{row.to}, Epoch{row.asked}, PrepareKind::pre_vote}, row.trusted)
                .first.verdict;
        EXPECT(verdict == (row.verdict == Verdict::granted ? Verdict::ready : row.verdict) &&
               pre_voted.promised.value == row.promised);
        auto late =
            pre_voted.prepare({Identity{101}, Identity{row.to}, Epoch{row.asked}, PrepareKind::late}, row.trusted)
                .first;
        EXPECT((late.verdict == Verdict::granted) == (row.to == 102 && row.asked >= row.promised));
        for (const KeyedRegister& each : late.registers)
            EXPECT(each.value.moving.empty());
    }
    // Only what the asker lacks or has otherwise is answered, and what it has and the replica lacks.
    Replica replica = replica_of(2, core_of(3));
    for (const char* key : {"a", "b", "d"})
        replica.registers[key] = Register{Epoch{65}, Version{2}, "f", key, {}};
    Holdings known{{{"a", Epoch{65}, Version{2}},
                    {"b", Epoch{65}, Version{1}},
                    {"c", Epoch{65}, Version{1}},
                    {"core", Epoch{0}, Version{1}},
                    {"e", Epoch{1}, Version{1}}}};
    auto answer =
        replica.prepare({Identity{101}, Identity{102}, Epoch{70}, PrepareKind::grant, pack(known)}, true).first;
    EXPECT(answer.registers.size() == 2 && answer.registers[0].key == "b" && answer.registers[1].key == "d" &&
           answer.registers[1].value.moving == "d");
    EXPECT((answer.lacking == std::vector<std::string>{"c", "e"}));
    EXPECT(
        replica.prepare({Identity{101}, Identity{102}, Epoch{71}, PrepareKind::grant, "noise"}, true).first.verdict ==
            Verdict::error &&
        replica.promised.value == 70);
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
    // Changes without what they build on are lacking, never half a value: no such key, another version, another epoch.
    auto lacking = replica.write(write(to, 65, {entry("b", 65, 2, "x", 1)})).first;
    EXPECT(lacking.lacking == std::vector<std::string>{"b"} && !replica.registers.contains("b"));
    EXPECT(replica.write(write(to, 65, {entry("a", 65, 5, "five", 4)})).first.lacking.size() == 1 &&
           replica.registers["a"].moving == "three");
    EXPECT(replica.write(write(to, 65, {entry("a", 65, 4, "four", 3, {{7, "seven"}, {8, "eight"}})}))
               .first.lacking.empty());
    EXPECT(replica.registers["a"].fixed == "fixed" && replica.registers["a"].moving == "four" &&
           replica.registers["a"].parts.size() == 2);
    EXPECT(replica.write(write(to, 65, {entry("a", 65, 5, "four", 4, {{7, ""}, {9, "nine"}})})).first.lacking.empty());
    EXPECT((replica.registers["a"].parts == std::map<std::uint64_t, std::string>{{8, "eight"}, {9, "nine"}}));
    // What it has already, or a later version of, is neither lacking nor taken twice.
    EXPECT(replica.write(write(to, 65, {entry("a", 65, 5, "again", 4)})).first.lacking.empty() &&
           replica.registers["a"].moving == "four");
    EXPECT(replica.write(write(to, 70, {entry("a", 70, 6, "six", 5)})).first.lacking.size() == 1);
    // An adoption renews all but what is excepted, and does so once.
    replica.registers["other"] = Register{Epoch{66}, Version{5}, "f", "excepted", {}};
    WriteAsk adopt = write(to, 70, {});
    adopt.adopt = true;
    adopt.excepted = {"other"};
    replica.write(adopt);
    EXPECT(replica.registers["a"].epoch.value == 70 && replica.registers["other"].epoch.value == 66 &&
           replica.adopted.value == 70);
    adopt.excepted.clear();
    replica.write(adopt);
    EXPECT(replica.registers["other"].epoch.value == 66);
    EXPECT(replica.write({Identity{101}, Identity{5}, Epoch{99}, false, true, {}, {}, false, {}}).first.verdict ==
           Verdict::stranger);
    // A key is forgotten up to the version that was told, not one written since.
    WriteAsk purge = write(to, 70, {entry("b", 70, 3, "new")});
    purge.purges = {{"b", Version{2}}};
    replica.write(purge);
    EXPECT(replica.registers.contains("b"));
    purge.purges = {{"b", Version{3}}};
    replica.write(purge);
    EXPECT(!replica.registers.contains("b"));
    // Complete: what an earlier owner left undecided here is dropped for good.
    replica.registers["ghost"] = Register{Epoch{65}, Version{9}, "f", "never decided"};
    replica.write(write(to, 71, {entry("core", 71, 1, pack(core_of(3))), entry("a", 71, 5, "four")}, true));
    EXPECT(!replica.registers.contains("ghost") && replica.synced.value == 71);
}

// Drives an owner against replicas in memory; `up` says who answers.
struct Bench {
    std::vector<Replica> replicas;
    Owner owner;
    std::vector<bool> up;
    std::vector<bool> trusting;
    Micros now = seconds(1);
    size_t messages = 0, bytes = 0, entries = 0;
    Bench(size_t count, size_t self) : owner({}, Identity{100 + self}), up(count + 2, true), trusting(count + 2, true) {
        for (size_t number = 1; number <= count; ++number)
            replicas.push_back(replica_of(number, core_of(count)));
        owner.unpack_core = [](const std::string& packed) { return unpack<Core>(packed); };
    }
    void run(int rounds = 12) {
        for (int round = 0; round < rounds; ++round) {
            now += milliseconds(120);
            for (OutgoingMessage& message : owner.messages_due(now)) {
                ++messages;
                Replica* replica = nullptr;
                size_t place = 0;
                for (size_t each = 0; each < replicas.size(); ++each)
                    if (replicas[each].identity == message.to.identity) replica = &replicas[each], place = each;
                bool answers = replica && up[place];
                if (auto* ask = std::get_if<WriteAsk>(&message.ask))
                    bytes += pack(*ask).size(), entries += ask->entries.size();
                else
                    bytes += pack(std::get<PrepareAsk>(message.ask)).size();
                if (auto* prepare = std::get_if<PrepareAsk>(&message.ask)) {
                    if (answers) {
                        auto answer = replica->prepare(*prepare, trusting[place]).first;
                        owner.take(message.ticket, &answer, now);
                    } else {
                        owner.take(message.ticket, static_cast<const PrepareAnswer*>(nullptr), now);
                    }
                } else if (answers) {
                    auto answer = replica->write(std::get<WriteAsk>(message.ask)).first;
                    owner.take(message.ticket, &answer, now);
                } else {
                    owner.take(message.ticket, static_cast<const WriteAnswer*>(nullptr), now);
                }
            }
        }
    }
};

void takeover_and_repair() {
    Bench bench(3, 1);
    bench.owner.take_over(core_of(3), Epoch{0});
    bench.run();
    EXPECT(bench.owner.acting() && bench.owner.epoch().value == 1);
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
    for (const Replica& replica : bench.replicas)
        EXPECT(replica.promised.value == 0);
}
void undecided_value_does_not_come_back() {
    // An old owner left v2 on disk 1 only. A later owner acts on disks 2 and 3; a third one reads 1 and 2.
    Bench bench(3, 2);
    for (Replica& replica : bench.replicas)
        replica.registers["a"] = Register{Epoch{65}, Version{1}, "fixed", "one"};
    bench.replicas[0].registers["a"] = Register{Epoch{65}, Version{2}, "fixed", "undecided"};
    bench.replicas[0].registers["lone"] = Register{Epoch{65}, Version{1}, "fixed", "undecided"};
    bench.up[0] = false;
    bench.owner.take_over(core_of(3), Epoch{65});
    bench.run();
    EXPECT(bench.owner.acting() && bench.owner.registers().at("a").moving == "one" &&
           !bench.owner.registers().contains("lone"));
    Bench third(3, 2);
    third.replicas = bench.replicas;
    third.up[2] = false;
    third.owner.take_over(core_of(3), Epoch{200});
    third.run();
    EXPECT(third.owner.acting() && third.owner.registers().at("a").moving == "one" &&
           !third.owner.registers().contains("lone"));
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
    EXPECT(bench.owner.state() == Owner::State::idle && bench.owner.superseded_by == Epoch{300});
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
    bench.owner.remove("job/1");
    bench.run();
    EXPECT(bench.owner.registers().contains("job/1"));
    EXPECT(bench.replicas[1].registers["job/1"].moving.empty());
    bench.up[2] = true;
    bench.run();
    EXPECT(!bench.owner.registers().contains("job/1"));
    for (const Replica& replica : bench.replicas)
        EXPECT(!replica.registers.contains("job/1"));
}
// Parts reach every replica, also one that missed some, and a lost answer or a refused base heals by itself.
void parts_travel() {
    Bench bench(3, 1);
    bench.owner.take_over(core_of(3), Epoch{0}, bench.replicas[0].registers);
    bench.run();
    bench.owner.propose("job/1", "f", Patch("head", {{1, "one"}, {2, "two"}}), nullptr);
    bench.run();
    bench.up[2] = false;
    bench.owner.propose("job/1", std::nullopt, Patch("head 2", {{1, ""}, {3, "three"}}), nullptr);
    bench.run();
    bench.up[2] = true;
    bench.owner.propose("job/1", std::nullopt, Patch("head 3", {{2, "two again"}}), nullptr);
    bench.run();
    for (const Replica& replica : bench.replicas) {
        EXPECT(replica.registers.at("job/1") == bench.owner.registers().at("job/1"));
        EXPECT((replica.registers.at("job/1").parts ==
                std::map<std::uint64_t, std::string>{{2, "two again"}, {3, "three"}}));
    }
    bench.owner.propose("job/1", std::nullopt, Patch("ended", {}, true), nullptr);
    bench.run();
    for (const Replica& replica : bench.replicas)
        EXPECT(replica.registers.at("job/1").parts.empty() && replica.registers.at("job/1").fixed == "f");
}
// A takeover writes nothing again that the replicas hold alike, whatever the number of keys.
void takeover_costs_no_contents() {
    Bench bench(5, 1);
    for (Replica& replica : bench.replicas)
        for (int number = 0; number < 500; ++number)
            replica.registers[fmt::format("job/{}", number)] =
                Register{Epoch{65}, Version{3}, "f", std::string(1000, 'x'), {}};
    bench.replicas[4].registers["job/7"].version = Version{2};
    bench.owner.take_over(core_of(5), Epoch{65}, bench.replicas[0].registers);
    bench.run();
    EXPECT(bench.owner.acting() && bench.bytes < 400000 && bench.entries <= 1);
    for (const Replica& replica : bench.replicas)
        for (const auto& [key, value] : replica.registers)
            EXPECT(value == bench.owner.registers().at(key));
}
// Cores of three to eight, with as many lost at once as a majority bears: decided values stay, one loss more stops it.
void every_size_bears_its_losses() {
    for (size_t count = 3; count <= 8; ++count) {
        size_t bears = (count - 1) / 2;
        Bench bench(count, 1);
        bench.owner.take_over(core_of(count), Epoch{0}, bench.replicas[0].registers);
        bench.run();
        for (size_t lost = 0; lost < bears; ++lost)
            bench.up[count - 1 - lost] = false;
        int told = 0;
        bench.owner.propose("a", "f", "v", [&](bool committed) { told += committed; });
        bench.run();
        EXPECT(told == 1);
        // Those that held it: one of them and the ones that missed it elect the next.
        Bench next(count, 2);
        next.replicas = bench.replicas;
        for (size_t lost = 0; lost < bears; ++lost)
            next.up[lost == 0 ? 0 : lost + 1] = false;
        next.owner.take_over(core_of(count), Epoch{200}, next.replicas[1].registers);
        next.run();
        EXPECT(next.owner.acting() && next.owner.registers().contains("a") &&
               next.owner.registers().at("a").moving == "v");
        bench.up[count - 1 - bears] = false;
        bench.owner.propose("a", std::nullopt, "w", [&](bool committed) { told += committed ? 10 : 0; });
        bench.run();
        EXPECT(told == 1);
    }
}
// A member that was let go and comes back under the same epoch, with what was forgotten meanwhile still on its disk.
void a_returning_member_brings_nothing_back() {
    Bench bench(4, 1);
    bench.owner.take_over(core_of(4), Epoch{0}, bench.replicas[0].registers);
    bench.run();
    for (const char* key : {"gone", "kept", "changed"})
        bench.owner.propose(key, "f", Patch("v", {{1, "one"}}), nullptr);
    bench.run();
    bench.up[3] = false;
    Core smaller = bench.owner.core();
    Member member = smaller.members.back();
    smaller.members.pop_back();
    bench.owner.set_core(smaller, pack(smaller), nullptr);
    bench.owner.remove("gone");
    bench.owner.propose("changed", std::nullopt, Patch("w", {{1, ""}}), nullptr);
    bench.run();
    EXPECT(!bench.owner.registers().contains("gone") && bench.replicas[3].registers.contains("gone"));
    bench.up[3] = true;
    bench.owner.add_learner(member);
    bench.run();
    EXPECT(bench.owner.learner_ready(member.identity) && bench.replicas[3].registers == bench.replicas[0].registers);
    // The same key anew goes above what was forgotten.
    bench.owner.propose("gone", "g", "again", nullptr);
    bench.run();
    for (const Replica& replica : bench.replicas)
        EXPECT(replica.registers.at("gone").fixed == "g" && replica.registers.at("gone").moving == "again");
}
void frames_are_refused_whole() {
    WriteAsk ask = write(Identity{102}, 65, {entry("a", 65, 1, "x")}, true);
    std::string bytes = pack(ask);
    EXPECT(unpack<WriteAsk>(bytes) && unpack<WriteAsk>(bytes)->entries.front().moving == "x");
    for (size_t length = 0; length < bytes.size(); ++length)
        EXPECT(!unpack<WriteAsk>(bytes.substr(0, length)));
    EXPECT(!unpack<WriteAsk>(bytes + "x"));
    std::string other = bytes;
    other[0] = 2;  // another format
    EXPECT(!unpack<WriteAsk>(other));
    PrepareAnswer answer{Verdict::granted,
                         Epoch{1},
                         Epoch{1},
                         Identity{7},
                         5,
                         JudgedTime{Epoch{1}, 6},
                         {{"a", Register{Epoch{1}, Version{2}, "f", "m", {{7, "seven"}, {9, "nine"}}}}},
                         {"b"}};
    std::string packed = pack(answer);
    EXPECT(unpack<PrepareAnswer>(packed) &&
           unpack<PrepareAnswer>(packed)->registers.front().value == answer.registers.front().value);
    for (size_t length = 0; length < packed.size(); ++length)
        EXPECT(!unpack<PrepareAnswer>(packed.substr(0, length)));
    property("noise never reads as a frame by accident of a crash", rc::check([](const std::string& noise) {
                 (void)unpack<WriteAsk>(noise), (void)unpack<PrepareAnswer>(noise);
             }));
}

// A number below `bound`, spread alike in early and late cases.
int draw(int bound) {
    return *rc::gen::resize(100, rc::gen::inRange(0, bound));
}
// Owners one after another over three to five replicas: messages are lost, answers are lost, disks lag behind memory
// and processes die between any two steps, each replica coming back from what lay on its disk. Whatever was told as
// committed is there under every later owner, and what a later owner did not find never comes back.
struct Story {
    struct Disk {
        Entries entries;
        Replica replica;
    };
    std::vector<Disk> disks;
    std::map<std::string, std::string> decided;         // what was told as committed, as text
    std::map<std::string, std::set<std::string>> dead;  // contents that an owner has acted without
    std::map<std::string, std::set<std::string>> tried;
    std::uint64_t highest = 0, serial = 0;
    explicit Story(size_t count) {
        for (size_t number = 1; number <= count; ++number) {
            Disk& disk = disks.emplace_back();
            disk.replica.identity = Identity{100 + number};
            persist(disk.entries,
                    disk.replica.found("core", Register{Epoch{0}, Version{1}, {}, pack(core_of(count)), {}}));
        }
    }
    static std::string text(const Register& value) {
        std::string text = value.moving;
        for (const auto& [number, bytes] : value.parts)
            text += fmt::format("|{}:{}", number, bytes);
        return text;
    }
    void crash(size_t place) {
        Disk& disk = disks[place];
        Replica again = reopened(disk.entries, disk.replica.identity);
        RC_ASSERT(again.registers == disk.replica.registers);
        RC_ASSERT(std::tie(again.promised, again.synced, again.adopted) ==
                  std::tie(disk.replica.promised, disk.replica.synced, disk.replica.adopted));
        disk.replica = std::move(again);
    }
    void reign(size_t self) {
        OwnerSettings settings;
        if (draw(2) == 0) settings.batch_bytes = 1;  // each entry in a write of its own
        Owner owner(settings, Identity{101 + self});
        std::vector<bool> away(disks.size());
        auto draw_away = [&] {
            for (size_t place = 0; place < away.size(); ++place)
                away[place] = place != self && draw(5) < 2;
        };
        draw_away();
        owner.unpack_core = [](const std::string& packed) { return unpack<Core>(packed); };
        owner.take_over(core_of(disks.size()), Epoch{highest}, disks[self].replica.registers);
        highest = owner.epoch().value;
        Micros now = seconds(1);
        bool begun = false;
        int steps = 3 + draw(37);
        for (int step = 0; step < steps && owner.state() != Owner::State::idle; ++step) {
            now += milliseconds(110);
            if (draw(12) == 0) draw_away();
            if (owner.acting() && !begun) {
                begun = true;
                for (const auto& [key, value] : owner.registers())
                    RC_ASSERT(!dead[key].contains(text(value)));
                for (const auto& [key, content] : decided) {
                    RC_ASSERT(owner.registers().contains(key));
                    // A later try of the same key that was never told may have been decided as well.
                    RC_ASSERT(text(owner.registers().at(key)) == content ||
                              tried[key].contains(text(owner.registers().at(key))));
                }
                for (auto& [key, contents] : tried) {
                    auto found = owner.registers().find(key);
                    for (const std::string& content : contents)
                        if (found == owner.registers().end() || text(found->second) != content)
                            dead[key].insert(content);
                    contents.clear();
                    if (found != owner.registers().end()) decided[key] = text(found->second);
                }
            }
            if (owner.acting() && draw(2) == 0) {
                std::string key = fmt::format("job/{}", draw(16));
                bool fresh = !owner.registers().contains(key);
                std::vector<Part> parts;
                if (draw(3) != 0) parts.push_back({std::uint64_t(draw(3)), fmt::format("p{}", ++serial)});
                if (draw(4) == 0) parts.push_back({std::uint64_t(draw(3)), ""});
                bool all = draw(6) == 0;
                owner.propose(key, fresh ? std::optional<std::string>("fixed") : std::nullopt,
                              Patch(fmt::format("m{}", ++serial), parts, all), nullptr);
                std::string content = text(owner.registers().at(key));
                tried[key].insert(content);
                owner.confirm(key, [this, key, content](bool committed) {
                    if (committed) decided[key] = content;
                });
            }
            for (OutgoingMessage& message : owner.messages_due(now)) {
                size_t place = message.to.identity.value - 101;
                bool arrives = !away[place] && draw(8) != 0, returns = arrives && draw(6) != 0;
                if (auto* prepare = std::get_if<PrepareAsk>(&message.ask)) {
                    PrepareAnswer answer;
                    if (arrives) {
                        auto [given, change] = disks[place].replica.prepare(*prepare, true);
                        persist(disks[place].entries, change);
                        answer = std::move(given);
                    }
                    if (draw(8) == 0) crash(place);
                    owner.take(message.ticket, returns ? &answer : nullptr, now);
                } else {
                    WriteAnswer answer;
                    if (arrives) {
                        auto [given, change] = disks[place].replica.write(std::get<WriteAsk>(message.ask));
                        persist(disks[place].entries, change);
                        answer = std::move(given);
                    }
                    if (draw(8) == 0) crash(place);
                    owner.take(message.ticket, returns ? &answer : nullptr, now);
                }
            }
        }
    }
};
void nothing_decided_is_lost() {
    property("owners after owners, with crashes between any two steps", rc::check([] {
                 Story story(size_t(3 + draw(3)));
                 int reigns = 2 + draw(14);
                 for (int reign = 0; reign < reigns; ++reign)
                     story.reign(size_t(draw(int(story.disks.size()))));
             }));
}

}  // namespace

int main() {
    parts_travel();
    every_size_bears_its_losses();
    a_returning_member_brings_nothing_back();
    takeover_costs_no_contents();
    nothing_decided_is_lost();
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
