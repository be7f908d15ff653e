#include "control/store/lmdb_environment.hpp"

#include "shared/diagnostics/log.hpp"

namespace calicostall {

namespace {

constexpr mdb_mode_t file_mode = 0644;

// LMDB takes keys and values by a pointer that it doesn't write through.
MDB_val as_value(const std::string& bytes) {
    return {bytes.size(), const_cast<char*>(bytes.data())};
}

std::string_view as_bytes(const MDB_val& value) {
    return {static_cast<const char*>(value.mv_data), value.mv_size};
}

bool put_entry(MDB_txn* transaction, MDB_dbi table, const std::string& name, const std::string& bytes) {
    MDB_val key = as_value(name);
    MDB_val value = as_value(bytes);
    return mdb_put(transaction, table, &key, &value, 0) == 0;
}

bool delete_entry(MDB_txn* transaction, MDB_dbi table, const std::string& name) {
    MDB_val key = as_value(name);
    const int error_code = mdb_del(transaction, table, &key, nullptr);
    return error_code == 0 || error_code == MDB_NOTFOUND;
}

bool apply_batch(MDB_txn* transaction, MDB_dbi table, const WriteBatch& batch) {
    for (const auto& [name, bytes] : batch.entries) {
        const bool is_applied =
            bytes ? put_entry(transaction, table, name, *bytes) : delete_entry(transaction, table, name);
        if (!is_applied) return false;
    }
    return true;
}

}  // namespace

// --- transactions ---

LmdbEnvironment::Transaction::~Transaction() {
    if (handle_) mdb_txn_abort(handle_);
}

int LmdbEnvironment::Transaction::begin(MDB_env* environment, unsigned int flags) {
    return mdb_txn_begin(environment, nullptr, flags, &handle_);
}

int LmdbEnvironment::Transaction::commit() {
    return mdb_txn_commit(std::exchange(handle_, nullptr));
}

// --- the environment ---

int LmdbEnvironment::open() {
    if (int error_code = mdb_env_create(&environment_)) return error_code;
    mdb_env_set_mapsize(environment_, max_bytes_);
    // One process has the folder, so there is no lock file; the meta page is synced by hand after each commit.
    const unsigned int flags = MDB_NOLOCK | MDB_NOMETASYNC | MDB_NORDAHEAD;
    return mdb_env_open(environment_, folder_.c_str(), flags, file_mode);
}

void LmdbEnvironment::close() {
    if (environment_) mdb_env_close(environment_);
    environment_ = nullptr;
}

// A commit that fails at its last write, the meta page's, marks the environment: no transaction begins in it ever
// after. What it holds is what was committed before, so it is opened anew, and the caller commits again.
bool LmdbEnvironment::reopen() {
    counters().add("disk_reopened");
    close();
    const int error_code = open();
    if (error_code == 0 && open_table_again() == 0) return true;
    close();
    return false;
}

int LmdbEnvironment::open_table_again() {
    Transaction transaction;
    if (int error_code = transaction.begin(environment_, MDB_RDONLY)) return error_code;
    const int error_code = mdb_dbi_open(transaction.handle(), nullptr, 0, &table_);
    const int commit_code = transaction.commit();  // the table's handle stays only after a commit
    return error_code ? error_code : commit_code;
}

// --- reading ---

int LmdbEnvironment::read(const Visitor& visit) {
    Transaction transaction;
    if (int error_code = transaction.begin(environment_, 0)) return error_code;
    if (int error_code = mdb_dbi_open(transaction.handle(), nullptr, 0, &table_)) return error_code;
    const int error_code = visit_entries(transaction, visit);
    if (error_code) return error_code;
    transaction.commit();
    return 0;
}

int LmdbEnvironment::visit_entries(const Transaction& transaction, const Visitor& visit) {
    MDB_cursor* cursor = nullptr;
    if (int error_code = mdb_cursor_open(transaction.handle(), table_, &cursor)) return error_code;
    MDB_val key;
    MDB_val value;
    int error_code = 0;
    while ((error_code = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) == 0)
        visit(std::string(as_bytes(key)), as_bytes(value));
    mdb_cursor_close(cursor);
    return error_code == MDB_NOTFOUND ? 0 : error_code;
}

// --- writing ---

int LmdbEnvironment::begin_write(Transaction& transaction) {
    const int error_code = environment_ ? transaction.begin(environment_, 0) : MDB_PANIC;
    if (error_code != MDB_PANIC) return error_code;
    if (!reopen()) return MDB_PANIC;
    return transaction.begin(environment_, 0);
}

bool LmdbEnvironment::commit(const std::vector<const WriteBatch*>& batches) {
    Transaction transaction;
    if (begin_write(transaction)) return false;
    for (const WriteBatch* batch : batches)
        if (!apply_batch(transaction.handle(), table_, *batch)) return false;
    if (transaction.commit()) return false;
    return mdb_env_sync(environment_, 1) == 0;
}

}  // namespace calicostall
