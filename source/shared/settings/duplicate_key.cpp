#include "shared/settings/duplicate_key.hpp"

#include <boost/json/basic_parser_impl.hpp>

namespace calicostall {

namespace {

using ParseError = boost::system::error_code;
using TextPart = boost::json::string_view;

/// Keeps the keys of every object that is open and stops the parser at the first key that comes twice.
struct KeyHandler {
    static constexpr std::size_t max_object_size = std::size_t(-1), max_array_size = std::size_t(-1);
    static constexpr std::size_t max_key_size = std::size_t(-1), max_string_size = std::size_t(-1);

    std::vector<std::set<std::string>> open_objects;
    std::string key;  // the parts of a key that have come so far
    std::optional<std::string> duplicate;

    bool on_document_begin(ParseError&) { return true; }
    bool on_document_end(ParseError&) { return true; }
    bool on_object_begin(ParseError&) {
        open_objects.emplace_back();
        return true;
    }
    bool on_object_end(std::size_t, ParseError&) {
        open_objects.pop_back();
        return true;
    }
    bool on_array_begin(ParseError&) { return true; }
    bool on_array_end(std::size_t, ParseError&) { return true; }
    bool on_key_part(TextPart part, std::size_t, ParseError&) {
        key.append(part.data(), part.size());
        return true;
    }
    bool on_key(TextPart last, std::size_t, ParseError& error) {
        key.append(last.data(), last.size());
        const bool is_new = open_objects.back().insert(key).second;
        if (!is_new) {
            duplicate = key;
            error = boost::system::errc::make_error_code(boost::system::errc::invalid_argument);
        }
        key.clear();
        return is_new;
    }
    bool on_string_part(TextPart, std::size_t, ParseError&) { return true; }
    bool on_string(TextPart, std::size_t, ParseError&) { return true; }
    bool on_number_part(TextPart, ParseError&) { return true; }
    bool on_int64(std::int64_t, TextPart, ParseError&) { return true; }
    bool on_uint64(std::uint64_t, TextPart, ParseError&) { return true; }
    bool on_double(double, TextPart, ParseError&) { return true; }
    bool on_bool(bool, ParseError&) { return true; }
    bool on_null(ParseError&) { return true; }
    bool on_comment_part(TextPart, ParseError&) { return true; }
    bool on_comment(TextPart, ParseError&) { return true; }
};

}  // namespace

std::optional<std::string> duplicate_key(std::string_view text) {
    boost::json::basic_parser<KeyHandler> parser{boost::json::parse_options{}};
    ParseError error;
    parser.write_some(false, text.data(), text.size(), error);
    return std::move(parser.handler().duplicate);
}

}  // namespace calicostall
