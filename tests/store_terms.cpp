// Terms: a promise is to one candidate, and no two owners ever act under one term.
#include "check.hpp"
#include "store_members.hpp"

using namespace calicostall;
using namespace calicostall::tests;

namespace {

const Identity first{101}, second{165};

// A core whose members have numbers 64 apart, as after 64 replacements.
Core core_after_replacements() {
    Core core = core_of(1);
    core.members.push_back(member_of(65));
    core.members.push_back(member_of(3));
    core.next_number = 66;
    return core;
}

void two_candidates_never_act_under_one_term() {
    Machines machines(core_after_replacements());
    Machine &one = machines.at(1), &other = machines.at(65);
    for (auto& [identity, machine] : machines.all)
        machine.replica.promised = Epoch{640};
    one.take_over();
    other.take_over();
    // Each hears only itself and the third member, which both ask at the same time.
    std::map<std::uint64_t, std::set<Identity>> acted;
    for (int round = 0; round < 40; ++round) {
        machines.now += milliseconds(120);
        for (Machine* machine : {&one, &other}) {
            Identity opposite = machine == &one ? second : first;
            for (const OutgoingMessage& message : machine->owner.messages_due(machines.now))
                machines.deliver(machine->owner, message, message.to.identity != opposite, true);
        }
        for (Machine* machine : {&one, &other}) {
            if (machine->owner.acting()) acted[machine->owner.epoch().value].insert(machine->replica.identity);
            if (machine->owner.superseded_by && machine->owner.state() == Owner::State::idle) {
                Epoch before = machine->owner.epoch(), seen = *machine->owner.superseded_by;
                machine->owner.superseded_by.reset();
                machine->owner.take_over(machine->known_core(), std::max(machine->replica.promised, seen),
                                         machine->replica.registers);
                EXPECT(machine->owner.epoch() > before && machine->owner.epoch() > seen);
            }
        }
    }
    EXPECT(!acted.empty());
    for (const auto& [term, identities] : acted)
        EXPECT(identities.size() == 1);
}

// Whatever the member numbers, a candidate asks for one term above the highest one seen.
void a_term_is_one_above_the_highest_seen() {
    for (std::uint64_t number : {1, 63, 64, 65, 1000}) {
        Core core = core_of(3);
        core.members[0].number = number;
        Owner owner({}, first);
        owner.take_over(core, Epoch{640});
        EXPECT(owner.epoch().value == 641);
        owner.take_over(core, Epoch{0});
        EXPECT(owner.epoch().value == 642);
    }
}

PrepareAsk prepare_from(Identity from, std::uint64_t term, PrepareKind kind) {
    return {from, Identity{102}, Epoch{term}, kind, ""};
}
WriteAsk write_from(Identity from, std::uint64_t term, bool adopt) {
    WriteEntry entry{"a", Carries::all, Epoch{term}, Version{9}, {}, "fixed", "value", {}, false};
    return {from, Identity{102}, Epoch{term}, false, true, {entry}, {}, adopt, {}};
}

void an_equal_term_is_for_one_candidate() {
    struct Row {
        Identity from;
        std::uint64_t term;
        bool accepted;
    };
    for (const Row& row : {Row{first, 70, true}, Row{second, 70, false}, Row{second, 71, true}, Row{first, 69, false},
                           Row{second, 69, false}}) {
        Replica promised;
        promised.identity = Identity{102};
        Entries disk;
        persist(disk, promised.prepare(prepare_from(first, 70, PrepareKind::grant), true).second);
        // The promise holds for this process and for the next one on the same disk.
        for (Replica base : {promised, reopened(disk, Identity{102})}) {
            for (PrepareKind kind : {PrepareKind::pre_vote, PrepareKind::grant, PrepareKind::late}) {
                Replica replica = base;
                auto [answer, change] = replica.prepare(prepare_from(row.from, row.term, kind), true);
                Verdict accepted = kind == PrepareKind::pre_vote ? Verdict::ready : Verdict::granted;
                EXPECT(answer.verdict == (row.accepted ? accepted : Verdict::outdated));
                EXPECT(answer.promised == replica.promised && answer.promised_to == replica.promised_to);
                if (!row.accepted) EXPECT(change.empty() && replica.promised.value == 70);
                if (!row.accepted) EXPECT(replica.promised_to == first);
            }
            for (bool adopt : {false, true}) {
                Replica replica = base;
                auto [answer, change] = replica.write(write_from(row.from, row.term, adopt));
                EXPECT(answer.verdict == (row.accepted ? Verdict::granted : Verdict::outdated));
                EXPECT(replica.registers.contains("a") == row.accepted && change.empty() == !row.accepted);
                EXPECT(answer.promised_to == replica.promised_to);
            }
        }
    }
}

// A disk that was written before candidates were noted: nobody knows to whom its term was promised, so an equal term
// is refused to all, and the next one is granted.
void an_older_disk_still_loads() {
    Replica replica = reopened({{"m/promised", pack(Epoch{70})}}, Identity{102});
    EXPECT(replica.promised.value == 70 && replica.promised_to == Identity{});
    EXPECT(replica.prepare(prepare_from(first, 70, PrepareKind::grant), true).first.verdict == Verdict::outdated);
    EXPECT(replica.write(write_from(first, 70, false)).first.verdict == Verdict::outdated);
    EXPECT(replica.prepare(prepare_from(first, 71, PrepareKind::grant), true).first.verdict == Verdict::granted);
}

// What an earlier life of the same daemon sent under a term can do no harm to the next life, though both have one
// identity. A life writes only after its own replica has promised its term and synced that, so the next life reads the
// promise from the disk and asks above it: writes of two lives never have one term. A life that died before that sent
// prepares alone; granted again, they change nothing, and their answers went to the process that is gone.
void an_earlier_life_shares_no_term_with_the_next() {
    for (int rounds_lived = 0; rounds_lived < 8; ++rounds_lived) {
        Machines machines(core_of(3));
        Machine& candidate = machines.at(1);
        candidate.take_over();
        std::vector<OutgoingMessage> sent;
        for (int round = 0; round < rounds_lived; ++round) {
            machines.now += milliseconds(120);
            if (candidate.owner.acting()) candidate.owner.propose("a", "fixed", "earlier", nullptr);
            for (const OutgoingMessage& message : candidate.owner.messages_due(machines.now)) {
                sent.push_back(message);
                machines.deliver(candidate.owner, message, true, true);
            }
        }
        Epoch earlier = candidate.owner.epoch();
        bool wrote = std::any_of(sent.begin(), sent.end(), [](const OutgoingMessage& message) {
            return std::holds_alternative<WriteAsk>(message.ask);
        });
        candidate.restart();
        candidate.take_over();
        EXPECT(!wrote || candidate.owner.epoch() > earlier);
        machines.rounds(candidate.owner);
        candidate.owner.propose("a", "fixed", "next", nullptr);
        machines.rounds(candidate.owner);
        EXPECT(candidate.owner.acting());
        // Everything the earlier life ever sent arrives once more.
        std::map<std::string, Register> before = machines.at(2).replica.registers;
        for (const OutgoingMessage& message : sent) {
            if (message.to.identity != Identity{102}) continue;
            if (auto* write = std::get_if<WriteAsk>(&message.ask))
                EXPECT(machines.at(2).replica.write(*write).first.verdict == Verdict::outdated);
            else
                machines.at(2).replica.prepare(std::get<PrepareAsk>(message.ask), true);
        }
        EXPECT(machines.at(2).replica.registers == before && before.at("a").moving == "next");
        EXPECT(machines.at(2).replica.promised == candidate.owner.epoch());
    }
}

}  // namespace

int main() {
    two_candidates_never_act_under_one_term();
    a_term_is_one_above_the_highest_seen();
    an_equal_term_is_for_one_candidate();
    an_older_disk_still_loads();
    an_earlier_life_shares_no_term_with_the_next();
    return result();
}
