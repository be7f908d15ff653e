#include "shared/settings/config.hpp"

#include <boost/json.hpp>
#include <cmath>

#include "shared/settings/duplicate_key.hpp"
#include "shared/settings/field_reader.hpp"

namespace calicostall {

namespace {

using boost::json::array;
using boost::json::object;

/// What a number may be; all ranges end far below what its field can hold.
struct NumberRange {
    double min = 0, max = 0;
    bool is_integer = false;
};
constexpr double exact_integer_limit = 9007199254740992.0;  // 2^53: below it every whole number has its own double
constexpr double duration_ms_max = 1e12;                    // about 31 years
constexpr double duration_ms_min = 0.001;                   // times are whole microseconds
constexpr NumberRange any_duration{0, duration_ms_max, false};
constexpr NumberRange timeout{duration_ms_min, duration_ms_max, false};
constexpr NumberRange byte_count{0, 1e12, true};
constexpr NumberRange priority{0, 1e9, true};
constexpr NumberRange attempts{0, 1e9, true};
constexpr NumberRange extension{0, 1e6, false};

/// Reads one text; every finding names the place of its field.
class ConfigReader {
public:
    explicit ConfigReader(Findings& findings) : findings_(findings) {}

    Config read(std::string_view text);

private:
    void read_fields(const object& document);
    std::uint64_t read_revision(const object& document);
    void read_services(const array& list);
    void read_service(const object& fields, const std::string& position);
    void read_routes(const array& list);
    void read_route(const object& fields, const std::string& position);
    void check_duplicate_route(const Queue& queue, const std::string& position);
    void read_limits(const object& fields);

    const object* object_at(const array& list, size_t index, const std::string& position);
    void require(const object& fields, const FieldReader& reader, std::initializer_list<std::string_view> names);
    double number(FieldReader& reader, std::string_view name, double default_value, NumberRange range);
    Micros duration(FieldReader& reader, std::string_view name, double default_ms, NumberRange range);

