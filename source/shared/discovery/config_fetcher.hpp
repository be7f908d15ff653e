// Fetches the text of the newest configuration that a control daemon announced: once, however many daemons announce it,
// and for as long as its size needs on a slow link. A configuration never goes back to an older revision.
#pragma once
#include "common.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/wire/config_text_messages.hpp"

namespace calicostall {

// All times are microseconds.
struct ConfigFetcherSettings {
    // The time limit for fetching a text: so much, and more for each byte (270 KB take 1.1 s at 2 Mbit/s, and other
    // fetches share the link). It doubles with each failure, up to `max_timeout`.
    Micros min_timeout = seconds(1), timeout_per_byte = 10, max_timeout = seconds(20);
    // After a failure, before the next daemon is asked; it doubles with each failure as well.
    Micros min_backoff = milliseconds(200), max_backoff = seconds(2);
};

// A configuration that a daemon was heard to have.
struct AnnouncedConfig {
    std::uint64_t revision = 0;
    std::uint64_t bytes = 0;  // the size of its text
    std::string announcer;    // the address of that daemon's replica
};

// All functions may be called from any thread; `on_change` runs on the loop's.
// Example: ConfigFetcher fetcher({}, loop, [] { return addresses; }, [] { apply(fetcher.text()); });
//          fetcher.on_announced({7, 270000, "10.0.0.4:7720"});
class ConfigFetcher {
public:
    // The daemons that may be asked after a failure, in the order of preference.
    using Candidates = std::function<std::vector<std::string>()>;
    using ChangeCallback = std::function<void()>;

    ConfigFetcher(ConfigFetcherSettings settings, EventLoop& loop, Candidates candidates, ChangeCallback on_change);

    // Begins to fetch the text, unless one is being fetched already or it is no newer than the newest announced.
    void on_announced(AnnouncedConfig announced);

    // The newest revision that was announced.
    std::uint64_t announced_revision() const;
    // The revision whose text is here; 0 when none is.
    std::uint64_t revision() const;
    std::string text() const;

private:
    void fetch(const std::string& address, size_t failures);
    void on_response(ConfigTextResponse response, size_t failures);
    // Whom to ask now, empty when the newest text is here. `failures` counts those since the last text came.
    std::string next_address(bool has_changed, size_t failures) const;

    ConfigFetcherSettings settings_;
    EventLoop& loop_;
    Candidates candidates_;
    ChangeCallback on_change_;
    mutable std::mutex mutex_;
    AnnouncedConfig announced_;
    std::uint64_t revision_ = 0;
    std::string text_;
    bool is_fetching_ = false;
};

}  // namespace calicostall
