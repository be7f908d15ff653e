// Frames as the project's own processes send and store them: the version of the format, then the frame.
#pragma once
#include "common.hpp"
#include "shared/wire/cbor_reader.hpp"
#include "shared/wire/cbor_writer.hpp"

namespace calicostall {

// Every encoded frame begins with this number; bytes that begin with another one are refused.
constexpr std::uint64_t frame_format_version = 1;

// Example: std::string bytes = encode(WatchRequest{...});
template <class T>
std::string encode(const T& frame) {
    CborWriter writer;
    writer.put(frame_format_version);
    writer.put(frame);
    return writer.take_bytes();
}

// Returns nothing unless `bytes` are exactly one frame of this version.
// Example: std::optional<WatchRequest> request = decode<WatchRequest>(body); if (!request) refuse();
template <class T>
std::optional<T> decode(std::string_view bytes) {
    CborReader reader(bytes);
    std::uint64_t version = 0;
    reader.read(version);
    if (!reader.is_valid() || version != frame_format_version) return std::nullopt;
    std::optional<T> frame(std::in_place);
    reader.read(*frame);
    if (!reader.is_valid() || !reader.is_finished()) return std::nullopt;
    return frame;
}

}  // namespace calicostall
