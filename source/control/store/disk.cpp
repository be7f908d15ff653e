#include "control/store/disk.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

#include "shared/record/log.hpp"
#include "shared/time/clock.hpp"
#include "shared/wire/cbor.hpp"

namespace calicostall {

namespace {

constexpr std::int64_t default_map_mb = 64;
constexpr std::int64_t least_map_mb = 16;
constexpr auto retry_pause = std::chrono::milliseconds(100);

size_t map_bytes(std::int64_t capacity_mb) {
    std::int64_t wanted_mb = capacity_mb ? capacity_mb * 3 / 4 : default_map_mb;
    return size_t(std::max(least_map_mb, wanted_mb)) << 20;
}

// Makes the names in a folder durable: a file that was only synced itself may still lose its name.
// Returns 0 or the error number.
int sync_folder(const std::string& folder) {
    int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0) return errno;
    int code = ::fsync(handle) == 0 ? 0 : errno;
    ::close(handle);
    return code;
}

std::string parent_of(const std::string& folder) {
    std::filesystem::path path = std::filesystem::path(folder).lexically_normal();
    if (!path.has_filename()) path = path.parent_path();  // a separator at the end
    return path.has_parent_path() ? path.parent_path().string() : ".";
}

// Creates the folder if it is missing and makes a new one's own name durable.
std::string prepare_folder(const std::string& folder) {
    if (mkdir(folder.c_str(), 0755) != 0) return errno == EEXIST ? std::string() : std::strerror(errno);
    if (int code = sync_folder(parent_of(folder))) return std::strerror(code);
    return {};
}

MDB_val as_value(const std::string& bytes) {
    return {bytes.size(), const_cast<char*>(bytes.data())};
}

bool put_entry(MDB_txn* transaction, MDB_dbi table, const std::string& name, const std::string& bytes) {
    MDB_val key = as_value(name);
    MDB_val value = as_value(bytes);
    return mdb_put(transaction, table, &key, &value, 0) == 0;
}

bool delete_entry(MDB_txn* transaction, MDB_dbi table, const std::string& name) {
    MDB_val key = as_value(name);
    int code = mdb_del(transaction, table, &key, nullptr);
    return code == 0 || code == MDB_NOTFOUND;
}

bool apply_change(MDB_txn* transaction, MDB_dbi table, const Change& change) {
    for (const auto& [name, bytes] : change.entries) {
        bool good = bytes ? put_entry(transaction, table, name, *bytes) : delete_entry(transaction, table, name);
        if (!good) return false;
    }
    return true;
}

}  // namespace

std::string Disk::open(Replica& replica) {
    if (folder_.empty()) return {};
    if (std::string error = prepare_folder(folder_); !error.empty()) return error;
    if (int code = open_environment()) return mdb_strerror(code);
    if (int code = sync_folder(folder_)) return std::strerror(code);
    return load_all(replica);
}

int Disk::open_environment() {
    if (int code = mdb_env_create(&environment_)) return code;
    mdb_env_set_mapsize(environment_, map_bytes(capacity_mb_));
    // One process has the folder, so there is no lock file; the meta page is synced by hand after each commit.
    unsigned int flags = MDB_NOLOCK | MDB_NOMETASYNC | MDB_NORDAHEAD;
    return mdb_env_open(environment_, folder_.c_str(), flags, 0644);
}

// A commit that fails at its last write, the meta page's, marks the environment: no transaction begins in it ever
// after. What it holds is what was committed before, so it is opened anew, and the caller writes its batch again.
bool Disk::reopen_environment() {
    counters().add("disk_reopened");
    if (environment_) mdb_env_close(environment_);
    environment_ = nullptr;
    int code = open_environment();
    MDB_txn* transaction = nullptr;
    if (code == 0) code = mdb_txn_begin(environment_, nullptr, MDB_RDONLY, &transaction);
    if (code == 0) {
        code = mdb_dbi_open(transaction, nullptr, 0, &table_);
        const int ended = mdb_txn_commit(transaction);  // the table's handle stays only after a commit
        if (code == 0) code = ended;
    }
    if (code == 0) return true;
    if (environment_) mdb_env_close(environment_);
    environment_ = nullptr;
    return false;
}

