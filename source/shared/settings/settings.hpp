// The settings file of a process, read whole and checked.
#pragma once
#include <boost/json.hpp>

#include "common.hpp"
#include "shared/record/finding.hpp"

namespace calicostall {

// What the settings file says; the fields keep the meaning of the page on machines.
struct Settings {
    std::string node, role, zone, ip, service, worker_address;
    std::string front, readiness, control;
    int first_port = 0, last_port = 0;
    std::vector<std::string> seeds;
    bool first_start = false;
    bool counted = false;
    std::string folder;
    std::int64_t disk_mb = 0, memory_mb = 0, descriptors = 0;
    Micros beat_every = milliseconds(1500);
    Micros grace = seconds(6), contact = seconds(3), hold_most = seconds(10), stop_grace = milliseconds(900);
    Micros gang_wait = seconds(3), early = milliseconds(250), restore = milliseconds(250), status_kept = seconds(120);
    Micros checkpoint_every = seconds(1), drain = seconds(2);
    double remote_factor = 1.5;

    // Where the replica of the daemon listens whose control port is at `control`: same host, first port of the range.
    // Example: settings.replica_address("10.0.0.4:8161") == "10.0.0.4:7720"
    std::string replica_address(const std::string& control) const;
    // The other way round: where the daemon serves operators whose replica is at `replica`, at the same port as this
    // one. Example: settings.control_address("10.0.0.4:7720") == "10.0.0.4:8161"
    std::string control_address(const std::string& replica) const;
    // The replicas of all seeds, in their order, but for the one at `except`.
    std::vector<std::string> seed_replicas(const std::string& except = {}) const;
};

// One reader for a JSON object that notes what is missing or of another kind.
// Example: FieldReader reader(object, "bounds", findings); Micros grace = reader.number("grace_s", 6) * 1e6;
class FieldReader {
public:
    FieldReader(const boost::json::object& object, std::string place, Findings& findings);

    std::string text(std::string_view name, bool needed);
    double number(std::string_view name, std::optional<double> otherwise);
    bool flag(std::string_view name, std::optional<bool> otherwise);
    const boost::json::object* table(std::string_view name, bool needed);
    const boost::json::array* list(std::string_view name, bool needed);
    std::string path(std::string_view name) const;

private:
    const boost::json::value* find(std::string_view name, bool needed);
    const boost::json::object& object_;
    std::string place_;
    Findings& findings_;
};

// Example: checked_address("10.0.0.4:8161", "seeds.0", findings)
std::string checked_address(std::string address, const std::string& place, Findings& findings);

// Example: Findings findings; Settings settings = parse_settings(text, findings); if (!findings.empty()) report();
Settings parse_settings(std::string_view text, Findings& findings);

// Example: std::optional<std::string> text = read_file(path);
std::optional<std::string> read_file(const std::string& path);

// Example: address_host("10.0.0.4:8166") == "10.0.0.4"
std::string address_host(const std::string& address);

}  // namespace calicostall
