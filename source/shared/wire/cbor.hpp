// Frames between the project's own processes: arrays of fields in libcbor's encoding.
#pragma once
#include <cbor.h>

#include "common.hpp"

namespace calicostall {

// A struct takes part by listing its fields once:
//   struct Point { int x, y; template <class Visitor> void describe(Visitor& visit) { visit(x), visit(y); } };
template <class T>
concept Described = requires(T value, void (*ignore)(int)) { value.describe(ignore); } || requires { typename T::IsFrame; };

class CborWriter {
public:
    std::string bytes;

    template <class T>
    void operator()(const T& value) { put(value); }

    template <class T>
    void put(const T& value) {
        if constexpr (std::is_same_v<T, bool>) {
            head([&](unsigned char* room, size_t size) { return cbor_encode_bool(value, room, size); });
        } else if constexpr (std::is_enum_v<T>) {
            put(static_cast<std::int64_t>(value));
        } else if constexpr (std::is_integral_v<T>) {
            if (std::int64_t(value) < 0 && std::is_signed_v<T>)
                head([&](unsigned char* room, size_t size) { return cbor_encode_negint(std::uint64_t(-(std::int64_t(value) + 1)), room, size); });
            else
                head([&](unsigned char* room, size_t size) { return cbor_encode_uint(std::uint64_t(value), room, size); });
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
    void put_whole(const Strong<Tag, Number>& strong) { put(strong.value); }
    template <class T>
    void put_whole(const std::vector<T>& list) {
        array(list.size());
        for (const T& value : list) put(value);
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

// Reads what CborWriter wrote; anything else is refused as a whole.
class CborReader {
public:
    bool sound = true;

    template <class T>
    void read(const cbor_item_t* item, T& value) {
        if (!sound) return;
        if constexpr (std::is_same_v<T, bool>) {
            if (cbor_isa_float_ctrl(item) && cbor_is_bool(item)) value = cbor_get_bool(item);
            else sound = false;
        } else if constexpr (std::is_enum_v<T>) {
            std::int64_t number = 0;
            read(item, number);
            value = static_cast<T>(number);
        } else if constexpr (std::is_integral_v<T>) {
            if (cbor_isa_uint(item)) value = static_cast<T>(cbor_get_int(item));
            else if (cbor_isa_negint(item)) value = static_cast<T>(-std::int64_t(cbor_get_int(item)) - 1);
            else sound = false;
        } else {
            read_whole(item, value);
        }
    }

private:
    struct Fields {
        CborReader& reader;
        cbor_item_t** items;
        size_t count, next = 0;
        template <class T>
        void operator()(T& value) {
            if (next >= count) reader.sound = false;
            else reader.read(items[next++], value);
        }
    };
    void read_whole(const cbor_item_t* item, std::string& text) {
        if (!cbor_isa_bytestring(item) || !cbor_bytestring_is_definite(item)) { sound = false; return; }
        text.assign(reinterpret_cast<const char*>(cbor_bytestring_handle(item)), cbor_bytestring_length(item));
    }
    template <class Tag, class Number>
    void read_whole(const cbor_item_t* item, Strong<Tag, Number>& strong) { read(item, strong.value); }
    template <class T>
    void read_whole(const cbor_item_t* item, std::vector<T>& list) {
        if (!cbor_isa_array(item)) { sound = false; return; }
        list.clear();
        list.resize(cbor_array_size(item));
        for (size_t place = 0; place < list.size(); ++place) {
            if constexpr (std::is_same_v<T, bool>) {
                bool value = false;
                read(cbor_array_handle(item)[place], value);
                list[place] = value;
            } else {
                read(cbor_array_handle(item)[place], list[place]);
            }
        }
    }
    template <class T>
    void read_whole(const cbor_item_t* item, std::optional<T>& maybe) {
        if (!cbor_isa_array(item) || cbor_array_size(item) > 1) { sound = false; return; }
        maybe.reset();
        if (cbor_array_size(item) == 1) read(cbor_array_handle(item)[0], maybe.emplace());
    }
    template <class T>
        requires requires { typename T::IsFrame; }
    void read_whole(const cbor_item_t* item, T& frame) {
        if (!cbor_isa_array(item)) { sound = false; return; }
        Fields fields{*this, cbor_array_handle(item), cbor_array_size(item)};
        frame.describe(fields);
    }
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
    cbor_load_result first{}, second{};
    const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
    cbor_item_t* format = cbor_load(data, bytes.size(), &first);
    if (!format) return std::nullopt;
    bool known = cbor_isa_uint(format) && cbor_get_int(format) == frame_format;
    cbor_decref(&format);
    if (!known) return std::nullopt;
    cbor_item_t* item = cbor_load(data + first.read, bytes.size() - first.read, &second);
    if (!item) return std::nullopt;
    CborReader reader;
    std::optional<T> frame(std::in_place);
    reader.read(item, *frame);
    cbor_decref(&item);
    if (!reader.sound || first.read + second.read != bytes.size()) return std::nullopt;
    return frame;
}

}  // namespace calicostall
