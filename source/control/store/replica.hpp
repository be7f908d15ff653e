// What one disk has promised and holds. Pure: the caller persists a Change before it sends the answer.
#pragma once
#include "control/store/register.hpp"

namespace calicostall {

// What is to be on the disk before the answer may leave: entries by name, in order; no bytes drop the entry.
struct Change {
    std::vector<std::pair<std::string, std::optional<std::string>>> entries;
    bool empty() const { return entries.empty(); }
};

// How a register lies on the disk: one entry for the head, one for the fixed part, one for each numbered part.
// `stamp` is the last adoption that the entry's own epoch already accounts for.
struct RegisterHead {
    Epoch epoch, stamp;
    Version version;
    std::string moving;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(epoch), visit(stamp), visit(version), visit(moving);
    }
};

// Example: auto [answer, change] = replica.write(ask); disk.put(change, [answer] { send(answer); });
class Replica {
public:
    Identity identity;
    Epoch promised, synced;
    // The candidate that `promised` was given to. A disk written before this was noted has none: then an equal epoch is
    // refused to all.
    Identity promised_to;
    Epoch adopted;  // the last owner whose adoption this replica carried out
    std::map<std::string, Register> registers;
    std::string founding_vote;  // the packed FoundingRecord, kept by `Founding`

    // Grants a higher epoch, or the same one again to the same candidate, only to the daemon that it trusts.
    std::pair<PrepareAnswer, Change> prepare(const PrepareAsk& ask, bool trusted);

    // Takes what the owner of the highest epoch writes; refuses (`outdated`) a lower epoch, and an equal one that was
    // promised to another candidate.
    std::pair<WriteAnswer, Change> write(const WriteAsk& ask);

    // Puts a register in as it is, for a replica that founds the core.
    Change found(const std::string& key, Register value);

    // The persisted form read back: each entry in any order, then `finish_load` once. Returns whether the entry was
    // sound.
    bool load(std::string_view name, std::string_view bytes);
    // Gives every register the epoch it had; returns whether none lacks its head.
    bool finish_load();

private:
    using Place = std::map<std::string, Register>::iterator;

    bool may_promise(Epoch epoch, Identity candidate) const;
    void promise(Epoch epoch, Identity candidate, Change& change);
    bool load_meta(std::string_view name, std::string_view bytes);
    void keep_head(const std::string& key, const Register& value, Change& change);
    Place drop(Place each, Change& change);
    void compare(const Holdings& known, bool bare, PrepareAnswer& answer) const;
    void adopt(const WriteAsk& ask, Change& change);
    void complete(Epoch epoch, Change& change);
    bool take(const WriteEntry& entry, Change& change);

    std::map<std::string, Epoch> stamps_;  // while loading
};

}  // namespace calicostall
