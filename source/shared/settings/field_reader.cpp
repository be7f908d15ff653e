#include "shared/settings/field_reader.hpp"

namespace calicostall {

FieldReader::FieldReader(const boost::json::object& object, std::string location, Findings& findings)
    : object_(object), location_(std::move(location)), findings_(findings) {}

std::string FieldReader::text(std::string_view name, bool is_required) {
    const auto* value = find(name, is_required);
    if (!value || value->is_null()) return {};
    if (value->is_string()) return std::string(value->as_string());
    add_finding(name, "must be a text");
    return {};
}

double FieldReader::number(std::string_view name, std::optional<double> default_value) {
    const auto* value = find(name, !default_value);
    if (!value || value->is_null()) return default_value.value_or(0);
    if (!value->is_number()) {
        add_finding(name, "must be a number");
        return default_value.value_or(0);
    }
    const auto number = value->to_number<double>();
    if (number < 0) add_finding(name, "must not be negative");
    return number;
}

bool FieldReader::flag(std::string_view name, std::optional<bool> default_value) {
    const auto* value = find(name, !default_value);
    if (!value || value->is_null()) return default_value.value_or(false);
    if (value->is_bool()) return value->as_bool();
    add_finding(name, "must be true or false");
    return default_value.value_or(false);
}

const boost::json::object* FieldReader::table(std::string_view name, bool is_required) {
    const auto* value = find(name, is_required);
    if (!value || value->is_null()) return nullptr;
    if (value->is_object()) return &value->as_object();
    add_finding(name, "must be a table");
    return nullptr;
}

const boost::json::array* FieldReader::list(std::string_view name, bool is_required) {
    const auto* value = find(name, is_required);
    if (!value || value->is_null()) return nullptr;
    if (value->is_array()) return &value->as_array();
    add_finding(name, "must be a list");
    return nullptr;
}

std::string FieldReader::path(std::string_view name) const {
    return location_.empty() ? std::string(name) : fmt::format("{}.{}", location_, name);
}

const boost::json::value* FieldReader::find(std::string_view name, bool is_required) {
    const auto* value = object_.if_contains(name);
    if (!value && is_required) add_finding(name, "is missing");
    return value;
}

void FieldReader::add_finding(std::string_view name, const char* text) {
    findings_.add(path(name), text);
}

}  // namespace calicostall
