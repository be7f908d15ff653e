// Encodes values as CBOR (RFC 8949) by libcbor, without a tree in between.
//
//   bool                  simple value
//   integer, enum         unsigned or negative integer
//   std::string           byte string
//   Strong                its number
//   std::vector           array
//   std::map              array of alternating keys and values
//   std::optional         array of no item or one
//   frame                 array of its fields, see frame.hpp
#pragma once
#include "common.hpp"
#include "shared/wire/frame.hpp"

namespace calicostall {

// Example: CborWriter writer; writer.put(std::uint64_t(7)); std::string bytes = writer.take_bytes();
class CborWriter {
public:
    // Appends one value.
    template <class T>
    void put(const T& value) {
        if constexpr (std::is_same_v<T, bool>)
            put_boolean(value);
        else if constexpr (std::is_enum_v<T>)
            put_signed(static_cast<std::int64_t>(value));
        else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>)
            put_signed(value);
        else if constexpr (std::is_integral_v<T>)
            put_unsigned(value);
        else
            put_composite(value);
    }

    // The same, as the visitor of a frame's fields.
    template <class T>
    void operator()(const T& value) {
        put(value);
    }

    // All that was put so far, which this writer then no longer has.
    std::string take_bytes() { return std::move(bytes_); }

private:
    void put_boolean(bool value);
    void put_unsigned(std::uint64_t value);
    void put_signed(std::int64_t value);
    void put_array_start(size_t count);
    void put_composite(const std::string& bytes);

    template <class Tag, class Number>
    void put_composite(const Strong<Tag, Number>& strong) {
        put(strong.value);
    }
    template <class T>
    void put_composite(const std::vector<T>& list) {
        put_array_start(list.size());
        for (const T& value : list)
            put(value);
    }
    template <class Key, class T>
    void put_composite(const std::map<Key, T>& table) {
        put_array_start(table.size() * 2);
        for (const auto& [key, value] : table) {
            put(key);
            put(value);
        }
    }
    template <class T>
    void put_composite(const std::optional<T>& optional) {
        put_array_start(optional ? 1 : 0);
        if (optional) put(*optional);
    }
    // `describe` serves writers and readers, so it isn't const; a writer changes nothing by it.
    template <Frame T>
    void put_composite(const T& frame) {
        size_t count = 0;
        auto count_field = [&count](const auto&) { ++count; };
        const_cast<T&>(frame).describe(count_field);
        put_array_start(count);
        const_cast<T&>(frame).describe(*this);
    }

    std::string bytes_;
};

}  // namespace calicostall
