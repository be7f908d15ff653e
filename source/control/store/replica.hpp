/// What one disk has promised and holds: the accepting side of the replicated record.
///
/// Pure: every call that changes something returns the batch that is to be on the disk before the response leaves.
#pragma once
#include "control/store/replication_messages.hpp"
#include "control/store/write_batch.hpp"

namespace calicostall {

/// Example: auto [response, batch] = replica.write(request); disk.enqueue(batch, [response] { send(response); });
class Replica {
public:
    ReplicaId replica_id;
    /// No lower term is granted or accepted any more.
    Term promised_term;
    /// The last term whose leader has sent everything that it held.
    Term synchronized_term;
    /// The candidate that `promised_term` was given to. A disk written before this was recorded has none: then an equal
    /// term is refused to all.
    ReplicaId promised_to;
    /// The last term that this replica adopted: its registers count as of that term unless they say otherwise.
    Term adopted_term;
    std::map<std::string, Register> registers;
    /// The encoded BootstrapRecord, owned by `Bootstrap`.
    std::string bootstrap_record;

    /// Grants a higher term, or the same one again to the same candidate.
    /// @param trusted whether this daemon's failure detector trusts the candidate
    std::pair<PrepareResponse, WriteBatch> prepare(const PrepareRequest& request, bool trusted);

    /// Applies what the leader of the highest term writes; refuses (`stale_term`) a lower term, and an equal one that
    /// was promised to another candidate.
    std::pair<WriteResponse, WriteBatch> write(const WriteRequest& request);

    /// Puts a register in as it is: the first membership, on a replica that takes part in the bootstrap.
    WriteBatch install_register(const std::string& key, Register value);

    /// Reads one entry of the disk back: all of them in any order, then `finish_load` once.
    /// @return false when the entry can't be read
    bool load_entry(std::string_view name, std::string_view bytes);
    /// Gives every register the term it had; registers without a head are dropped.
    /// @return false when one was
    bool finish_load();

private:
    using RegisterIterator = std::map<std::string, Register>::iterator;

    Verdict evaluate(const PrepareRequest& request, bool trusted) const;
    bool can_promise(Term term, ReplicaId candidate) const;
    void promise(Term term, ReplicaId candidate, WriteBatch& batch);
    template <class Response>
    void show_promise(Response& response) const;
    void list_differences(const KeyRevisions& known_revisions, bool without_contents, PrepareResponse& response) const;

    void adopt_term(const WriteRequest& request, WriteBatch& batch);
    void apply_entries(const WriteRequest& request, WriteResponse& response, WriteBatch& batch);
    bool apply_entry(const WriteEntry& entry, WriteBatch& batch);
    Register* find_base(const WriteEntry& entry);
    void apply_purge(const Purge& purge, Term term, WriteBatch& batch);
    void complete_synchronization(Term term, WriteBatch& batch);
    RegisterIterator erase_register(RegisterIterator entry, WriteBatch& batch);

    bool load_head(const std::string& key, std::string_view bytes);
    bool load_own_entry(std::string_view name, std::string_view bytes);

    std::map<std::string, Term> adoption_stamps_;  // of the heads, while loading
};

}  // namespace calicostall
