#include "control/daemon/record_ledger.hpp"

namespace calicostall {

template class Scheduler<RecordLedger>;

RecordLedger::RecordLedger(Leader& leader, std::function<void()> on_proposal)
    : leader_(leader), on_proposal_(std::move(on_proposal)) {}

void RecordLedger::propose(const std::string& key, std::optional<std::string> immutable, Mutation mutation,
                           Done on_committed) {
    leader_.propose(key, std::move(immutable), std::move(mutation), std::move(on_committed));
    on_proposal_();
}

void RecordLedger::confirm(const std::string& key, Done on_committed) {
    leader_.confirm(key, std::move(on_committed));
    on_proposal_();
}

void RecordLedger::remove_key(const std::string& key) {
    leader_.remove(key);
}

}  // namespace calicostall
