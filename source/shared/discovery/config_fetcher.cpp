#include "shared/discovery/config_fetcher.hpp"

#include "shared/discovery/exponential_backoff.hpp"

namespace calicostall {

ConfigFetcher::ConfigFetcher(ConfigFetcherSettings settings, EventLoop& loop, Candidates candidates,
                             ChangeCallback on_change)
    : settings_(settings), loop_(loop), candidates_(std::move(candidates)), on_change_(std::move(on_change)) {}

void ConfigFetcher::on_announced(AnnouncedConfig announced) {
    const std::string address = announced.announcer;
    {
        std::lock_guard guard(mutex_);
        if (announced.revision <= announced_.revision) return;
        announced_ = std::move(announced);
        if (std::exchange(is_fetching_, true)) return;
    }
    fetch(address, 0);
}

std::uint64_t ConfigFetcher::announced_revision() const {
    std::lock_guard guard(mutex_);
    return announced_.revision;
}

std::uint64_t ConfigFetcher::revision() const {
    std::lock_guard guard(mutex_);
    return revision_;
}

std::string ConfigFetcher::text() const {
    std::lock_guard guard(mutex_);
    return text_;
}

void ConfigFetcher::fetch(const std::string& address, size_t failures) {
    ConfigTextRequest request;
    Micros timeout = 0;
    {
        std::lock_guard guard(mutex_);
        // What is newer than the text that is here will do: an announcer may have lost the newest one since.
        request.min_revision = revision_ + 1;
        timeout = settings_.min_timeout + Micros(announced_.bytes) * settings_.timeout_per_byte;
        timeout = exponential_backoff(timeout, failures, settings_.max_timeout);
    }
    loop_.send({.url = "http://" + address + "/inner/config", .body = encode(request), .timeout = timeout},
               [this, failures](const ClientResponse& response) {
                   auto text = response.is_ok() ? decode<ConfigTextResponse>(response.body) : std::nullopt;
                   on_response(text ? std::move(*text) : ConfigTextResponse{}, failures);
               });
}

void ConfigFetcher::on_response(ConfigTextResponse response, size_t failures) {
    bool has_changed = false;
    {
        std::lock_guard guard(mutex_);
        if (response.revision > revision_ && !response.text.empty()) {
            revision_ = response.revision;
            text_ = std::move(response.text);
            has_changed = true;
        }
        is_fetching_ = revision_ < announced_.revision;
    }
    const std::string address = next_address(has_changed, failures);
    if (has_changed) on_change_();
    if (address.empty()) return;
    if (has_changed) return fetch(address, 0);
    const Micros backoff = exponential_backoff(settings_.min_backoff, failures, settings_.max_backoff);
    loop_.run_after(backoff, [this, address, failures] { fetch(address, failures + 1); });
}

std::string ConfigFetcher::next_address(bool has_changed, size_t failures) const {
    const std::vector<std::string> candidates = candidates_();
    std::lock_guard guard(mutex_);
    if (!is_fetching_) return {};
    return has_changed || candidates.empty() ? announced_.announcer : candidates[failures % candidates.size()];
}

}  // namespace calicostall
