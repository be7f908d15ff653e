// What the replica has on its disk: LMDB, written by one thread, many changes to one sync.
#pragma once
#include <lmdb.h>
#include <sys/stat.h>

#include "common.hpp"
#include "control/store/replica.hpp"
#include "shared/record/log.hpp"
#include "shared/wire/cbor.hpp"

namespace calicostall {

class Disk {
public:
    using Told = std::function<void()>;

    // An empty folder name means a daemon without a disk: what it holds is gone with it.
    Disk(std::string folder, std::int64_t room_mb) : folder_(std::move(folder)), room_mb_(room_mb) {}

    // Opens the folder and reads all of it. Returns the error as a text, empty when there was none.
    // Example: Replica replica; if (std::string error = disk.open(replica); !error.empty()) ...
    std::string open(Replica& replica) {
        if (folder_.empty()) return {};
        mkdir(folder_.c_str(), 0755);
        if (int code = mdb_env_create(&environment_)) return mdb_strerror(code);
        mdb_env_set_mapsize(environment_, size_t(std::max<std::int64_t>(16, room_mb_ ? room_mb_ * 3 / 4 : 64)) << 20);
        // One process has the folder, so no lock file; the meta page is synced by hand after each commit.
        if (int code = mdb_env_open(environment_, folder_.c_str(), MDB_NOLOCK | MDB_NOMETASYNC | MDB_NORDAHEAD, 0644))
            return mdb_strerror(code);
        MDB_txn* transaction = nullptr;
        if (int code = mdb_txn_begin(environment_, nullptr, 0, &transaction)) return mdb_strerror(code);
        if (int code = mdb_dbi_open(transaction, nullptr, 0, &table_))
            return mdb_txn_abort(transaction), mdb_strerror(code);
        MDB_cursor* cursor = nullptr;
        if (int code = mdb_cursor_open(transaction, table_, &cursor))
            return mdb_txn_abort(transaction), mdb_strerror(code);
        MDB_val key, value;
        std::string unreadable;
        while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0) {
            std::string name(static_cast<char*>(key.mv_data), key.mv_size);
            std::string_view bytes(static_cast<char*>(value.mv_data), value.mv_size);
            if (!replica.load(name, bytes)) unreadable = "the entry " + name + " cannot be read";
        }
        mdb_cursor_close(cursor);
        mdb_txn_commit(transaction);
        if (!replica.finish_load() && unreadable.empty()) unreadable = "a value lacks its head";
        return unreadable;
    }
    // Writes at once; for the very first entries of a new disk.
    bool write_identity(Identity identity) {
        identity_ = identity;
        if (folder_.empty()) return true;
        return commit({}, true);
    }
    void start() {
        if (!folder_.empty()) std::thread([this] { run(); }).detach();
    }
    // `told` is called on the disk's thread once the change, and all earlier ones, are synced; it must be short and
    // wait for nothing, as the next sync begins only after it.
    void put(Change change, Told told) {
        if (folder_.empty()) return told();
        std::unique_lock guard(lock_);
        if (change.empty() && queue_.empty() && !busy_) {
            guard.unlock();
            return told();
        }
        queue_.push_back({std::move(change), std::move(told)});
        if (queue_.size() == 1 && !busy_) waiting_since_ = steady_now();
        wake_.notify_one();
    }
    // How long the disk has kept the oldest change waiting.
    Micros stalled_for(Micros now) const {
        std::lock_guard guard(lock_);
        return busy_ ? now - waiting_since_ : 0;
    }

private:
    struct Item {
        Change change;
        Told told;
    };
    void run() {
        while (true) {
            std::vector<Item> batch;
            {
                std::unique_lock guard(lock_);
                wake_.wait(guard, [this] { return !queue_.empty(); });
                busy_ = true;
                waiting_since_ = steady_now();
                batch.swap(queue_);
            }
            bool any = std::any_of(batch.begin(), batch.end(), [](const Item& item) { return !item.change.empty(); });
            while (any && !commit(batch, false)) {
                counters().add("disk_errors");
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
            }
            counters().add("disk_syncs", any);
            {
                // What is told takes no time of the disk's.
                std::lock_guard guard(lock_);
                busy_ = false;
            }
            for (Item& item : batch)
                item.told();
        }
    }
    bool commit(const std::vector<Item>& batch, bool identity) {
        MDB_txn* transaction = nullptr;
        if (mdb_txn_begin(environment_, nullptr, 0, &transaction)) return false;
        auto put = [&](const std::string& name, const std::string& bytes) {
            MDB_val key{name.size(), const_cast<char*>(name.data())},
                value{bytes.size(), const_cast<char*>(bytes.data())};
            return mdb_put(transaction, table_, &key, &value, 0) == 0;
        };
        bool good = true;
        if (identity) good = put("m/identity", pack(Epoch{identity_.value}));
        for (const Item& item : batch) {
            for (const auto& [name, bytes] : item.change.entries) {
                if (bytes) {
                    good = good && put(name, *bytes);
                } else {
                    MDB_val key{name.size(), const_cast<char*>(name.data())};
                    int code = mdb_del(transaction, table_, &key, nullptr);
                    good = good && (code == 0 || code == MDB_NOTFOUND);
                }
            }
        }
        if (!good) {
            mdb_txn_abort(transaction);
            return false;
        }
        if (mdb_txn_commit(transaction)) return false;
        return mdb_env_sync(environment_, 1) == 0;
    }

    std::string folder_;
    std::int64_t room_mb_;
    MDB_env* environment_ = nullptr;
    MDB_dbi table_ = 0;
    Identity identity_;
    mutable std::mutex lock_;
    std::condition_variable wake_;
    std::vector<Item> queue_;
    bool busy_ = false;
    Micros waiting_since_ = 0;
};

}  // namespace calicostall
