#include "preview/snapshot_codec.hpp"

#include <cbor.h>

#include <boost/algorithm/hex.hpp>

#include "preview/snapshot_validation.hpp"

namespace calicostall {

namespace {

struct ReleaseItem {
    void operator()(cbor_item_t* item) const { cbor_decref(&item); }
};
using CborItem = std::unique_ptr<cbor_item_t, ReleaseItem>;

// Decodes the items of one snapshot, one after the other.
class SnapshotDecoder {
public:
    SnapshotDecoder(std::string_view bytes, const std::string& name, Findings& findings)
        : bytes_(bytes), name_(name), findings_(findings) {}

    std::optional<Snapshot> decode() {
        if (!decode_magic() || !decode_format()) return std::nullopt;
        return decode_body();
    }

private:
    bool decode_magic() {
        const CborItem item = next_item();
        if (!item) return false;
        if (cbor_isa_bytestring(item.get()) && text_of(*item) == snapshot_magic) return true;
        add_finding(0, "is no snapshot");
        return false;
    }

    bool decode_format() {
        const size_t begin = position_;
        const CborItem item = next_item();
        if (!item) return false;
        const bool is_number = cbor_isa_uint(item.get());
        if (is_number && cbor_get_int(item.get()) == snapshot_format) return true;
        add_finding(begin,
                    fmt::format("is of format {}, this program reads format {}",
                                is_number ? fmt::format("{}", cbor_get_int(item.get())) : "unknown", snapshot_format));
        return false;
    }

    std::optional<Snapshot> decode_body() {
        const size_t begin = position_;
        if (!next_item()) return std::nullopt;
        CborReader reader(bytes_.substr(begin, position_ - begin));
        Snapshot snapshot;
        reader.read(snapshot);
        if (!reader.is_valid()) add_finding(begin, fmt::format("has other fields than format {}", snapshot_format));
        if (position_ != bytes_.size())
            add_finding(position_, fmt::format("{} bytes too many", bytes_.size() - position_));
        if (reader.is_valid()) validate(snapshot);
        return snapshot;
    }

    void validate(const Snapshot& snapshot) {
        Findings inner;
        validate_snapshot(snapshot, inner);
        for (const Finding& finding : inner.list())
            findings_.add(name_ + ":" + finding.location, finding.text);
    }

    CborItem next_item() {
        const std::string_view rest = bytes_.substr(position_);
        cbor_load_result result{};
        CborItem item(cbor_load(reinterpret_cast<const unsigned char*>(rest.data()), rest.size(), &result));
        const bool is_cut = result.error.code == CBOR_ERR_NOTENOUGHDATA || result.error.code == CBOR_ERR_NODATA;
        if (!item) add_finding(position_ + result.error.position, is_cut ? "is cut short" : "is no snapshot");
        position_ += result.read;
        return item;
    }

    static std::string_view text_of(cbor_item_t& item) {
        return {reinterpret_cast<char*>(cbor_bytestring_handle(&item)), cbor_bytestring_length(&item)};
    }

    void add_finding(size_t position, std::string text) {
        findings_.add(fmt::format("{}:byte {}", name_, position), std::move(text));
    }

    std::string_view bytes_;
    const std::string& name_;
    Findings& findings_;
    size_t position_ = 0;  // of the next item
};

}  // namespace

std::string encode_snapshot(const Snapshot& snapshot) {
    CborWriter writer;
    writer.put(snapshot_magic);
    writer.put(snapshot_format);
    writer.put(snapshot);
    return writer.take_bytes();
}

std::optional<Snapshot> decode_snapshot(std::string_view bytes, const std::string& name, Findings& findings) {
    std::optional<Snapshot> snapshot = SnapshotDecoder(bytes, name, findings).decode();
    if (!findings.empty()) return std::nullopt;
    return snapshot;
}

std::vector<std::string> snapshot_log_lines(const std::string& bytes, Micros number, size_t max_bytes_a_line) {
    std::vector<std::string> lines;
    const size_t parts = (bytes.size() + max_bytes_a_line - 1) / max_bytes_a_line;
    for (size_t part = 0; part < parts; ++part) {
        const std::string chunk = bytes.substr(part * max_bytes_a_line, max_bytes_a_line);
        lines.push_back(fmt::format("{} {} {} {}", number, part, parts, boost::algorithm::hex(chunk)));
    }
    return lines;
}

}  // namespace calicostall
