// The operators' configuration: read whole, checked whole.
#pragma once
#include <boost/json.hpp>
#include <cmath>

#include "common.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

// A queue of jobs, found by host and longest prefix.
struct Queue {
    std::string name, host, prefix, service;
    Micros patience = seconds(3);
    Micros target = 0;
    std::int64_t priority = 0;
    std::uint32_t attempts_most = 1;
    double extension = 1.5;
};

struct Config {
    std::uint64_t revision = 0;
    std::string text;
    std::vector<Queue> queues;
    std::map<std::string, bool> services;  // name -> guards
    size_t body_bytes = 262144, header_bytes = 16384;
    Micros header_wait = seconds(3), idle_wait = seconds(15);

    std::map<std::string, std::vector<size_t>, std::less<>> by_host;  // places in `queues`, the longest prefix first

    // Example: const Queue* queue = config.find("nony24.example", "/lohu930/5c0e7a21d94b36f8");
    const Queue* find(std::string_view host, std::string_view path) const {
        return find_where(host, [path](const Queue& queue) { return path.starts_with(queue.prefix); });
    }
    const Queue* find_exact(std::string_view host, std::string_view prefix) const {
        return find_where(host, [prefix](const Queue& queue) { return queue.prefix == prefix; });
    }
    void index_hosts() {
        by_host.clear();
        for (size_t place = 0; place < queues.size(); ++place)
            by_host[queues[place].host].push_back(place);
        for (auto& [host, places] : by_host)
            std::stable_sort(places.begin(), places.end(), [this](size_t left, size_t right) {
                return queues[left].prefix.size() > queues[right].prefix.size();
            });
    }

private:
    template <std::predicate<const Queue&> Fits>
    const Queue* find_where(std::string_view host, Fits fits) const {
        auto known = by_host.find(host);
        if (known == by_host.end()) return nullptr;
        for (size_t place : known->second)
            if (fits(queues[place])) return &queues[place];
        return nullptr;
    }
};

/// The number of a configuration, exact over the whole range of 64 bits: two different numbers must never become one.
inline std::uint64_t read_revision(const boost::json::object& configuration, Findings& findings) {
    const auto* value = configuration.if_contains("revision");
    if (!value) return findings.add("revision", "is missing"), 0;
    if (value->is_uint64()) return value->as_uint64();
    if (value->is_int64() && value->as_int64() >= 0) return std::uint64_t(value->as_int64());
    constexpr double exact_below = 9007199254740992.0;  // 2^53: below it every whole number has its own double
    if (value->is_double()) {
        const double number = value->as_double();
        if (number >= 0 && number < exact_below && std::floor(number) == number) return std::uint64_t(number);
    }
    findings.add("revision", "must be a whole number, not negative");
    return 0;
}

// Example: Findings findings; Config config = parse_config(body, findings); if (!findings.empty()) answer 400
inline Config parse_config(std::string_view text, Findings& findings) {
    Config config;
    config.text = std::string(text);
    boost::system::error_code error;
    boost::json::value whole = boost::json::parse(text, error);
    if (error || !whole.is_object()) {
        findings.add("configuration", error ? "cannot be read as JSON: " + error.message() : "must be a table");
        return config;
    }
    FieldReader reader(whole.as_object(), "", findings);
    config.revision = read_revision(whole.as_object(), findings);
    if (const auto* list = reader.list("services", true)) {
        for (size_t place = 0; place < list->size(); ++place) {
            std::string where = fmt::format("services[{}]", place);
            if (!(*list)[place].is_object()) {
                findings.add(where, "must be a table");
                continue;
            }
            FieldReader inner((*list)[place].as_object(), where, findings);
            std::string name = inner.text("name", true);
            bool guards = inner.flag("guards", false);
            if (name.empty())
                findings.add(where + ".name", "must not be empty");
            else if (!config.services.emplace(name, guards).second)
                findings.add(where + ".name", fmt::format("'{}' is there twice", name));
        }
    }
    if (const auto* list = reader.list("routes", true)) {
        std::map<std::pair<std::string, std::string>, size_t> places;
        for (size_t place = 0; place < list->size(); ++place) {
            std::string where = fmt::format("routes[{}]", place);
            if (!(*list)[place].is_object()) {
                findings.add(where, "must be a table");
                continue;
            }
            FieldReader inner((*list)[place].as_object(), where, findings);
            Queue queue;
            queue.name = inner.text("name", false);
            queue.host = inner.text("host", true);
            queue.prefix = inner.text("path_prefix", true);
            queue.service = inner.text("service", true);
            double patience = inner.number("timeout_ms", 3000);
            if (patience <= 0) findings.add(where + ".timeout_ms", "must be above 0");
            queue.patience = Micros(patience * 1000);
            queue.target = Micros(inner.number("target_ms", 1000) * 1000);
            queue.priority = std::int64_t(inner.number("priority", 0));
            queue.attempts_most = std::uint32_t(std::max(1.0, inner.number("max_attempts", 1)));
            queue.extension = inner.number("extension", 1.5);
            if (!config.services.contains(queue.service))
                findings.add(where + ".service", fmt::format("'{}' is unknown", queue.service));
            auto [other, fresh] = places.try_emplace({queue.host, queue.prefix}, place);
            if (!fresh) findings.add(where, fmt::format("shares host and prefix with routes[{}]", other->second));
            config.queues.push_back(std::move(queue));
        }
    }
    if (const auto* table = reader.table("limits", false)) {
        FieldReader inner(*table, "limits", findings);
        config.header_bytes = size_t(inner.number("max_header_bytes", 16384));
        config.body_bytes = size_t(inner.number("max_body_bytes", 262144));
        config.header_wait = Micros(inner.number("header_timeout_ms", 3000) * 1000);
        config.idle_wait = Micros(inner.number("idle_timeout_ms", 15000) * 1000);
    }
    config.index_hosts();
    return config;
}

}  // namespace calicostall
