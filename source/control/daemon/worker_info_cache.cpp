#include "control/daemon/worker_info_cache.hpp"

namespace calicostall {

bool WorkerInfoCache::resolve(AgentPollRequest& request) {
    if (request.worker_info_sequence == 0) return true;
    if (request.worker_info) {
        if (entries_.size() > max_entries) entries_.clear();
        entries_[request.node] = {request.agent_incarnation, request.worker_info_sequence, *request.worker_info};
        return true;
    }
    auto found = entries_.find(request.node);
    if (found == entries_.end()) return false;
    const Entry& entry = found->second;
    const bool is_same =
        entry.agent_incarnation == request.agent_incarnation && entry.sequence == request.worker_info_sequence;
    if (!is_same) return false;
    request.worker_info = entry.info;
    request.worker_info->terminates_in = request.terminates_in;
    return true;
}

}  // namespace calicostall
