// Serves the only request of previews: a daemon's response to GET /inner/preview. It reads, within limits, and changes
// nothing.
#pragma once
#include "preview/snapshot_codec.hpp"
#include "preview/snapshot_collector.hpp"
#include "shared/http/response.hpp"

namespace calicostall {

// The path on the port of the replicas.
constexpr const char* preview_path = "/inner/preview";

// Responds to requests for snapshots. Owns the rate limit.
class SnapshotEndpoint {
public:
    explicit SnapshotEndpoint(bool is_enabled, const SnapshotLimits& limits = {});

    // The leader, as this daemon knows it.
    struct Leader {
        bool is_local = false;
        std::string address;  // "HOST:PORT" of another leader's replica; empty if none is known
    };
    struct ReadResult {
        std::optional<Snapshot> snapshot;
        Response refusal;  // only without a snapshot
    };

    // Reads a snapshot of the record. To be called under the lock of the record; respond() encodes the result after the
    // lock was released.
    // Example: auto result = endpoint.read_snapshot("GET", {is_leading(), address}, RecordView(scheduler), moment);
    template <class Record>
    ReadResult read_snapshot(std::string_view method, const Leader& leader, const RecordView<Record>& record,
                             const SnapshotMoment& moment) {
        if (std::optional<Response> refusal = refuse(method, leader, moment.now)) return {{}, std::move(*refusal)};
        std::optional<Snapshot> snapshot = collect_snapshot(record, moment, limits_);
        if (!snapshot) return {{}, too_large_response()};
        return {std::move(snapshot), {}};
    }

    // 200 with the encoded snapshot; else the refusal, or 413 if the encoding exceeds the limit.
    Response respond(ReadResult result) const;

private:
    // The response to a request that gets no snapshot: 403, 405, 307, 503 or 429.
    std::optional<Response> refuse(std::string_view method, const Leader& leader, Micros now);
    static Response retry_later_response(int code, std::string text);
    Response too_large_response() const;

    bool is_enabled_;
    SnapshotLimits limits_;
    SnapshotRateLimiter rate_limiter_;
};

}  // namespace calicostall
