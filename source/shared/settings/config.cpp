#include "shared/settings/config.hpp"

#include <boost/json.hpp>
#include <cmath>

#include "shared/settings/doubled_key.hpp"

namespace calicostall {

namespace {

using boost::json::array;
using boost::json::object;

/// What a number may be; all ranges end far below what its field can hold.
struct NumberRange {
    double least = 0, most = 0;
    bool whole = false;
};
constexpr double exact_below = 9007199254740992.0;  // 2^53: below it every whole number has its own double
constexpr double duration_ms_max = 1e12;            // about 31 years
constexpr double duration_ms_min = 0.001;           // times are whole microseconds
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
    void read_fields(const object& whole);
    std::uint64_t read_revision(const object& whole);
    void read_services(const array& list);
    void read_service(const object& fields, const std::string& place);
    void read_routes(const array& list);
    void read_route(const object& fields, const std::string& place);
    void note_place(const Queue& queue, const std::string& place);
    void read_limits(const object& fields);

    const object* entry(const array& list, size_t index, const std::string& place);
    void need(const object& fields, const FieldReader& reader, std::initializer_list<std::string_view> names);
    double number(FieldReader& reader, std::string_view name, double otherwise, NumberRange range);
    Micros duration(FieldReader& reader, std::string_view name, double otherwise_ms, NumberRange range);

