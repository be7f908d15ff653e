// libcurl's easy handles: owned, and kept for reuse by kind of request.
#pragma once
#include <curl/curl.h>

#include "common.hpp"

namespace calicostall {

struct CurlEasyDeleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct CurlListDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

// An easy handle with the headers that it refers to, which must outlive it.
struct CurlHandle {
    std::unique_ptr<curl_slist, CurlListDeleter> headers;
    std::unique_ptr<CURL, CurlEasyDeleter> easy;
};

// Idle handles, each configured for one kind of request: only body and timeout change from request to request.
// Not thread-safe: only the loop's thread uses it.
class CurlHandleCache {
public:
    // Takes a handle of this kind out; nothing when none is idle.
    std::optional<CurlHandle> take(const std::string& kind);
    // Keeps a handle; when the cache is full, another one is destroyed.
    void store(std::string kind, CurlHandle handle);

private:
    std::unordered_multimap<std::string, CurlHandle> idle_;
};

}  // namespace calicostall
