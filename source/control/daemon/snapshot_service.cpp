#include "control/daemon/snapshot_service.hpp"

namespace calicostall {

SnapshotService::SnapshotService(const SnapshotServiceSettings& settings, const Scheduler<RecordLedger>& scheduler,
                                 const Leader& leader, const Leadership& leadership, const QuorumClock& clock)
    : settings_(settings),
      scheduler_(scheduler),
      leader_(leader),
      leadership_(leadership),
      clock_(clock),
      endpoint_(settings.serves_previews, settings.limits) {}

Response SnapshotService::respond(std::recursive_mutex& mutex, const std::string& method) {
    SnapshotEndpoint::ReadResult result;
    {
        std::lock_guard guard(mutex);
        const SnapshotEndpoint::Leader leader{leadership_.is_leading(),
                                              leadership_.other_leader_address().value_or("")};
        result = endpoint_.read_snapshot(method, leader, RecordView(scheduler_), moment());
    }
    return endpoint_.respond(std::move(result));
}

void SnapshotService::log_if_due(Micros now) {
    if (settings_.log_interval == 0 || now < next_log_at_) return;
    next_log_at_ = now + settings_.log_interval;
    auto snapshot = collect_snapshot(RecordView(scheduler_), moment(), settings_.limits);
    if (!snapshot) return;
    for (const std::string& line : snapshot_log_lines(encode_snapshot(*snapshot), snapshot->wall_clock))
        log_line("snapshot", "{}", line);
}

SnapshotMoment SnapshotService::moment() const {
    const Micros now = steady_now();
    return {leader_.term().value, now, clock_.wall_clock(now), leader_.confirmed_at()};
}

}  // namespace calicostall
