// Frames between the project's own processes: arrays of fields in libcbor's encoding.
#pragma once
#include <cbor.h>

#include "common.hpp"

namespace calicostall {

// A struct takes part by listing its fields once:
//   struct Point { int x, y; template <class Visitor> void describe(Visitor& visit) { visit(x), visit(y); } };
template <class T>
concept Described = requires(T value, void (*ignore)(int)) {
    value.describe(ignore);
}
|| requires {
    typename T::IsFrame;
};

class CborWriter {
public:
    std::string bytes;

    template <class T>
    void operator()(const T& value) {
        put(value);
    }

    template <class T>
    void put(const T& value) {
        if constexpr (std::is_same_v<T, bool>) {
            head([&](unsigned char* room, size_t size) { return cbor_encode_bool(value, room, size); });
        } else if constexpr (std::is_enum_v<T>) {
            put(static_cast<std::int64_t>(value));
        } else if constexpr (std::is_integral_v<T>) {
            if (std::int64_t(value) < 0 && std::is_signed_v<T>)
                head([&](unsigned char* room, size_t size) {
                    return cbor_encode_negint(std::uint64_t(-(std::int64_t(value) + 1)), room, size);
                });
            else
                head([&](unsigned char* room, size_t size) {
                    return cbor_encode_uint(std::uint64_t(value), room, size);
                });
        } else {
            put_whole(value);
        }
    }

private:
    template <class Encode>
    void head(Encode encode) {
        unsigned char room[16];
        size_t used = encode(room, sizeof room);
        bytes.append(reinterpret_cast<char*>(room), used);
    }
    void array(size_t count) {
        head([&](unsigned char* room, size_t size) { return cbor_encode_array_start(count, room, size); });
    }
    void put_whole(const std::string& text) {
        head([&](unsigned char* room, size_t size) { return cbor_encode_bytestring_start(text.size(), room, size); });
        bytes += text;
    }
    template <class Tag, class Number>
    void put_whole(const Strong<Tag, Number>& strong) {
        put(strong.value);
    }
    template <class T>
    void put_whole(const std::vector<T>& list) {
        array(list.size());
        for (const T& value : list)
            put(value);
    }
    template <class Key, class T>
    void put_whole(const std::map<Key, T>& table) {
        array(table.size() * 2);
        for (const auto& [key, value] : table)
            put(key), put(value);
    }
    template <class T>
    void put_whole(const std::optional<T>& maybe) {
        array(maybe ? 1 : 0);
        if (maybe) put(*maybe);
    }
    template <class T>
    requires requires { typename T::IsFrame; }
    void put_whole(const T& frame) {
        size_t count = 0;
        auto counting = [&](const auto&) { ++count; };
        const_cast<T&>(frame).describe(counting);
        array(count);
        const_cast<T&>(frame).describe(*this);
    }
};

// Reads what CborWriter wrote, item by item without a tree between; anything else is refused as a whole.
class CborReader {
public:
    explicit CborReader(std::string_view bytes) : left_(bytes) {}
    bool sound = true;
    bool finished() const { return left_.empty(); }

