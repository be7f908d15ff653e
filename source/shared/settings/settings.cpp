#include "shared/settings/settings.hpp"

#include "shared/settings/address.hpp"
#include "shared/settings/field_reader.hpp"

namespace calicostall {

namespace {

constexpr std::int64_t max_port = 65535;
constexpr double micros_per_ms = 1e3, micros_per_s = 1e6;

std::string read_address(FieldReader& reader, const char* name, Findings& findings) {
    std::string address = reader.text(name, false);
    return address.empty() ? address : checked_address(std::move(address), reader.path(name), findings);
}

void read_node(FieldReader& reader, Settings& settings, Findings& findings) {
    settings.node_name = reader.text("node_name", true);
    settings.role = reader.text("role", false);
    settings.zone = reader.text("zone", true);
    settings.ip = reader.text("ip", true);
    settings.service = reader.text("service", false);
    settings.worker_address = read_address(reader, "app", findings);
}

void read_bind_addresses(FieldReader& reader, Settings& settings, Findings& findings) {
    const auto* table = reader.table("bind_addrs", true);
    if (!table) return;
    FieldReader fields(*table, "bind_addrs", findings);
    settings.front_address = read_address(fields, "front", findings);
    settings.readiness_address = read_address(fields, "readiness", findings);
    settings.control_address = read_address(fields, "control", findings);
}

// 0 for what is no port.
int port_of(const boost::json::value& value) {
    const bool is_port = value.is_int64() && value.as_int64() > 0 && value.as_int64() <= max_port;
    return is_port ? int(value.as_int64()) : 0;
}

void read_port_range(FieldReader& reader, Settings& settings, Findings& findings) {
    const auto* list = reader.list("port_range", true);
    if (!list) return;
    const int first = list->size() == 2 ? port_of((*list)[0]) : 0;
    const int last = list->size() == 2 ? port_of((*list)[1]) : 0;
    if (first == 0 || last == 0 || first > last) return findings.add("port_range", "must hold two rising ports");
    settings.first_port = first;
    settings.last_port = last;
}

void read_seeds(FieldReader& reader, Settings& settings, Findings& findings) {
    const auto* list = reader.list("seeds", true);
    if (!list) return;
    for (size_t index = 0; index < list->size(); ++index) {
        const std::string location = fmt::format("seeds.{}", index);
        const auto& seed = (*list)[index];
        if (seed.is_string())
            settings.seeds.push_back(checked_address(std::string(seed.as_string()), location, findings));
        else
            findings.add(location, "must be a text");
    }
    if (list->empty()) findings.add("seeds", "must hold at least one address");
}

void read_limits(FieldReader& reader, Settings& settings, Findings& findings) {
    const auto* table = reader.table("limits", false);
    if (!table) return;
    FieldReader fields(*table, "limits", findings);
    settings.memory_mb = std::int64_t(fields.number("memory_mb", 256));
    settings.max_file_descriptors = std::int64_t(fields.number("max_fds", 1024));
    settings.disk_mb = std::int64_t(fields.number("disk_mb", 0));
}

void read_bounds(FieldReader& reader, Settings& settings, Findings& findings) {
    const auto* table = reader.table("bounds", false);
    if (!table) return;
    FieldReader fields(*table, "bounds", findings);
    auto ms = [&fields](const char* name, double default_ms) {
        return Micros(fields.number(name, default_ms) * micros_per_ms);
    };
    auto s = [&fields](const char* name, double default_s) {
        return Micros(fields.number(name, default_s) * micros_per_s);
    };
    settings.grace_period = s("grace_s", 6);
    settings.contact_timeout = ms("contact_ms", 3000);
    settings.max_lease = ms("hold_max_ms", 10000);
    settings.stop_grace = ms("stop_grace_ms", 900);
    settings.max_gang_wait = ms("gang_wait_ms", 3000);
    settings.early_tolerance = ms("early_ms", 250);
    settings.restore_duration = ms("restore_ms", 250);
    settings.status_retention = s("status_s", 120);
    settings.checkpoint_interval = s("checkpoint_s", 1);
    settings.drain_duration = ms("drain_ms", 2000);
    settings.remote_factor = fields.number("remote_factor", 1.5);
}

}  // namespace

std::string Settings::replica_address_of(const std::string& control_address) const {
    return fmt::format("{}:{}", address_host(control_address), first_port);
}

std::string Settings::control_address_of(const std::string& replica_address) const {
    const size_t port_begin = control_address.rfind(':');
    return address_host(replica_address) + (port_begin == std::string::npos ? "" : control_address.substr(port_begin));
}

std::vector<std::string> Settings::seed_replicas(const std::string& excluded) const {
    std::vector<std::string> addresses;
    for (const std::string& seed : seeds)
        if (std::string address = replica_address_of(seed); address != excluded)
            addresses.push_back(std::move(address));
    return addresses;
}

Settings parse_settings(std::string_view text, Findings& findings) {
    Settings settings;
    boost::system::error_code error;
    const boost::json::value document = boost::json::parse(text, error);
    if (error || !document.is_object()) {
        findings.add("settings", error ? "cannot be read as JSON: " + error.message() : "must be a table");
        return settings;
    }
    FieldReader reader(document.as_object(), "", findings);
    read_node(reader, settings, findings);
    read_bind_addresses(reader, settings, findings);
    read_port_range(reader, settings, findings);
    read_seeds(reader, settings, findings);
    settings.may_bootstrap = reader.flag("bootstrap", false);
    settings.is_quorum_member = reader.flag("quorum_member", false);
    settings.data_dir = reader.text("data_dir", false);
    settings.heartbeat_interval = Micros(reader.number("beat_interval_ms", 1500) * micros_per_ms);
    read_limits(reader, settings, findings);
    read_bounds(reader, settings, findings);
    return settings;
}

}  // namespace calicostall
