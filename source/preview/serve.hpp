// How an owner answers the one call of a preview: it reads, within bounds, and changes nothing.
#pragma once
#include "preview/record_view.hpp"
#include "shared/http/response.hpp"

namespace calicostall {

// The path on the replicas' port.
constexpr const char* preview_path = "/inner/preview";

// Answers requests for snapshots, or says why not.
class PreviewReads {
public:
    explicit PreviewReads(bool on, const SnapshotLimits& limits = {});

    // Who owns the record, as this daemon knows it.
    struct Owner {
        bool here = false;
        std::string address;  // of another owner's replica, empty when none is known
    };
    struct Taken {
        std::optional<Snapshot> snapshot;
        Response refusal;  // when there is no snapshot
    };
    // To be called under the owner's lock; what it took is packed by `answer` after the lock was let go.
    // Example: PreviewReads::Taken taken = reads.take("GET", {acting(), owner_address()}, RecordView(scheduler),
    // moment);
    template <class Record>
    Taken take(std::string_view method, const Owner& owner, const RecordView<Record>& record,
               const SnapshotMoment& moment) {
        if (!on_)
            return {{}, Response::text(403, "preview reads are off; control offers them under --preview-reads\n")};
        if (method != "GET") return {{}, Response::text(405, "only GET: a preview reads and nothing else\n")};
        if (!owner.here && !owner.address.empty())
            return {{}, Response::moved("http://" + owner.address + preview_path)};
        if (!owner.here) return {{}, refused(503, "no owner is known here\n")};
        if (!pause_.grant(moment.now))
            return {{}, refused(429, fmt::format("one snapshot in {} ms, try again\n", limits_.apart / 1000))};
        auto snapshot = snapshot_of(record, moment, limits_);
        if (!snapshot) return {{}, too_large()};
        return {std::move(snapshot), {}};
    }
    Response answer(Taken taken) const;

private:
    static Response refused(int code, std::string text);
    Response too_large() const;

    bool on_;
    SnapshotLimits limits_;
    SnapshotPause pause_;
};

}  // namespace calicostall