int Disk::begin_transaction(MDB_txn** transaction) {
    int code = environment_ ? mdb_txn_begin(environment_, nullptr, 0, transaction) : MDB_PANIC;
    if (code != MDB_PANIC) return code;
    if (!reopen_environment()) return MDB_PANIC;
    return mdb_txn_begin(environment_, nullptr, 0, transaction);
}

std::string Disk::load_all(Replica& replica) {
    MDB_txn* transaction = nullptr;
    if (int code = mdb_txn_begin(environment_, nullptr, 0, &transaction)) return mdb_strerror(code);
    MDB_cursor* cursor = nullptr;
    int code = mdb_dbi_open(transaction, nullptr, 0, &table_);
    if (code == 0) code = mdb_cursor_open(transaction, table_, &cursor);
    if (code != 0) {
        mdb_txn_abort(transaction);
        return mdb_strerror(code);
    }
    MDB_val key, value;
    std::string unreadable;
    while ((code = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) == 0) {
        std::string name(static_cast<char*>(key.mv_data), key.mv_size);
        std::string_view bytes(static_cast<char*>(value.mv_data), value.mv_size);
        if (!replica.load(name, bytes)) unreadable = "the entry " + name + " cannot be read";
    }
    mdb_cursor_close(cursor);
    mdb_txn_commit(transaction);
    if (code != MDB_NOTFOUND) return mdb_strerror(code);
    if (!replica.finish_load() && unreadable.empty()) unreadable = "a value lacks its head";
    return unreadable;
}

bool Disk::write_identity(Identity identity) {
    return folder_.empty() || commit({}, identity);
}

Disk::~Disk() {
    {
        std::lock_guard guard(lock_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable()) thread_.join();
    if (environment_) mdb_env_close(environment_);
}

void Disk::start() {
    if (!folder_.empty()) thread_ = std::thread([this] { run(); });
}

bool Disk::is_stopping() const {
    std::lock_guard guard(lock_);
    return stopping_;
}

void Disk::put(Change change, Callback on_synced) {
    if (folder_.empty()) return on_synced();
    std::unique_lock guard(lock_);
    if (change.empty() && queue_.empty() && !busy_) {
        guard.unlock();
        return on_synced();
    }
    queue_.push_back({std::move(change), std::move(on_synced)});
    if (queue_.size() == 1 && !busy_) waiting_since_ = steady_now();
    wake_.notify_one();
}

Micros Disk::stalled_for(Micros now) const {
    std::lock_guard guard(lock_);
    return busy_ ? now - waiting_since_ : 0;
}

void Disk::run() {
    while (true) {
        std::vector<Item> batch;
        {
            std::unique_lock guard(lock_);
            wake_.wait(guard, [this] { return stopping_ || !queue_.empty(); });
            if (stopping_) return;
            busy_ = true;
            waiting_since_ = steady_now();
            batch.swap(queue_);
        }
        if (!write(batch)) return;
        {
            // The time that callbacks take does not count as the disk's.
            std::lock_guard guard(lock_);
            busy_ = false;
        }
        for (Item& item : batch)
            item.on_synced();
    }
}

// Tries until the disk takes the batch: nothing in it may be acknowledged before.
bool Disk::write(const std::vector<Item>& batch) {
    bool any = std::any_of(batch.begin(), batch.end(), [](const Item& item) { return !item.change.empty(); });
    if (!any) return true;
    while (!commit(batch, std::nullopt)) {
        counters().add("disk_errors");
        if (is_stopping()) return false;
        std::this_thread::sleep_for(retry_pause);
    }
    counters().add("disk_syncs");
    return true;
}

bool Disk::commit(const std::vector<Item>& batch, std::optional<Identity> identity) {
    MDB_txn* transaction = nullptr;
    if (begin_transaction(&transaction)) return false;
    bool good = !identity || put_entry(transaction, table_, "m/identity", pack(Epoch{identity->value}));
    for (const Item& item : batch)
        good = good && apply_change(transaction, table_, item.change);
    if (!good) {
        mdb_txn_abort(transaction);
        return false;
    }
    if (mdb_txn_commit(transaction)) return false;
    return mdb_env_sync(environment_, 1) == 0;
}

}  // namespace calicostall
