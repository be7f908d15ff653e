#include "shared/wire/cbor_writer.hpp"

#include <cbor.h>

namespace calicostall {

namespace {

// The longest head of an item: one byte for its kind, eight for a number.
constexpr size_t max_head_bytes = 9;

// Appends what `encode(buffer, size)`, one of libcbor's functions, writes as the head of an item.
template <class Encode>
void append_head(std::string& bytes, Encode encode) {
    unsigned char buffer[max_head_bytes];
    const size_t used = encode(buffer, sizeof buffer);
    bytes.append(reinterpret_cast<const char*>(buffer), used);
}

}  // namespace

void CborWriter::put_boolean(bool value) {
    append_head(bytes_, [value](unsigned char* buffer, size_t size) { return cbor_encode_bool(value, buffer, size); });
}

void CborWriter::put_unsigned(std::uint64_t value) {
    append_head(bytes_, [value](unsigned char* buffer, size_t size) { return cbor_encode_uint(value, buffer, size); });
}

void CborWriter::put_signed(std::int64_t value) {
    if (value >= 0) return put_unsigned(std::uint64_t(value));
    const auto magnitude = std::uint64_t(-(value + 1));
    append_head(bytes_, [magnitude](unsigned char* buffer, size_t size) {
        return cbor_encode_negint(magnitude, buffer, size);
    });
}

void CborWriter::put_array_start(size_t count) {
    append_head(bytes_,
                [count](unsigned char* buffer, size_t size) { return cbor_encode_array_start(count, buffer, size); });
}

void CborWriter::put_composite(const std::string& bytes) {
    append_head(bytes_, [&bytes](unsigned char* buffer, size_t size) {
        return cbor_encode_bytestring_start(bytes.size(), buffer, size);
    });
    bytes_ += bytes;
}

}  // namespace calicostall
