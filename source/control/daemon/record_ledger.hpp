// Where the scheduler's proposals go: to the replicated record, by way of the leader. Owns nothing.
#pragma once
#include "control/jobs/scheduler.hpp"
#include "control/store/leader.hpp"

namespace calicostall {

// Passes each proposal on to the leader and tells the daemon that something is waiting to be sent.
// Example: RecordLedger ledger(leader, [this] { iterations_.mark_requested(); });
//          Scheduler<RecordLedger> scheduler(settings, ledger);
class RecordLedger {
public:
    // Called with true once committed, with false when this daemon is no longer the leader: then it may or may not be.
    using Done = std::function<void(bool committed)>;

    RecordLedger(Leader& leader, std::function<void()> on_proposal);

    // Proposes the key's next value; committed once a majority has it.
    void propose(const std::string& key, std::optional<std::string> immutable, Mutation mutation, Done on_committed);
    // Committed once a majority has confirmed the present value after this call.
    void confirm(const std::string& key, Done on_committed);
    // Forgets a key for good.
    void remove_key(const std::string& key);

private:
    Leader& leader_;
    std::function<void()> on_proposal_;
};

// Instantiated once, in record_ledger.cpp.
extern template class Scheduler<RecordLedger>;

}  // namespace calicostall
