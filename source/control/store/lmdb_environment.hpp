/// One LMDB environment with one table, as the replica's disk uses it: read once, then written by one thread.
///
/// Owns the environment's handle. Errors are LMDB's codes, 0 for success (`mdb_strerror` describes them).
#pragma once
#include <lmdb.h>

#include "common.hpp"
#include "control/store/write_batch.hpp"

namespace calicostall {

class LmdbEnvironment {
public:
    /// Called with the name and the bytes of each entry.
    using Visitor = std::function<void(const std::string& name, std::string_view bytes)>;

    /// @param folder where the environment's file lies
    /// @param max_bytes the size that the file never exceeds
    LmdbEnvironment(std::string folder, size_t max_bytes) : folder_(std::move(folder)), max_bytes_(max_bytes) {}
    ~LmdbEnvironment() { close(); }
    LmdbEnvironment(const LmdbEnvironment&) = delete;
    LmdbEnvironment& operator=(const LmdbEnvironment&) = delete;

    /// Opens the environment's file, which is made if there is none.
    int open();
    /// Opens the table and visits all of its entries, in the order of their names.
    int read(const Visitor& visit);
    /// Writes the batches in one transaction and waits until it is on the disk.
    /// @return whether it is; nothing of it is when it is not
    bool commit(const std::vector<const WriteBatch*>& batches);

private:
    /// A transaction that is aborted at its end unless it was committed.
    class Transaction {
    public:
        Transaction() = default;
        ~Transaction();
        Transaction(const Transaction&) = delete;
        Transaction& operator=(const Transaction&) = delete;
        int begin(MDB_env* environment, unsigned int flags);
        int commit();
        MDB_txn* handle() const { return handle_; }

    private:
        MDB_txn* handle_ = nullptr;
    };

    void close();
    bool reopen();
    int open_table_again();
    int begin_write(Transaction& transaction);
    int visit_entries(const Transaction& transaction, const Visitor& visit);

    std::string folder_;
    size_t max_bytes_;
    MDB_env* environment_ = nullptr;
    MDB_dbi table_ = 0;
};

}  // namespace calicostall