    template <class T>
    void read(T& value) {
        if (!sound) return;
        if constexpr (std::is_same_v<T, bool>) {
            if (take(Item::Kind::flag)) value = item_.number != 0;
        } else if constexpr (std::is_enum_v<T>) {
            std::int64_t number = 0;
            read(number);
            value = static_cast<T>(number);
        } else if constexpr (std::is_integral_v<T>) {
            next();
            if (!sound) return;
            if (item_.kind == Item::Kind::whole)
                value = static_cast<T>(item_.number);
            else if (item_.kind == Item::Kind::negative)
                value = static_cast<T>(-std::int64_t(item_.number) - 1);
            else
                sound = false;
        } else {
            read_whole(value);
        }
    }

private:
    struct Item {
        enum class Kind { other, whole, negative, flag, bytes, array } kind = Kind::other;
        std::uint64_t number = 0;  // the value, or the count of an array's items
        std::string_view bytes;
    };
    struct Fields {
        CborReader& reader;
        std::uint64_t left;
        template <class T>
        void operator()(T& value) {
            if (left == 0)
                reader.sound = false;
            else
                --left, reader.read(value);
        }
    };
    template <class Number>
    static void take_whole(void* into, Number number) {
        *static_cast<Item*>(into) = {Item::Kind::whole, number, {}};
    }
    template <class Number>
    static void take_negative(void* into, Number number) {
        *static_cast<Item*>(into) = {Item::Kind::negative, number, {}};
    }
    static void take_flag(void* into, bool flag) { *static_cast<Item*>(into) = {Item::Kind::flag, flag, {}}; }
    template <class Count>
    static void take_array(void* into, Count count) {
        *static_cast<Item*>(into) = {Item::Kind::array, count, {}};
    }
    template <class Size>
    static void take_bytes(void* into, cbor_data data, Size size) {
        *static_cast<Item*>(into) = {Item::Kind::bytes, 0, {reinterpret_cast<const char*>(data), size_t(size)}};
    }
    static const cbor_callbacks& callbacks() {
        static const cbor_callbacks table = [] {
            cbor_callbacks made = cbor_empty_callbacks;
            made.uint8 = &take_whole, made.uint16 = &take_whole, made.uint32 = &take_whole, made.uint64 = &take_whole;
            made.negint8 = &take_negative, made.negint16 = &take_negative, made.negint32 = &take_negative,
            made.negint64 = &take_negative;
            made.byte_string = &take_bytes, made.array_start = &take_array, made.boolean = &take_flag;
            return made;
        }();
        return table;
    }
    void next() {
        item_ = {};
        cbor_decoder_result result = cbor_stream_decode(reinterpret_cast<const unsigned char*>(left_.data()),
                                                        left_.size(), &callbacks(), &item_);
        if (result.status != CBOR_DECODER_FINISHED)
            sound = false;
        else
            left_.remove_prefix(result.read);
    }
    bool take(Item::Kind kind) {
        if (sound) next();
        if (item_.kind != kind) sound = false;
        return sound;
    }
    void read_whole(std::string& text) {
        if (take(Item::Kind::bytes)) text = item_.bytes;
    }
    template <class Tag, class Number>
    void read_whole(Strong<Tag, Number>& strong) {
        read(strong.value);
    }
    template <class T>
    void read_whole(std::vector<T>& list) {
        list.clear();
        // Each item takes a byte at least: a count beyond what is left is no list.
        if (!take(Item::Kind::array) || item_.number > left_.size()) {
            sound = false;
            return;
        }
        std::uint64_t count = item_.number;
        list.reserve(std::min<std::uint64_t>(count, 4096));
        for (std::uint64_t place = 0; sound && place < count; ++place) {
            T value{};
            read(value);
            list.push_back(std::move(value));
        }
    }
    template <class Key, class T>
    void read_whole(std::map<Key, T>& table) {
        table.clear();
        if (!take(Item::Kind::array) || item_.number > left_.size() || item_.number % 2) {
            sound = false;
            return;
        }
        for (std::uint64_t count = item_.number / 2; sound && count > 0; --count) {
            Key key{};
            read(key);
            read(table[key]);
        }
    }
    template <class T>
    void read_whole(std::optional<T>& maybe) {
        maybe.reset();
        if (!take(Item::Kind::array) || item_.number > 1) {
            sound = false;
            return;
        }
        if (item_.number == 1) read(maybe.emplace());
    }
    template <class T>
    requires requires { typename T::IsFrame; }
    void read_whole(T& frame) {
        if (!take(Item::Kind::array)) return;
        Fields fields{*this, item_.number};
        frame.describe(fields);
        // Fields that a later version added at the end are passed over.
        for (std::uint64_t owed = fields.left; sound && owed > 0; --owed) {
            next();
            if (item_.kind == Item::Kind::other || (item_.kind == Item::Kind::array && item_.number > left_.size()))
                sound = false;
            if (item_.kind == Item::Kind::array) owed += item_.number;
        }
    }

    std::string_view left_;
    Item item_;
};

// Every frame begins with the version of the format; another version is refused.
constexpr std::uint64_t frame_format = 1;

// Example: std::string bytes = pack(NewsAsk{...});
template <class T>
std::string pack(const T& frame) {
    CborWriter writer;
    writer.put(frame_format);
    writer.put(frame);
    return std::move(writer.bytes);
}

// Example: std::optional<NewsAsk> ask = unpack<NewsAsk>(body); if (!ask) refuse();
template <class T>
std::optional<T> unpack(std::string_view bytes) {
    CborReader reader(bytes);
    std::uint64_t format = 0;
    reader.read(format);
    if (!reader.sound || format != frame_format) return std::nullopt;
    std::optional<T> frame(std::in_place);
    reader.read(*frame);
    if (!reader.sound || !reader.finished()) return std::nullopt;
    return frame;
}

}  // namespace calicostall
