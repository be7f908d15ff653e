#include "preview/snapshot_endpoint.hpp"

namespace calicostall {

SnapshotEndpoint::SnapshotEndpoint(bool is_enabled, const SnapshotLimits& limits)
    : is_enabled_(is_enabled), limits_(limits), rate_limiter_(limits.min_interval) {}

std::optional<Response> SnapshotEndpoint::refuse(std::string_view method, const Leader& leader, Micros now) {
    if (!is_enabled_) return Response::text(403, "preview reads are off; control offers them under --preview-reads\n");
    if (method != "GET") return Response::text(405, "only GET: a preview reads and nothing else\n");
    if (!leader.is_local && !leader.address.empty())
        return Response::redirect("http://" + leader.address + preview_path);
    if (!leader.is_local) return retry_later_response(503, "no owner is known here\n");
    if (!rate_limiter_.try_acquire(now))
        return retry_later_response(
            429, fmt::format("one snapshot in {} ms, try again\n", limits_.min_interval / milliseconds(1)));
    return std::nullopt;
}

Response SnapshotEndpoint::respond(ReadResult result) const {
    if (!result.snapshot) return std::move(result.refusal);
    std::string bytes = encode_snapshot(*result.snapshot);
    return bytes.size() > limits_.max_bytes ? too_large_response() : Response::cbor(std::move(bytes));
}

Response SnapshotEndpoint::retry_later_response(int code, std::string text) {
    Response response = Response::text(code, std::move(text));
    response.retry_after_s = 1;
    return response;
}

Response SnapshotEndpoint::too_large_response() const {
    return Response::text(413, fmt::format("the snapshot would be larger than {} bytes\n", limits_.max_bytes));
}

}  // namespace calicostall
