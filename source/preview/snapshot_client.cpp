#include "preview/snapshot_client.hpp"

#include <curl/curl.h>

#include "preview/snapshot_endpoint.hpp"

namespace calicostall {

namespace {

constexpr long connect_timeout_ms = 2000;
// A daemon redirects to the leader it knows of, which may have just been replaced.
constexpr long max_redirects = 2;
constexpr long http_ok = 200;
constexpr long http_too_many_requests = 429;
constexpr size_t max_error_text = 300;

struct ResponseBody {
    std::string text;
    size_t max_bytes = 0;
};

// libcurl's write callback: anything but the size of the data ends the transfer.
size_t append_to_body(char* data, size_t size, size_t count, void* target) {
    ResponseBody& body = *static_cast<ResponseBody*>(target);
    if (body.text.size() + size * count > body.max_bytes) return 0;
    body.text.append(data, size * count);
    return size * count;
}

struct ReleaseHandle {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using CurlHandle = std::unique_ptr<CURL, ReleaseHandle>;

struct SnapshotResponse {
    CURLcode result = CURLE_OK;
    long code = 0;
    std::string body;
    bool has_code(long wanted) const { return result == CURLE_OK && code == wanted; }
};

SnapshotResponse send_request(CURL* handle, const std::string& daemon, size_t max_bytes, Micros timeout) {
    ResponseBody body{{}, max_bytes};
    const std::string url = "http://" + daemon + preview_path;
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXREDIRS, max_redirects);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, long(timeout / 1000));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &append_to_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &body);
    SnapshotResponse response;
    response.result = curl_easy_perform(handle);
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &response.code);
    response.body = std::move(body.text);
    return response;
}

std::string failure_text(SnapshotResponse response) {
    if (response.result != CURLE_OK) return curl_easy_strerror(response.result);
    std::string& text = response.body;
    while (!text.empty() && text.back() == '\n')
        text.pop_back();
    return fmt::format("answers {}{}{}", response.code, text.empty() ? "" : ": ", text.substr(0, max_error_text));
}

}  // namespace

std::optional<std::string> fetch_snapshot(const std::vector<std::string>& daemons, Findings& findings, size_t max_bytes,
                                          Micros timeout, Micros retry_delay) {
    const CurlHandle handle(curl_easy_init());
    std::set<std::string> retried;
    for (const std::string& daemon : daemons) {
        SnapshotResponse response = send_request(handle.get(), daemon, max_bytes, timeout);
        if (response.has_code(http_too_many_requests) && retried.insert(daemon).second) {
            std::this_thread::sleep_for(std::chrono::microseconds(retry_delay));
            response = send_request(handle.get(), daemon, max_bytes, timeout);
        }
        if (response.has_code(http_ok)) return std::move(response.body);
        findings.add(daemon, failure_text(std::move(response)));
    }
    return std::nullopt;
}

}  // namespace calicostall
