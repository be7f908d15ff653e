#include "control/store/write_batch.hpp"

#include "shared/wire/codec.hpp"

namespace calicostall {

namespace {

constexpr std::string_view head_prefix = "r/";
constexpr std::string_view immutable_prefix = "f/";
constexpr std::string_view chunk_prefix = "p/";

// The number of a chunk is the last eight bytes of its name on the disk.
constexpr size_t chunk_number_bytes = 8;

std::string entry_name(std::string_view prefix, const std::string& key) {
    return std::string(prefix) + key;
}

std::string chunk_entry_name(const std::string& key, std::uint64_t number) {
    std::string name = entry_name(chunk_prefix, key);
    for (int shift = 56; shift >= 0; shift -= 8)
        name += char(number >> shift);
    return name;
}

std::uint64_t parse_chunk_number(std::string_view bytes) {
    std::uint64_t number = 0;
    for (char byte : bytes)
        number = number << 8 | std::uint8_t(byte);
    return number;
}

}  // namespace

void put_head(WriteBatch& batch, const std::string& key, const Register& value, Term adoption_stamp) {
    const RegisterHead head{value.term, adoption_stamp, value.version, value.head};
    batch.put(entry_name(head_prefix, key), encode(head));
}

void put_immutable(WriteBatch& batch, const std::string& key, const std::string& immutable) {
    if (immutable.empty())
        batch.drop(entry_name(immutable_prefix, key));
    else
        batch.put(entry_name(immutable_prefix, key), immutable);
}

void put_chunk(WriteBatch& batch, const std::string& key, std::uint64_t number, const std::string& bytes) {
    if (bytes.empty())
        batch.drop(chunk_entry_name(key, number));
    else
        batch.put(chunk_entry_name(key, number), bytes);
}

void drop_chunks(WriteBatch& batch, const std::string& key, const Register& value) {
    for (const auto& [number, bytes] : value.chunks)
        batch.drop(chunk_entry_name(key, number));
}

void drop_register(WriteBatch& batch, const std::string& key, const Register& value) {
    batch.drop(entry_name(head_prefix, key));
    batch.drop(entry_name(immutable_prefix, key));
    drop_chunks(batch, key, value);
}

EntryName parse_entry_name(std::string_view name) {
    const std::string_view key = name.substr(std::min(head_prefix.size(), name.size()));
    if (name.starts_with(head_prefix)) return {EntryName::Kind::head, std::string(key)};
    if (name.starts_with(immutable_prefix)) return {EntryName::Kind::immutable, std::string(key)};
    if (!name.starts_with(chunk_prefix) || key.size() <= chunk_number_bytes) return {};
    const size_t key_bytes = key.size() - chunk_number_bytes;
    return {EntryName::Kind::chunk, std::string(key.substr(0, key_bytes)), parse_chunk_number(key.substr(key_bytes))};
}

}  // namespace calicostall
