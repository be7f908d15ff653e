#include "shared/settings/settings.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace calicostall {

std::string Settings::replica_address(const std::string& control) const {
    return fmt::format("{}:{}", address_host(control), first_port);
}

std::string Settings::control_address(const std::string& replica) const {
    const size_t port_begin = control.rfind(':');
    return address_host(replica) + (port_begin == std::string::npos ? "" : control.substr(port_begin));
}

std::vector<std::string> Settings::seed_replicas(const std::string& except) const {
    std::vector<std::string> addresses;
    for (const std::string& seed : seeds)
        if (std::string address = replica_address(seed); address != except) addresses.push_back(std::move(address));
    return addresses;
}

FieldReader::FieldReader(const boost::json::object& object, std::string place, Findings& findings)
    : object_(object), place_(std::move(place)), findings_(findings) {}

std::string FieldReader::text(std::string_view name, bool needed) {
    const auto* value = find(name, needed);
    if (!value || value->is_null()) return {};
    if (!value->is_string()) return findings_.add(path(name), "must be a text"), std::string();
    return std::string(value->as_string());
}

double FieldReader::number(std::string_view name, std::optional<double> otherwise) {
    const auto* value = find(name, !otherwise);
    if (!value || value->is_null()) return otherwise.value_or(0);
    if (!value->is_number()) return findings_.add(path(name), "must be a number"), otherwise.value_or(0);
    double number = value->to_number<double>();
    if (number < 0) findings_.add(path(name), "must not be negative");
    return number;
}

bool FieldReader::flag(std::string_view name, std::optional<bool> otherwise) {
    const auto* value = find(name, !otherwise);
    if (!value || value->is_null()) return otherwise.value_or(false);
    if (!value->is_bool()) return findings_.add(path(name), "must be true or false"), otherwise.value_or(false);
    return value->as_bool();
}

const boost::json::object* FieldReader::table(std::string_view name, bool needed) {
    const auto* value = find(name, needed);
    if (!value || value->is_null()) return nullptr;
    if (!value->is_object()) return findings_.add(path(name), "must be a table"), nullptr;
    return &value->as_object();
}

const boost::json::array* FieldReader::list(std::string_view name, bool needed) {
    const auto* value = find(name, needed);
    if (!value || value->is_null()) return nullptr;
    if (!value->is_array()) return findings_.add(path(name), "must be a list"), nullptr;
    return &value->as_array();
}

std::string FieldReader::path(std::string_view name) const {
    return place_.empty() ? std::string(name) : fmt::format("{}.{}", place_, name);
}

const boost::json::value* FieldReader::find(std::string_view name, bool needed) {
    const auto* value = object_.if_contains(name);
    if (!value && needed) findings_.add(path(name), "is missing");
    return value;
}

std::string checked_address(std::string address, const std::string& place, Findings& findings) {
    size_t colon = address.rfind(':');
    int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    if (colon == std::string::npos || colon == 0 || port <= 0 || port > 65535)
        findings.add(place, fmt::format("'{}' is no address of the form HOST:PORT", address));
    return address;
}

Settings parse_settings(std::string_view text, Findings& findings) {
    Settings settings;
    boost::system::error_code error;
    boost::json::value whole = boost::json::parse(text, error);
    if (error || !whole.is_object()) {
        findings.add("settings", error ? "cannot be read as JSON: " + error.message() : "must be a table");
        return settings;
    }
    FieldReader reader(whole.as_object(), "", findings);
    settings.node = reader.text("node_name", true);
    settings.role = reader.text("role", false);
    settings.zone = reader.text("zone", true);
    settings.ip = reader.text("ip", true);
    settings.service = reader.text("service", false);
    settings.worker_address = reader.text("app", false);
    if (!settings.worker_address.empty()) checked_address(settings.worker_address, "app", findings);
    if (const auto* table = reader.table("bind_addrs", true)) {
        FieldReader inner(*table, "bind_addrs", findings);
        auto take = [&](const char* name) {
            std::string address = inner.text(name, false);
            return address.empty() ? address : checked_address(address, inner.path(name), findings);
        };
        settings.front = take("front");
        settings.readiness = take("readiness");
        settings.control = take("control");
    }
    if (const auto* list = reader.list("port_range", true)) {
        auto port = [&](size_t place) {
            const auto& value = (*list)[place];
            return value.is_int64() && value.as_int64() > 0 && value.as_int64() < 65536 ? int(value.as_int64()) : 0;
        };
        if (list->size() != 2 || !port(0) || !port(1) || port(0) > port(1))
            findings.add("port_range", "must hold two rising ports");
        else
            settings.first_port = port(0), settings.last_port = port(1);
    }
    if (const auto* list = reader.list("seeds", true)) {
        for (size_t place = 0; place < list->size(); ++place) {
            std::string where = fmt::format("seeds.{}", place);
            if (!(*list)[place].is_string())
                findings.add(where, "must be a text");
            else
                settings.seeds.push_back(checked_address(std::string((*list)[place].as_string()), where, findings));
        }
        if (list->empty()) findings.add("seeds", "must hold at least one address");
    }
    settings.first_start = reader.flag("bootstrap", false);
    settings.counted = reader.flag("quorum_member", false);
    settings.folder = reader.text("data_dir", false);
    settings.beat_every = Micros(reader.number("beat_interval_ms", 1500) * 1000);
    if (const auto* table = reader.table("limits", false)) {
        FieldReader inner(*table, "limits", findings);
        settings.memory_mb = std::int64_t(inner.number("memory_mb", 256));
        settings.descriptors = std::int64_t(inner.number("max_fds", 1024));
        settings.disk_mb = std::int64_t(inner.number("disk_mb", 0));
    }
    if (const auto* table = reader.table("bounds", false)) {
        FieldReader inner(*table, "bounds", findings);
        auto ms = [&](const char* name, double otherwise) { return Micros(inner.number(name, otherwise) * 1e3); };
        auto s = [&](const char* name, double otherwise) { return Micros(inner.number(name, otherwise) * 1e6); };
        settings.grace = s("grace_s", 6);
        settings.contact = ms("contact_ms", 3000);
        settings.hold_most = ms("hold_max_ms", 10000);
        settings.stop_grace = ms("stop_grace_ms", 900);
        settings.gang_wait = ms("gang_wait_ms", 3000);
        settings.early = ms("early_ms", 250);
        settings.restore = ms("restore_ms", 250);
        settings.status_kept = s("status_s", 120);
        settings.checkpoint_every = s("checkpoint_s", 1);
        settings.drain = ms("drain_ms", 2000);
        settings.remote_factor = inner.number("remote_factor", 1.5);
    }
    return settings;
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream stream(path, std::ios::binary);
    if (!stream) return std::nullopt;
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::string address_host(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

}  // namespace calicostall
