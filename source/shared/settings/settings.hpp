// The settings file of a process, read and checked as one. The fields and their meaning are those of the page on
// deployment; each is named here with its JSON field.
#pragma once
#include "common.hpp"
#include "shared/diagnostics/finding.hpp"

namespace calicostall {

// All times are microseconds.
struct Settings {
    std::string node_name;                           // node_name
    std::string role;                                // role
    std::string zone;                                // zone
    std::string ip;                                  // ip
    std::string service;                             // service: of the worker on this machine
    std::string worker_address;                      // app
    std::string front_address;                       // bind_addrs.front
    std::string readiness_address;                   // bind_addrs.readiness
    std::string control_address;                     // bind_addrs.control
    int first_port = 0, last_port = 0;               // port_range
    std::vector<std::string> seeds;                  // seeds: control addresses
    bool may_bootstrap = false;                      // bootstrap: this daemon may form the first membership
    bool is_quorum_member = false;                   // quorum_member: its disk counts
    std::string data_dir;                            // data_dir
    Micros heartbeat_interval = milliseconds(1500);  // beat_interval_ms
    // limits
    std::int64_t disk_mb = 0, memory_mb = 0, max_file_descriptors = 0;
    // bounds
    Micros grace_period = seconds(6);             // grace_s
    Micros contact_timeout = seconds(3);          // contact_ms
    Micros max_lease = seconds(10);               // hold_max_ms
    Micros stop_grace = milliseconds(900);        // stop_grace_ms
    Micros max_gang_wait = seconds(3);            // gang_wait_ms
    Micros early_tolerance = milliseconds(250);   // early_ms
    Micros restore_duration = milliseconds(250);  // restore_ms
    Micros status_retention = seconds(120);       // status_s
    Micros checkpoint_interval = seconds(1);      // checkpoint_s
    Micros drain_duration = seconds(2);           // drain_ms
    double remote_factor = 1.5;                   // remote_factor

    // Where the replica of the daemon listens whose control port is at `control_address`: same host, first port of the
    // range. Example: settings.replica_address_of("10.0.0.4:8161") == "10.0.0.4:7720"
    std::string replica_address_of(const std::string& control_address) const;
    // The other way round: where the daemon serves operators whose replica is at `replica_address`, at the same port as
    // this one. Example: settings.control_address_of("10.0.0.4:7720") == "10.0.0.4:8161"
    std::string control_address_of(const std::string& replica_address) const;
    // The replicas of all seeds, in their order, but for the one at `excluded`.
    std::vector<std::string> seed_replicas(const std::string& excluded = {}) const;
};

// What is wrong becomes findings; the settings are not to be used then.
// Example: Findings findings; Settings settings = parse_settings(text, findings); if (!findings.empty()) report();
Settings parse_settings(std::string_view text, Findings& findings);

}  // namespace calicostall
