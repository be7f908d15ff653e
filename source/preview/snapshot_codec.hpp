// The encoding of snapshots: three CBOR items, the magic text, the number of the format and the snapshot's fields.
#pragma once
#include "preview/snapshot.hpp"

namespace calicostall {

// The number of the format; a change of any field of a snapshot needs a new one.
constexpr std::uint64_t snapshot_format = 1;
// What an encoded snapshot begins with.
inline const std::string snapshot_magic = "calicostall snapshot";

// The same snapshot gives the same bytes.
// Example: std::string bytes = encode_snapshot(snapshot);
std::string encode_snapshot(const Snapshot& snapshot);

// Decodes a snapshot and validates all of it. Nothing if anything is wrong: each fault becomes a finding that begins
// with `name`. Findings that are there before count as faults too.
// Example: Findings findings; auto snapshot = decode_snapshot(bytes, "today.snapshot", findings);
std::optional<Snapshot> decode_snapshot(std::string_view bytes, const std::string& name, Findings& findings);

// An encoded snapshot as lines of a log, "NUMBER PART PARTS HEXADECIMAL", each short enough for log collectors.
// `number` tells the snapshots of a log apart: the wall-clock time of the snapshot.
// Example: for (const std::string& line : snapshot_log_lines(bytes, wall_clock)) log_line("snapshot", "{}", line);
std::vector<std::string> snapshot_log_lines(const std::string& bytes, Micros number, size_t max_bytes_a_line = 1500);

}  // namespace calicostall
