/// What a replica writes to its disk, and how the record lies there: names and encodings of the disk's entries.
///
/// A register takes one entry for its head ("r/KEY"), one for its immutable part ("f/KEY") and one for each chunk
/// ("p/KEY" and the chunk's number, eight bytes, big end first); what the replica promised is in entries "m/...".
/// Disks in service hold these names and encodings: they never change.
#pragma once
#include "common.hpp"
#include "control/store/register.hpp"

namespace calicostall {

/// What is to be on the disk before a response may leave: entries by name, in order; no bytes drop the entry.
struct WriteBatch {
    std::vector<std::pair<std::string, std::optional<std::string>>> entries;
    bool empty() const { return entries.empty(); }
    void put(std::string name, std::string bytes) { entries.emplace_back(std::move(name), std::move(bytes)); }
    void drop(std::string name) { entries.emplace_back(std::move(name), std::nullopt); }
};

/// How a register's head lies on the disk. `adoption_stamp` is the last adoption that `term` already accounts for.
struct RegisterHead {
    Term term;
    Term adoption_stamp;
    Version version;
    std::string head;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(term), visit(adoption_stamp), visit(version), visit(head);
    }
};

// --- names of the replica's own entries ---

inline constexpr const char* replica_id_entry = "m/identity";
inline constexpr const char* promised_term_entry = "m/promised";
inline constexpr const char* promised_to_entry = "m/promised_to";
inline constexpr const char* synchronized_term_entry = "m/synced";
inline constexpr const char* adopted_term_entry = "m/adopted";
inline constexpr const char* bootstrap_record_entry = "m/founding_vote";

// --- entries of a register ---

void put_head(WriteBatch& batch, const std::string& key, const Register& value, Term adoption_stamp);
/// Drops the entry when the immutable part is empty.
void put_immutable(WriteBatch& batch, const std::string& key, const std::string& immutable);
/// Drops the entry when the chunk is empty.
void put_chunk(WriteBatch& batch, const std::string& key, std::uint64_t number, const std::string& bytes);
void drop_chunks(WriteBatch& batch, const std::string& key, const Register& value);
void drop_register(WriteBatch& batch, const std::string& key, const Register& value);

/// A name on the disk, taken apart.
struct EntryName {
    enum class Kind { head, immutable, chunk, other } kind = Kind::other;
    std::string key;
    std::uint64_t chunk_number = 0;
};
EntryName parse_entry_name(std::string_view name);

}  // namespace calicostall
