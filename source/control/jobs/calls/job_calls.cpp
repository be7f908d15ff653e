#include "control/jobs/calls/job_calls.hpp"

namespace calicostall {

std::string job_key(const std::string& id) {
    return "job/" + id;
}

bool is_of_queue(const Job& job, const Queue& queue) {
    return job.definition.host == queue.host && job.definition.prefix == queue.path_prefix;
}

}  // namespace calicostall