    Findings& findings_;
    Config config_;
    std::map<std::pair<std::string, std::string>, std::string> route_places_;  // by host and prefix
};

Config ConfigReader::read(std::string_view text) {
    config_.text = std::string(text);
    boost::system::error_code error;
    boost::json::value whole = boost::json::parse(text, error);
    if (error)
        findings_.add("configuration", "cannot be read as JSON: " + error.message());
    else if (!whole.is_object())
        findings_.add("configuration", "must be a table");
    else
        read_fields(whole.as_object());
    config_.index_hosts();
    return std::move(config_);
}

void ConfigReader::read_fields(const object& whole) {
    FieldReader reader(whole, "", findings_);
    config_.revision = read_revision(whole);
    need(whole, reader, {"services", "routes"});
    if (const array* services = reader.list("services", false)) read_services(*services);
    if (const array* routes = reader.list("routes", false)) read_routes(*routes);
    if (const object* limits = reader.table("limits", false)) read_limits(*limits);
}

/// The number of a configuration, exact over the whole range of 64 bits: two different numbers must never become one.
std::uint64_t ConfigReader::read_revision(const object& whole) {
    const auto* value = whole.if_contains("revision");
    if (!value) return findings_.add("revision", "is missing"), 0;
    if (value->is_uint64()) return value->as_uint64();
    if (value->is_int64() && value->as_int64() >= 0) return std::uint64_t(value->as_int64());
    if (value->is_double()) {
        const double number = value->as_double();
        if (number >= 0 && number < exact_below && std::floor(number) == number) return std::uint64_t(number);
    }
    findings_.add("revision", "must be a whole number, not negative");
    return 0;
}

void ConfigReader::read_services(const array& list) {
    for (size_t index = 0; index < list.size(); ++index) {
        const std::string place = fmt::format("services[{}]", index);
        if (const object* fields = entry(list, index, place)) read_service(*fields, place);
    }
}

void ConfigReader::read_service(const object& fields, const std::string& place) {
    FieldReader reader(fields, place, findings_);
    const std::string name = reader.text("name", true);
    const bool guards = reader.flag("guards", false);
    if (name.empty())
        findings_.add(place + ".name", "must not be empty");
    else if (!config_.services.emplace(name, guards).second)
        findings_.add(place + ".name", fmt::format("'{}' is there twice", name));
}

void ConfigReader::read_routes(const array& list) {
    for (size_t index = 0; index < list.size(); ++index) {
        const std::string place = fmt::format("routes[{}]", index);
        if (const object* fields = entry(list, index, place)) read_route(*fields, place);
    }
}

void ConfigReader::read_route(const object& fields, const std::string& place) {
    FieldReader reader(fields, place, findings_);
    need(fields, reader, {"host", "path_prefix", "service"});
    Queue queue;
    queue.name = reader.text("name", false);
    queue.host = reader.text("host", false);
    queue.prefix = reader.text("path_prefix", false);
    queue.service = reader.text("service", false);
    if (fields.contains("timeout_ms")) need(fields, reader, {"timeout_ms"});
    queue.patience = duration(reader, "timeout_ms", 3000, timeout);
    queue.target = duration(reader, "target_ms", 1000, any_duration);
    queue.priority = std::int64_t(number(reader, "priority", 0, priority));
    queue.attempts_most = std::uint32_t(std::max(1.0, number(reader, "max_attempts", 1, attempts)));
    queue.extension = number(reader, "extension", 1.5, extension);
    if (!config_.services.contains(queue.service))
        findings_.add(place + ".service", fmt::format("'{}' is unknown", queue.service));
    note_place(queue, place);
    config_.queues.push_back(std::move(queue));
}

void ConfigReader::note_place(const Queue& queue, const std::string& place) {
    auto [other, fresh] = route_places_.try_emplace({queue.host, queue.prefix}, place);
    if (!fresh) findings_.add(place, fmt::format("shares host and prefix with {}", other->second));
}

void ConfigReader::read_limits(const object& fields) {
    FieldReader reader(fields, "limits", findings_);
    config_.header_bytes = size_t(number(reader, "max_header_bytes", 16384, byte_count));
    config_.body_bytes = size_t(number(reader, "max_body_bytes", 262144, byte_count));
    config_.header_wait = duration(reader, "header_timeout_ms", 3000, any_duration);
    config_.idle_wait = duration(reader, "idle_timeout_ms", 15000, any_duration);
}

const object* ConfigReader::entry(const array& list, size_t index, const std::string& place) {
    if (list[index].is_object()) return &list[index].as_object();
    findings_.add(place, "must be a table");
    return nullptr;
}

/// A field that is there with the value null says nothing, as if it were missing.
void ConfigReader::need(const object& fields, const FieldReader& reader,
                        std::initializer_list<std::string_view> names) {
    for (std::string_view name : names) {
        const auto* value = fields.if_contains(name);
        if (!value || value->is_null()) findings_.add(reader.path(name), "is missing");
    }
}

/// The number of a field; `otherwise` where the field is missing or its number is out of range, which is a finding.
double ConfigReader::number(FieldReader& reader, std::string_view name, double otherwise, NumberRange range) {
    const double number = reader.number(name, otherwise);
    if (number >= range.least && number <= range.most && (!range.whole || std::floor(number) == number)) return number;
    findings_.add(reader.path(name), fmt::format("must be {} from {} to {}",
                                                 range.whole ? "a whole number" : "a number", range.least, range.most));
    return otherwise;
}

Micros ConfigReader::duration(FieldReader& reader, std::string_view name, double otherwise_ms, NumberRange range) {
    constexpr double micros_per_ms = 1000;
    return Micros(number(reader, name, otherwise_ms, range) * micros_per_ms);
}

template <std::predicate<const Queue&> Fits>
const Queue* find_where(const Config& config, std::string_view host, Fits fits) {
    auto known = config.by_host.find(host);
    if (known == config.by_host.end()) return nullptr;
    for (size_t place : known->second)
        if (fits(config.queues[place])) return &config.queues[place];
    return nullptr;
}

}  // namespace

const Queue* Config::find(std::string_view host, std::string_view path) const {
    return find_where(*this, host, [path](const Queue& queue) { return path.starts_with(queue.prefix); });
}

const Queue* Config::find_exact(std::string_view host, std::string_view prefix) const {
    return find_where(*this, host, [prefix](const Queue& queue) { return queue.prefix == prefix; });
}

void Config::index_hosts() {
    by_host.clear();
    for (size_t place = 0; place < queues.size(); ++place)
        by_host[queues[place].host].push_back(place);
    for (auto& [host, places] : by_host)
        std::stable_sort(places.begin(), places.end(), [this](size_t left, size_t right) {
            return queues[left].prefix.size() > queues[right].prefix.size();
        });
}

Config parse_config(std::string_view text, Findings& findings) {
    Config config = ConfigReader(findings).read(text);
    if (auto key = doubled_key(text)) findings.add("configuration", fmt::format("has the key '{}' twice", *key));
    return config;
}

Config read_config(std::string_view text) {
    Findings ignored;
    return ConfigReader(ignored).read(text);
}

}  // namespace calicostall
