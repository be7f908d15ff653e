// Decodes what CborWriter wrote, item by item without a tree in between. Anything else is refused: the reader then
// stays invalid, and what it has read so far is not to be used.
#pragma once
#include "common.hpp"
#include "shared/wire/cbor_item.hpp"
#include "shared/wire/frame.hpp"

namespace calicostall {

// Example: CborReader reader(bytes); std::uint64_t number = 0; reader.read(number);
//          if (reader.is_valid() && reader.is_finished()) use(number);
class CborReader {
public:
    // `bytes` must outlive the reader.
    explicit CborReader(std::string_view bytes) : remaining_(bytes) {}

    // Whether all that was read so far was of the kind that was expected.
    bool is_valid() const { return is_valid_; }
    // Whether nothing is left to be read.
    bool is_finished() const { return remaining_.empty(); }

    // Reads one value; does nothing once the reader is invalid. Numbers are not checked against the range of `T`.
    template <class T>
    void read(T& value) {
        if (!is_valid_) return;
        if constexpr (std::is_same_v<T, bool>) {
            if (expect(CborItem::Kind::boolean)) value = item_.number != 0;
        } else if constexpr (std::is_enum_v<T>) {
            std::int64_t number = 0;
            read(number);
            value = static_cast<T>(number);
        } else if constexpr (std::is_integral_v<T>) {
            read_integer(value);
        } else {
            read_composite(value);
        }
    }

private:
    // More items than these are not reserved ahead: the count comes from outside.
    static constexpr std::uint64_t max_reserved_items = 4096;

    // Reads the fields of a frame one by one and counts how many of the array are still to come.
    struct FieldVisitor {
        CborReader& reader;
        std::uint64_t remaining;
        template <class T>
        void operator()(T& value) {
            if (remaining == 0) {
                reader.is_valid_ = false;
                return;
            }
            --remaining;
            reader.read(value);
        }
    };

    // Decodes the next item into `item_`.
    void decode_next();
    // The same; true when it is of this kind, else the reader becomes invalid.
    bool expect(CborItem::Kind kind);
    // Expects an array whose items may all be there: each takes a byte at least.
    bool expect_array();
    void skip_items(std::uint64_t count);
    void read_composite(std::string& bytes);

    template <class T>
    void read_integer(T& value) {
        decode_next();
        if (!is_valid_) return;
        if (item_.kind == CborItem::Kind::unsigned_integer)
            value = static_cast<T>(item_.number);
        else if (item_.kind == CborItem::Kind::negative_integer)
            value = static_cast<T>(-std::int64_t(item_.number) - 1);
        else
            is_valid_ = false;
    }
    template <class Tag, class Number>
    void read_composite(Strong<Tag, Number>& strong) {
        read(strong.value);
    }
    template <class T>
    void read_composite(std::vector<T>& list) {
        list.clear();
        if (!expect_array()) return;
        const std::uint64_t count = item_.number;
        list.reserve(std::min(count, max_reserved_items));
        for (std::uint64_t index = 0; is_valid_ && index < count; ++index) {
            T value{};
            read(value);
            list.push_back(std::move(value));
        }
    }
    template <class Key, class T>
    void read_composite(std::map<Key, T>& table) {
        table.clear();
        if (!expect_array()) return;
        if (item_.number % 2 != 0) {
            is_valid_ = false;
            return;
        }
        for (std::uint64_t count = item_.number / 2; is_valid_ && count > 0; --count) {
            Key key{};
            read(key);
            read(table[key]);
        }
    }
    template <class T>
    void read_composite(std::optional<T>& optional) {
        optional.reset();
        if (!expect(CborItem::Kind::array) || item_.number > 1) {
            is_valid_ = false;
            return;
        }
        if (item_.number == 1) read(optional.emplace());
    }
    template <Frame T>
    void read_composite(T& frame) {
        if (!expect(CborItem::Kind::array)) return;
        FieldVisitor visitor{*this, item_.number};
        frame.describe(visitor);
        // Fields that a later version added at the end.
        skip_items(visitor.remaining);
    }

    std::string_view remaining_;
    CborItem item_;
    bool is_valid_ = true;
};

}  // namespace calicostall
