// Reads the fields of one JSON object and notes what is missing or of another kind. Pure.
#pragma once
#include <boost/json.hpp>

#include "common.hpp"
#include "shared/diagnostics/finding.hpp"

namespace calicostall {

// A field whose value is null counts as there, but reads as if it were empty. What is wrong becomes a finding at the
// field's path, and the read returns what it would for a missing field.
// Example: FieldReader reader(object, "bounds", findings); Micros grace = reader.number("grace_s", 6) * 1e6;
class FieldReader {
public:
    // `location`: the path of the object itself, empty for the whole text. Object and findings outlive the reader.
    FieldReader(const boost::json::object& object, std::string location, Findings& findings);

    // A string, empty when missing.
    std::string text(std::string_view name, bool is_required);
    // A number that is not negative; required where there is no default value.
    double number(std::string_view name, std::optional<double> default_value);
    // A boolean; required where there is no default value.
    bool flag(std::string_view name, std::optional<bool> default_value);
    // An object or an array; null when missing.
    const boost::json::object* table(std::string_view name, bool is_required);
    const boost::json::array* list(std::string_view name, bool is_required);
    // Example: FieldReader(object, "limits", findings).path("max_fds") == "limits.max_fds"
    std::string path(std::string_view name) const;

private:
    const boost::json::value* find(std::string_view name, bool is_required);
    void add_finding(std::string_view name, const char* text);

    const boost::json::object& object_;
    std::string location_;
    Findings& findings_;
};

}  // namespace calicostall
