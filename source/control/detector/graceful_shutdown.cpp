#include "control/detector/graceful_shutdown.hpp"

namespace calicostall {

void GracefulShutdown::begin(Micros deadline) {
    phase_ = Phase::awaiting_replication;
    deadline_ = deadline;
}

void GracefulShutdown::on_response(bool is_replicated) {
    if (!is_replicated) return;
    term = Term{};
    sequence = 0;
    if (phase_ == Phase::awaiting_replication)
        phase_ = Phase::withdrawn;
    else if (phase_ == Phase::withdrawn)
        phase_ = Phase::complete;
}

void GracefulShutdown::on_leadership_transferred() {
    if (phase_ != Phase::running) phase_ = Phase::complete;
}

}  // namespace calicostall
