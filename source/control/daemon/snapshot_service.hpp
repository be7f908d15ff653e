// Snapshots of the record: for previews that ask for one, and for the log, from which trials read them. Owns when the
// next one is due. Reads only: no iteration follows, nothing is proposed, no worker is queried.
#pragma once
#include "common.hpp"
#include "control/clock/quorum_clock.hpp"
#include "control/daemon/leadership.hpp"
#include "control/daemon/record_ledger.hpp"
#include "preview/snapshot_endpoint.hpp"

namespace calicostall {

struct SnapshotServiceSettings {
    // Whether a preview may read a snapshot of the record.
    bool serves_previews = false;
    SnapshotLimits limits;
    // How often, in microseconds, the leader writes a snapshot to its log, for trials; 0: never.
    Micros log_interval = 0;
};

// Example: request.responder.send(snapshots.respond(mutex, request.method)); ... snapshots.log_if_due(now);
class SnapshotService {
public:
    SnapshotService(const SnapshotServiceSettings& settings, const Scheduler<RecordLedger>& scheduler,
                    const Leader& leader, const Leadership& leadership, const QuorumClock& clock);

    // The response to a preview's request; `mutex`, the daemon's, is held only while the snapshot is taken.
    Response respond(std::recursive_mutex& mutex, const std::string& method);
    // To be called by a serving leader, under the daemon's mutex.
    void log_if_due(Micros now);

private:
    SnapshotMoment moment() const;

    SnapshotServiceSettings settings_;
    const Scheduler<RecordLedger>& scheduler_;
    const Leader& leader_;
    const Leadership& leadership_;
    const QuorumClock& clock_;
    SnapshotEndpoint endpoint_;
    Micros next_log_at_ = 0;
};

}  // namespace calicostall
