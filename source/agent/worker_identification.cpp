#include "agent/worker_identification.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

constexpr Micros query_retry_interval = milliseconds(150);
constexpr Micros candidate_lifetime = seconds(10);  // without a heartbeat
constexpr size_t max_candidates = 16;               // incarnations whose heartbeats can be late at the same time
constexpr int other_incarnation_status = 421;
constexpr int lower_fence_status = 409;

}  // namespace

void WorkerIdentification::on_heartbeat(WorkerHeartbeat heartbeat, Micros now) {
    const std::string worker_id = heartbeat.info.worker_id;
    auto found = candidates_.find(worker_id);
    if (found == candidates_.end()) {
        if (candidates_.size() >= max_candidates) return counters().add("beats_unidentified");
        found = candidates_.emplace(worker_id, Candidate{}).first;
    }
    Candidate& candidate = found->second;
    candidate.heard_at = now;
    if (heartbeat.sequence >= candidate.heartbeat.sequence) candidate.heartbeat = std::move(heartbeat);
    send_due_queries(now);
}

void WorkerIdentification::send_due_queries(Micros now) {
    std::erase_if(candidates_, [now](const auto& entry) { return now - entry.second.heard_at > candidate_lifetime; });
    for (auto& [worker_id, candidate] : candidates_) {
        const bool is_refused = candidate.refused_fence && context_.leader.term <= *candidate.refused_fence;
        if (!candidate.is_query_in_flight && !is_refused && now >= candidate.next_query_at) query(candidate, now);
    }
}

void WorkerIdentification::query(Candidate& candidate, Micros now) {
    candidate.is_query_in_flight = true;
    candidate.next_query_at = now + query_retry_interval;
    const Term fence = context_.leader.term;
    const WorkerInfo& worker = candidate.heartbeat.info;
    counters().add("identity_queries");
    context_.client.post(worker, "/hold", {{"fence", fence.value}, {"seen_at", 0}}, context_.client.response_timeout(),
                         [this, worker_id = worker.worker_id, fence](const ClientResponse& response) {
                             std::lock_guard guard(context_.mutex);
                             on_response(worker_id, fence, response);
                         });
}

void WorkerIdentification::on_response(const std::string& worker_id, Term fence, const ClientResponse& response) {
    auto found = candidates_.find(worker_id);
    if (found == candidates_.end()) return;
    Candidate& candidate = found->second;
    candidate.is_query_in_flight = false;
    if (response.outcome != ClientResponse::Outcome::answered) return;
    if (response.status == lower_fence_status) candidate.refused_fence = fence;
    if (response.status == other_incarnation_status) {
        log_line("side", "heartbeat of an incarnation that has ended worker_id={}", worker_id);
        candidates_.erase(found);
        on_refuted_(worker_id);
    } else if (response.is_ok()) {
        const Candidate confirmed = std::move(candidate);
        candidates_.erase(found);
        on_confirmed_(confirmed.heartbeat, confirmed.heard_at);
    }
}

}  // namespace calicostall
