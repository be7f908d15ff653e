/// The durable side of a replica: many batches to one sync, written by one thread.
///
/// Owns the LMDB environment and the writing thread. Between `start` and the destructor only that thread touches the
/// environment; the queue is guarded by a mutex.
#pragma once
#include "common.hpp"
#include "control/store/lmdb_environment.hpp"
#include "control/store/replica.hpp"

namespace calicostall {

/// Why a disk can't be used.
struct DiskError {
    enum class Kind {
        folder,       // it can't be made or synced
        environment,  // LMDB refuses it
        record,       // an entry, or the record as a whole, can't be read
    };
    Kind kind = Kind::folder;
    std::string text;  // for the operator
};

class Disk {
public:
    using Callback = std::function<void()>;

    /// @param folder where the environment lies; empty for a daemon without a disk, whose record is gone when it ends
    /// @param capacity_mb the disk's size in megabytes, 0 if unknown; the environment takes three quarters at most
    Disk(std::string folder, std::int64_t capacity_mb);
    /// Ends the writing thread; what is not synced by then is dropped without its callback.
    ~Disk();
    Disk(const Disk&) = delete;
    Disk& operator=(const Disk&) = delete;

    /// Opens the environment and loads all of it into `replica`. A new environment's name is durable afterwards.
    /// @return the error, none when the disk can be used
    /// Example: if (std::optional<DiskError> error = disk.open(replica)) findings.add("data_dir", error->text);
    std::optional<DiskError> open(Replica& replica);

    /// Writes the replica id of a new disk and waits for the sync.
    /// @return false when the disk takes no writes
    bool write_replica_id(ReplicaId replica_id);

    /// Starts the writing thread; to be called once, after `open`.
    void start();

    /// Queues `batch`. `on_synced` is called on the writing thread once this batch and all earlier ones are synced;
    /// it must be short and must not wait, as the next sync begins only after it.
    void enqueue(WriteBatch batch, Callback on_synced);

    /// For how long, in microseconds, the oldest batch under way has been waiting; 0 when the disk is idle.
    Micros stalled_for(Micros now) const;

private:
    struct QueuedWrite {
        WriteBatch batch;
        Callback on_synced;
    };

    std::optional<DiskError> load(Replica& replica);
    void run();
    /// Waits for writes and takes them; none when the disk is being destroyed.
    std::vector<QueuedWrite> take_writes();
    /// Tries until the disk takes the writes: nothing in them may be acknowledged before.
    /// @return false when the disk is being destroyed before it took them
    bool write(const std::vector<QueuedWrite>& writes);
    bool is_stopping() const;

    std::string folder_;
    LmdbEnvironment environment_;
    mutable std::mutex mutex_;
    std::condition_variable queue_changed_;
    std::vector<QueuedWrite> queue_;
    bool writing_ = false;
    bool stopping_ = false;
    Micros waiting_since_ = 0;
    std::thread thread_;
};

}  // namespace calicostall
