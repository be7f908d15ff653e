// The words of the record: registers, members of the core, and the frames between replicas.
#pragma once
#include "common.hpp"

namespace calicostall {

// One key's value: `fixed` never changes after the first version, `moving` does.
struct Register {
    Epoch epoch;
    Version version;
    std::string fixed;
    std::string moving;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) { visit(epoch), visit(version), visit(fixed), visit(moving); }
    bool newer_than(const Register& other) const { return std::tie(epoch, version) > std::tie(other.epoch, other.version); }
};

// A member of the core: `number` is never used twice, `address` is where its replica listens.
struct Member {
    std::uint64_t number = 0;
    Identity identity;
    std::string address;
    std::string control;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) { visit(number), visit(identity), visit(address), visit(control); }
};

struct Core {
    std::vector<Member> members;
    std::uint64_t next_number = 1;
    std::uint64_t size_wanted = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) { visit(members), visit(next_number), visit(size_wanted); }

    size_t majority() const { return members.size() / 2 + 1; }
    const Member* find(Identity identity) const {
        for (const Member& member : members)
            if (member.identity == identity) return &member;
        return nullptr;
    }
    std::optional<size_t> place_of(Identity identity) const {
        for (size_t place = 0; place < members.size(); ++place)
            if (members[place].identity == identity) return place;
        return std::nullopt;
    }
};

struct PrepareAsk {
    Identity from, to;
    Epoch epoch;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) { visit(from), visit(to), visit(epoch); }
};

struct KeyedRegister {
    std::string key;
    Register value;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) { visit(key), visit(value); }
};

enum class Verdict { granted, outdated, untrusted, stranger, error };

struct PrepareAnswer {
    Verdict verdict = Verdict::error;
    Epoch promised, synced;
    Micros wall = 0;
    std::vector<KeyedRegister> registers;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) { visit(verdict), visit(promised), visit(synced), visit(wall), visit(registers); }
};

// How much of a register a write carries: the rest is what the replica has.
enum class Carries { all, moving, mark };

struct WriteEntry {
    std::string key;
    Carries carries = Carries::all;
    Register value;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) { visit(key), visit(carries), visit(value); }
};

struct WriteAsk {
    Identity from, to;
    Epoch epoch;
    bool complete = false;  // with these entries the replica has all that the owner has
    bool level = false;     // after these entries nothing more is waiting for the replica
    std::vector<WriteEntry> entries;
    std::vector<std::string> purges;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) { visit(from), visit(to), visit(epoch), visit(complete), visit(level), visit(entries), visit(purges); }
};

struct WriteAnswer {
    Verdict verdict = Verdict::error;
    Epoch promised;
    Micros wall = 0;
    std::vector<std::string> lacking;  // keys whose missing part the replica does not have
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) { visit(verdict), visit(promised), visit(wall), visit(lacking); }
};

}  // namespace calicostall
