#include "shared/wire/cbor_reader.hpp"

namespace calicostall {

void CborReader::decode_next() {
    const std::optional<CborItem> item = decode_item(remaining_);
    item_ = item.value_or(CborItem{});
    if (!item) is_valid_ = false;
}

bool CborReader::expect(CborItem::Kind kind) {
    if (is_valid_) decode_next();
    if (item_.kind != kind) is_valid_ = false;
    return is_valid_;
}

bool CborReader::expect_array() {
    if (!expect(CborItem::Kind::array) || item_.number > remaining_.size()) is_valid_ = false;
    return is_valid_;
}

void CborReader::skip_items(std::uint64_t count) {
    for (; is_valid_ && count > 0; --count) {
        decode_next();
        const bool is_array = item_.kind == CborItem::Kind::array;
        if (item_.kind == CborItem::Kind::other || (is_array && item_.number > remaining_.size())) is_valid_ = false;
        if (is_array) count += item_.number;
    }
}

void CborReader::read_composite(std::string& bytes) {
    if (expect(CborItem::Kind::byte_string)) bytes = item_.bytes;
}

}  // namespace calicostall
