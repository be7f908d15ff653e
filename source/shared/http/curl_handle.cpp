#include "shared/http/curl_handle.hpp"

namespace calicostall {

namespace {

// A daemon sends a few kinds of request to a few peers at a time.
constexpr size_t max_idle_handles = 24;

}  // namespace

std::optional<CurlHandle> CurlHandleCache::take(const std::string& kind) {
    auto found = idle_.find(kind);
    if (found == idle_.end()) return std::nullopt;
    CurlHandle handle = std::move(found->second);
    idle_.erase(found);
    return handle;
}

void CurlHandleCache::store(std::string kind, CurlHandle handle) {
    if (idle_.size() >= max_idle_handles) idle_.erase(idle_.begin());
    idle_.emplace(std::move(kind), std::move(handle));
}

}  // namespace calicostall
