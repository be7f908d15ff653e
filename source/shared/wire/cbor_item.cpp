#include "shared/wire/cbor_item.hpp"

#include <cbor.h>

namespace calicostall {

namespace {

using Kind = CborItem::Kind;

// libcbor reports each item to one callback per encoded form; `item` is the CborItem to be filled in.
template <class Number>
void on_unsigned(void* item, Number number) {
    *static_cast<CborItem*>(item) = {Kind::unsigned_integer, number, {}};
}

template <class Number>
void on_negative(void* item, Number number) {
    *static_cast<CborItem*>(item) = {Kind::negative_integer, number, {}};
}

void on_boolean(void* item, bool boolean) {
    *static_cast<CborItem*>(item) = {Kind::boolean, boolean, {}};
}

template <class Count>
void on_array_start(void* item, Count count) {
    *static_cast<CborItem*>(item) = {Kind::array, count, {}};
}

template <class Size>
void on_byte_string(void* item, cbor_data data, Size size) {
    *static_cast<CborItem*>(item) = {Kind::byte_string, 0, {reinterpret_cast<const char*>(data), size_t(size)}};
}

// Forms without a callback here (text strings, maps, tags, floats) stay Kind::other.
cbor_callbacks make_callbacks() {
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = &on_unsigned;
    callbacks.uint16 = &on_unsigned;
    callbacks.uint32 = &on_unsigned;
    callbacks.uint64 = &on_unsigned;
    callbacks.negint8 = &on_negative;
    callbacks.negint16 = &on_negative;
    callbacks.negint32 = &on_negative;
    callbacks.negint64 = &on_negative;
    callbacks.byte_string = &on_byte_string;
    callbacks.array_start = &on_array_start;
    callbacks.boolean = &on_boolean;
    return callbacks;
}

}  // namespace

std::optional<CborItem> decode_item(std::string_view& bytes) {
    static const cbor_callbacks callbacks = make_callbacks();
    CborItem item;
    const cbor_decoder_result result =
        cbor_stream_decode(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), &callbacks, &item);
    if (result.status != CBOR_DECODER_FINISHED) return std::nullopt;
    bytes.remove_prefix(result.read);
    return item;
}

}  // namespace calicostall
