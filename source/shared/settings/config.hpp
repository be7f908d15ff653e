// The operators' configuration: read whole, checked whole.
#pragma once
#include "common.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

/// A queue of jobs, found by host and longest prefix.
struct Queue {
    std::string name, host, path_prefix, service;
    Micros timeout = seconds(3);
    Micros target = 0;
    std::int64_t priority = 0;
    std::uint32_t max_attempts = 1;
    double extension = 1.5;
};

struct Config {
    std::uint64_t revision = 0;
    std::string text;
    std::vector<Queue> queues;
    std::map<std::string, bool> services;  // name -> guards
    size_t max_body_bytes = 262144, max_header_bytes = 16384;
    Micros header_timeout = seconds(3), idle_timeout = seconds(15);

    std::map<std::string, std::vector<size_t>, std::less<>>
        queue_indexes_by_host;  // places in `queues`, the longest prefix first

    /// Example: const Queue* queue = config.find("nony24.example", "/lohu930/5c0e7a21d94b36f8");
    const Queue* find(std::string_view host, std::string_view path) const;
    const Queue* find_exact(std::string_view host, std::string_view prefix) const;
    void index_hosts();
};

/// Reads an operator's order and checks all that the pages ask of a valid configuration but for what depends on the
/// present one (its revision). What has a finding is not to be acted by.
/// Example: Findings findings; Config config = parse_config(body, findings); if (!findings.empty()) answer 400
Config parse_config(std::string_view text, Findings& findings);

/// Reads a configuration that was taken and is in force: it is not judged a second time, so that a daemon whose checks
/// are stricter than those of the daemon that took it acts by it all the same. Its revision is 0 where it has none.
/// Example: Config config = read_config(record.moving);
Config read_config(std::string_view text);

}  // namespace calicostall
