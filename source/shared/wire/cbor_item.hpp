// One item of a CBOR text (RFC 8949) and its decoding by libcbor.
#pragma once
#include "common.hpp"

namespace calicostall {

// The head of an item: a number, a boolean, a byte string as a whole, or the beginning of an array.
struct CborItem {
    enum class Kind { other, unsigned_integer, negative_integer, boolean, byte_string, array };
    Kind kind = Kind::other;
    std::uint64_t number = 0;  // the value (of a negative integer: -1 - value), or the count of an array's items
    std::string_view bytes;    // of a byte string; a view into the decoded text
};

// Decodes the first item of `bytes` and removes it from them.
// Returns nothing, and leaves `bytes` as they are, where they don't begin with a complete item.
// Example: std::string_view bytes = "\x05"; decode_item(bytes)->number == 5 && bytes.empty()
std::optional<CborItem> decode_item(std::string_view& bytes);

}  // namespace calicostall
