// Replicas, disks and owners in memory, for the tests of the store.
#pragma once
#include "control/store/owner.hpp"
#include "control/store/replica.hpp"
#include "shared/wire/cbor.hpp"

namespace calicostall::tests {

// The member with this number: identity 100 + number, address "d<number>".
inline Member member_of(size_t number) {
    return {number, Identity{100 + number}, fmt::format("d{}", number), ""};
}

// Members 1 to `count`.
inline Core core_of(size_t count) {
    Core core;
    for (size_t number = 1; number <= count; ++number)
        core.members.push_back(member_of(number));
    core.next_number = count + 1;
    core.size_wanted = count;
    return core;
}

inline Core core_without(Core core, Identity identity) {
    std::erase_if(core.members, [&](const Member& member) { return member.identity == identity; });
    return core;
}

inline Core core_with(Core core, Member member) {
    member.number = core.next_number++;
    core.members.push_back(std::move(member));
    return core;
}

// What lies on a simulated disk.
using Entries = std::map<std::string, std::string>;

inline void persist(Entries& entries, const Change& change) {
    for (const auto& [name, bytes] : change.entries) {
        if (bytes)
            entries[name] = *bytes;
        else
            entries.erase(name);
    }
}

// A replica that opened the disk.
inline Replica reopened(const Entries& entries, Identity identity) {
    Replica replica;
    replica.identity = identity;
    bool sound = true;
    for (const auto& [name, bytes] : entries)
        sound = replica.load(name, bytes) && sound;
    EXPECT(replica.finish_load() && sound);
    return replica;
}

// One machine: its disk, the replica that opened it, and the owner that runs beside it.
struct Machine {
    Entries disk;
    Replica replica;
    Owner owner;
    bool up = true;     // answers messages
    bool lost = false;  // for good, with its disk
    Machine(Identity identity, const Core* founded, OwnerSettings settings = {}) : owner(settings, identity) {
        replica.identity = identity;
        if (founded) persist(disk, replica.found("core", Register{Epoch{0}, Version{1}, {}, pack(*founded), {}}));
        owner.unpack_core = [](const std::string& packed) { return unpack<Core>(packed); };
    }
    // The process dies and starts again: what lay on the disk is all that is left.
    void restart(OwnerSettings settings = {}) {
        Identity identity = replica.identity;
        replica = reopened(disk, identity);
        owner.give_up();
        owner = Owner(settings, identity);
        owner.unpack_core = [](const std::string& packed) { return unpack<Core>(packed); };
    }
    Core known_core() const {
        auto found = replica.registers.find("core");
        auto core = found == replica.registers.end() ? std::nullopt : unpack<Core>(found->second.moving);
        return core.value_or(Core{});
    }
    // Begins a takeover as the daemon does.
    void take_over() { owner.take_over(known_core(), replica.promised, replica.registers); }
};

// Machines by identity, and what was sent between them.
struct Machines {
    std::map<Identity, Machine> all;
    OwnerSettings settings;
    Micros now = seconds(1);
    size_t messages = 0, bytes = 0;

    explicit Machines(const Core& core, OwnerSettings settings = {}) : settings(settings) {
        for (const Member& member : core.members)
            all.emplace(member.identity, Machine(member.identity, &core, settings));
    }
    Machine& at(size_t number) { return all.at(Identity{100 + number}); }

    // Carries one message to its member and the answer back; a lost one comes back as a failure.
    void deliver(Owner& owner, const OutgoingMessage& message, bool arrives, bool returns) {
        auto found = all.find(message.to.identity);
        arrives = arrives && found != all.end() && found->second.up && !found->second.lost;
        ++messages;
        if (auto* prepare = std::get_if<PrepareAsk>(&message.ask)) {
            std::pair<PrepareAnswer, Change> result;
            if (arrives) result = found->second.replica.prepare(*prepare, true);
            if (arrives) persist(found->second.disk, result.second);
            owner.take(message.ticket, arrives && returns ? &result.first : nullptr, now);
            return;
        }
        const WriteAsk& write = std::get<WriteAsk>(message.ask);
        bytes += pack(write).size();
        std::pair<WriteAnswer, Change> result;
        if (arrives) result = found->second.replica.write(write);
        if (arrives) persist(found->second.disk, result.second);
        owner.take(message.ticket, arrives && returns ? &result.first : nullptr, now);
    }
    // One message to each member that is due one, all of them answered.
    void round(Owner& owner) {
        now += milliseconds(120);
        for (const OutgoingMessage& message : owner.messages_due(now))
            deliver(owner, message, true, true);
    }
    void rounds(Owner& owner, int count = 12) {
        for (int each = 0; each < count; ++each)
            round(owner);
    }
};

}  // namespace calicostall::tests
