#include "control/store/disk.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

#include "shared/diagnostics/log.hpp"
#include "shared/time/clock.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

namespace {

// Where the size of the disk is unknown.
constexpr std::int64_t default_map_mb = 64;
constexpr std::int64_t min_map_mb = 16;
// Between two attempts to write a batch that the disk refused.
constexpr auto retry_backoff = std::chrono::milliseconds(100);
constexpr mode_t folder_mode = 0755;

size_t map_bytes(std::int64_t capacity_mb) {
    const std::int64_t map_mb = capacity_mb ? capacity_mb * 3 / 4 : default_map_mb;
    return size_t(std::max(min_map_mb, map_mb)) << 20;
}

std::optional<DiskError> folder_error(int error_code) {
    if (error_code == 0) return std::nullopt;
    return DiskError{DiskError::Kind::folder, std::strerror(error_code)};
}

std::optional<DiskError> environment_error(int error_code) {
    if (error_code == 0) return std::nullopt;
    return DiskError{DiskError::Kind::environment, mdb_strerror(error_code)};
}

// Makes the names in a folder durable: a file that was only synced itself may still lose its name.
// Returns 0 or the error number.
int sync_folder(const std::string& folder) {
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return errno;
    const int error_code = ::fsync(descriptor) == 0 ? 0 : errno;
    ::close(descriptor);
    return error_code;
}

std::string parent_of(const std::string& folder) {
    std::filesystem::path path = std::filesystem::path(folder).lexically_normal();
    if (!path.has_filename()) path = path.parent_path();  // a separator at the end
    return path.has_parent_path() ? path.parent_path().string() : ".";
}

// Creates the folder if it is missing and makes a new one's own name durable. Returns 0 or the error number.
int create_folder(const std::string& folder) {
    if (mkdir(folder.c_str(), folder_mode) != 0) return errno == EEXIST ? 0 : errno;
    return sync_folder(parent_of(folder));
}

}  // namespace

Disk::Disk(std::string folder, std::int64_t capacity_mb)
    : folder_(std::move(folder)), environment_(folder_, map_bytes(capacity_mb)) {}

Disk::~Disk() {
    {
        std::lock_guard guard(mutex_);
        stopping_ = true;
    }
    queue_changed_.notify_all();
    if (thread_.joinable()) thread_.join();
}

// --- start ---

std::optional<DiskError> Disk::open(Replica& replica) {
    if (folder_.empty()) return std::nullopt;
    if (auto error = folder_error(create_folder(folder_))) return error;
    if (auto error = environment_error(environment_.open())) return error;
    if (auto error = folder_error(sync_folder(folder_))) return error;
    return load(replica);
}

std::optional<DiskError> Disk::load(Replica& replica) {
    std::string unreadable;
    const int error_code = environment_.read([&](const std::string& name, std::string_view bytes) {
        if (!replica.load_entry(name, bytes)) unreadable = "the entry " + name + " cannot be read";
    });
    if (auto error = environment_error(error_code)) return error;
    if (!replica.finish_load() && unreadable.empty()) unreadable = "a value lacks its head";
    if (unreadable.empty()) return std::nullopt;
    return DiskError{DiskError::Kind::record, unreadable};
}

bool Disk::write_replica_id(ReplicaId replica_id) {
    if (folder_.empty()) return true;
    WriteBatch batch;
    batch.put(replica_id_entry, encode(Term{replica_id.value}));
    return environment_.commit({&batch});
}

void Disk::start() {
    if (!folder_.empty()) thread_ = std::thread([this] { run(); });
}

// --- the queue ---

void Disk::enqueue(WriteBatch batch, Callback on_synced) {
    if (folder_.empty()) return on_synced();
    std::unique_lock guard(mutex_);
    if (batch.empty() && queue_.empty() && !writing_) {
        guard.unlock();
        return on_synced();
    }
    queue_.push_back({std::move(batch), std::move(on_synced)});
    if (queue_.size() == 1 && !writing_) waiting_since_ = steady_now();
    queue_changed_.notify_one();
}

Micros Disk::stalled_for(Micros now) const {
    std::lock_guard guard(mutex_);
    return writing_ ? now - waiting_since_ : 0;
}

bool Disk::is_stopping() const {
    std::lock_guard guard(mutex_);
    return stopping_;
}

// --- the writing thread ---

void Disk::run() {
    while (true) {
        const std::vector<QueuedWrite> writes = take_writes();
        if (writes.empty() || !write(writes)) return;
        {
            // The time that callbacks take does not count as the disk's.
            std::lock_guard guard(mutex_);
            writing_ = false;
        }
        for (const QueuedWrite& item : writes)
            item.on_synced();
    }
}

std::vector<Disk::QueuedWrite> Disk::take_writes() {
    std::unique_lock guard(mutex_);
    queue_changed_.wait(guard, [this] { return stopping_ || !queue_.empty(); });
    if (stopping_) return {};
    writing_ = true;
    waiting_since_ = steady_now();
    return std::exchange(queue_, {});
}

bool Disk::write(const std::vector<QueuedWrite>& writes) {
    std::vector<const WriteBatch*> batches;
    for (const QueuedWrite& item : writes)
        if (!item.batch.empty()) batches.push_back(&item.batch);
    if (batches.empty()) return true;
    while (!environment_.commit(batches)) {
        counters().add("disk_errors");
        if (is_stopping()) return false;
        std::this_thread::sleep_for(retry_backoff);
    }
    counters().add("disk_syncs");
    return true;
}

}  // namespace calicostall
