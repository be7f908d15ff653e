// The data types of the record: registers, members of the core, and the frames between owner and replicas.
#pragma once
#include "common.hpp"
#include "shared/time/judged_time.hpp"

namespace calicostall {

// One numbered piece of a value; in a change, empty bytes drop it.
struct Part {
    std::uint64_t number = 0;
    std::string bytes;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(bytes);
    }
    bool operator==(const Part&) const = default;
};

// What a proposal changes of a value: `moving` is replaced, then the parts named here (or, with `all`, every part).
// Example: owner.propose("job/1", std::nullopt, Patch{head, {{7, task}}}, on_committed);
struct Patch {
    std::string moving;
    std::vector<Part> parts;
    bool all = false;
    Patch(std::string moving = {}, std::vector<Part> parts = {}, bool all = false)
        : moving(std::move(moving)), parts(std::move(parts)), all(all) {}
    Patch(const char* moving) : moving(moving) {}
};

// One key's value: `fixed` never changes after the first version, `moving` and the parts do.
// (epoch, version) tells one content from all others: only the owner of an epoch gives versions under it.
struct Register {
    Epoch epoch;
    Version version;
    std::string fixed;
    std::string moving;
    std::map<std::uint64_t, std::string> parts;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(epoch), visit(version), visit(fixed), visit(moving), visit(parts);
    }
    bool operator==(const Register&) const = default;
    bool newer_than(const Register& other) const {
        return std::tie(epoch, version) > std::tie(other.epoch, other.version);
    }
    bool empty() const { return fixed.empty() && moving.empty() && parts.empty(); }
    void change(const std::vector<Part>& changed, bool all) {
        if (all) parts.clear();
        for (const Part& part : changed) {
            if (part.bytes.empty())
                parts.erase(part.number);
            else
                parts[part.number] = part.bytes;
        }
    }
};

// A member of the core: `number` is never used twice, `address` is where its replica listens.
struct Member {
    std::uint64_t number = 0;
    Identity identity;
    std::string address;
    std::string control;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(identity), visit(address), visit(control);
    }
};

struct Core {
    std::vector<Member> members;
    std::uint64_t next_number = 1;
    std::uint64_t size_wanted = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(members), visit(next_number), visit(size_wanted);
    }

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

struct KeyedRegister {
    std::string key;
    Register value;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(key), visit(value);
    }
};

// That somebody holds a key, and which content of it.
struct Holding {
    std::string key;
    Epoch epoch;
    Version version;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(key), visit(epoch), visit(version);
    }
};
struct Holdings {
    std::vector<Holding> list;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(list);
    }
};

// pre_vote: would it be granted? (nothing is promised, and nothing big is sent to one that does not trust the asker)
// grant: the ordinary prepare. late: the epoch has its majority, and only what the replica holds is wanted, without
// contents.
enum class PrepareKind { grant, pre_vote, late };

struct PrepareAsk {
    Identity from, to;
    Epoch epoch;
    PrepareKind kind = PrepareKind::grant;
    std::string known;  // packed Holdings, sorted by key: what the asker has already
    Register core;      // the core that the asker goes by; empty when it is told by nothing
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(from), visit(to), visit(epoch), visit(kind), visit(known), visit(core);
    }
};

// ready: a pre-vote that would be granted.
enum class Verdict { granted, outdated, untrusted, stranger, error, ready };

struct PrepareAnswer {
    Verdict verdict = Verdict::error;
    Epoch promised, synced;
    Identity promised_to;                  // the candidate that `promised` was given to
    Micros wall = 0;                       // this daemon's own clock
    JudgedTime judged;                     // what it remembers of an earlier owner's time of day
    std::vector<KeyedRegister> registers;  // held here in another content than `known` says, or not known there
    std::vector<std::string> lacking;      // known there and not held here
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(verdict), visit(promised), visit(promised_to), visit(synced), visit(wall), visit(judged),
            visit(registers), visit(lacking);
    }
};

// How much of a register a write carries: all of it, or what changed since the version `base` of the same epoch.
enum class Carries { all, changes };

struct WriteEntry {
    std::string key;
    Carries carries = Carries::all;
    Epoch epoch;
    Version version, base;
    std::string fixed, moving;
    std::vector<Part> parts;
    bool replaces = false;  // the parts not named are dropped
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(key), visit(carries), visit(epoch), visit(version), visit(base), visit(fixed), visit(moving),
            visit(parts), visit(replaces);
    }
};

// The key is forgotten, unless a later version was written since.
struct Purge {
    std::string key;
    Version version;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(key), visit(version);
    }
};

struct WriteAsk {
    Identity from, to;
    Epoch epoch;
    bool complete = false;  // with these entries the replica has all that the owner has
    bool level = false;     // after these entries nothing more is waiting for the replica
    std::vector<WriteEntry> entries;
    std::vector<Purge> purges;
    bool adopt = false;                 // once an epoch: all that the replica holds gets this epoch,
    std::vector<std::string> excepted;  // but these keys
    JudgedTime judged;                  // the time of day that the owner goes by
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(from), visit(to), visit(epoch), visit(complete), visit(level), visit(entries), visit(purges),
            visit(adopt), visit(excepted), visit(judged);
    }
};

struct WriteAnswer {
    Verdict verdict = Verdict::error;
    Epoch promised;
    Identity promised_to;
    Micros wall = 0;
    std::vector<std::string> lacking;  // keys of which the replica does not have what the entry builds on
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(verdict), visit(promised), visit(promised_to), visit(wall), visit(lacking);
    }
};

}  // namespace calicostall
