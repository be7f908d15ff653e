#include "control/daemon/record_ledger.hpp"

namespace calicostall {

template class Scheduler<RecordLedger>;

RecordLedger::RecordLedger(Owner& owner, std::function<void()> on_proposal)
    : owner_(owner), on_proposal_(std::move(on_proposal)) {}

void RecordLedger::propose(const std::string& key, std::optional<std::string> fixed, Patch patch, Done done) {
    owner_.propose(key, std::move(fixed), std::move(patch), std::move(done));
    on_proposal_();
}

void RecordLedger::confirm(const std::string& key, Done done) {
    owner_.confirm(key, std::move(done));
    on_proposal_();
}

void RecordLedger::bury(const std::string& key) {
    owner_.remove(key);
}

}  // namespace calicostall