    Findings& findings_;
    Config config_;
    std::map<std::pair<std::string, std::string>, std::string> route_locations_;  // by host and prefix
};

Config ConfigReader::read(std::string_view text) {
    config_.text = std::string(text);
    boost::system::error_code error;
    boost::json::value document = boost::json::parse(text, error);
    if (error)
        findings_.add("configuration", "cannot be read as JSON: " + error.message());
    else if (!document.is_object())
        findings_.add("configuration", "must be a table");
    else
        read_fields(document.as_object());
    config_.index_hosts();
    return std::move(config_);
}

void ConfigReader::read_fields(const object& document) {
    FieldReader reader(document, "", findings_);
    config_.revision = read_revision(document);
    require(document, reader, {"services", "routes"});
    if (const array* services = reader.list("services", false)) read_services(*services);
    if (const array* routes = reader.list("routes", false)) read_routes(*routes);
    if (const object* limits = reader.table("limits", false)) read_limits(*limits);
}

/// The number of a configuration, exact over the whole range of 64 bits: two different numbers must never become one.
std::uint64_t ConfigReader::read_revision(const object& document) {
    const auto* value = document.if_contains("revision");
    if (!value) {
        findings_.add("revision", "is missing");
        return 0;
    }
    if (value->is_uint64()) return value->as_uint64();
    if (value->is_int64() && value->as_int64() >= 0) return std::uint64_t(value->as_int64());
    if (value->is_double()) {
        const double number = value->as_double();
        if (number >= 0 && number < exact_integer_limit && std::floor(number) == number) return std::uint64_t(number);
    }
    findings_.add("revision", "must be a whole number, not negative");
    return 0;
}

void ConfigReader::read_services(const array& list) {
    for (size_t index = 0; index < list.size(); ++index) {
        const std::string position = fmt::format("services[{}]", index);
        if (const object* fields = object_at(list, index, position)) read_service(*fields, position);
    }
}

void ConfigReader::read_service(const object& fields, const std::string& position) {
    FieldReader reader(fields, position, findings_);
    const std::string name = reader.text("name", true);
    const bool guards = reader.flag("guards", false);
    if (name.empty())
        findings_.add(position + ".name", "must not be empty");
    else if (!config_.services.emplace(name, guards).second)
        findings_.add(position + ".name", fmt::format("'{}' is there twice", name));
}

void ConfigReader::read_routes(const array& list) {
    for (size_t index = 0; index < list.size(); ++index) {
        const std::string position = fmt::format("routes[{}]", index);
        if (const object* fields = object_at(list, index, position)) read_route(*fields, position);
    }
}

void ConfigReader::read_route(const object& fields, const std::string& position) {
    FieldReader reader(fields, position, findings_);
    require(fields, reader, {"host", "path_prefix", "service"});
    Queue queue;
    queue.name = reader.text("name", false);
    queue.host = reader.text("host", false);
    queue.path_prefix = reader.text("path_prefix", false);
    queue.service = reader.text("service", false);
    if (fields.contains("timeout_ms")) require(fields, reader, {"timeout_ms"});
    queue.timeout = duration(reader, "timeout_ms", 3000, timeout);
    queue.target = duration(reader, "target_ms", 1000, any_duration);
    queue.priority = std::int64_t(number(reader, "priority", 0, priority));
    queue.max_attempts = std::uint32_t(std::max(1.0, number(reader, "max_attempts", 1, attempts)));
    queue.extension = number(reader, "extension", 1.5, extension);
    if (!config_.services.contains(queue.service))
        findings_.add(position + ".service", fmt::format("'{}' is unknown", queue.service));
    check_duplicate_route(queue, position);
    config_.queues.push_back(std::move(queue));
}

void ConfigReader::check_duplicate_route(const Queue& queue, const std::string& position) {
    auto [existing, is_new] = route_locations_.try_emplace({queue.host, queue.path_prefix}, position);
    if (!is_new) findings_.add(position, fmt::format("shares host and prefix with {}", existing->second));
}

void ConfigReader::read_limits(const object& fields) {
    FieldReader reader(fields, "limits", findings_);
    config_.max_header_bytes = size_t(number(reader, "max_header_bytes", 16384, byte_count));
    config_.max_body_bytes = size_t(number(reader, "max_body_bytes", 262144, byte_count));
    config_.header_timeout = duration(reader, "header_timeout_ms", 3000, any_duration);
    config_.idle_timeout = duration(reader, "idle_timeout_ms", 15000, any_duration);
}

const object* ConfigReader::object_at(const array& list, size_t index, const std::string& position) {
    if (list[index].is_object()) return &list[index].as_object();
    findings_.add(position, "must be a table");
    return nullptr;
}

/// A field that is there with the value null says nothing, as if it were missing.
void ConfigReader::require(const object& fields, const FieldReader& reader,
                           std::initializer_list<std::string_view> names) {
    for (std::string_view name : names) {
        const auto* value = fields.if_contains(name);
        if (!value || value->is_null()) findings_.add(reader.path(name), "is missing");
    }
}

/// The number of a field; `otherwise` where the field is missing or its number is out of range, which is a finding.
double ConfigReader::number(FieldReader& reader, std::string_view name, double default_value, NumberRange range) {
    const double number = reader.number(name, default_value);
    if (number >= range.min && number <= range.max && (!range.is_integer || std::floor(number) == number))
        return number;
    findings_.add(reader.path(name),
                  fmt::format("must be {} from {} to {}", range.is_integer ? "a whole number" : "a number", range.min,
                              range.max));
    return default_value;
}

Micros ConfigReader::duration(FieldReader& reader, std::string_view name, double default_ms, NumberRange range) {
    constexpr double micros_per_ms = 1000;
    return Micros(number(reader, name, default_ms, range) * micros_per_ms);
}

template <std::predicate<const Queue&> Fits>
const Queue* find_queue(const Config& config, std::string_view host, Fits matches) {
    auto found = config.queue_indexes_by_host.find(host);
    if (found == config.queue_indexes_by_host.end()) return nullptr;
    for (size_t position : found->second)
        if (matches(config.queues[position])) return &config.queues[position];
    return nullptr;
}

}  // namespace

const Queue* Config::find(std::string_view host, std::string_view path) const {
    return find_queue(*this, host, [path](const Queue& queue) { return path.starts_with(queue.path_prefix); });
}

const Queue* Config::find_exact(std::string_view host, std::string_view prefix) const {
    return find_queue(*this, host, [prefix](const Queue& queue) { return queue.path_prefix == prefix; });
}

void Config::index_hosts() {
    queue_indexes_by_host.clear();
    for (size_t position = 0; position < queues.size(); ++position)
        queue_indexes_by_host[queues[position].host].push_back(position);
    for (auto& [host, indexes] : queue_indexes_by_host)
        std::stable_sort(indexes.begin(), indexes.end(), [this](size_t left, size_t right) {
            return queues[left].path_prefix.size() > queues[right].path_prefix.size();
        });
}

Config parse_config(std::string_view text, Findings& findings) {
    Config config = ConfigReader(findings).read(text);
    if (auto key = duplicate_key(text)) findings.add("configuration", fmt::format("has the key '{}' twice", *key));
    return config;
}

Config read_config(std::string_view text) {
    Findings ignored;
    return ConfigReader(ignored).read(text);
}

}  // namespace calicostall
