// The replica's disk: what is durable when `open` and `put` have answered. The system's sync calls are observed by
// definitions of this executable's own, which pass on to the kernel.
#include "control/store/disk.hpp"

#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <filesystem>
#include <future>

#include "check.hpp"

namespace {

std::mutex synced_lock;
std::set<ino_t> synced_files;

void note_sync(int handle) {
    struct stat found {};
    if (fstat(handle, &found) != 0) return;
    std::lock_guard guard(synced_lock);
    synced_files.insert(found.st_ino);
}

bool was_synced(const std::string& path) {
    struct stat found {};
    if (stat(path.c_str(), &found) != 0) return false;
    std::lock_guard guard(synced_lock);
    return synced_files.contains(found.st_ino);
}

}  // namespace

extern "C" int fsync(int handle) {
    note_sync(handle);
    return int(syscall(SYS_fsync, handle));
}

namespace calicostall::tests {
namespace {

struct TemporaryFolder {
    std::string path;
    TemporaryFolder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "calicostall-disk-XXXXXX").string();
        path = mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

void put_and_wait(Disk& disk, Change change) {
    std::promise<void> synced;
    disk.put(std::move(change), [&synced] { synced.set_value(); });
    synced.get_future().wait();
}

// A new file's name may be lost with the power unless its folder was synced; so may a new folder's.
void a_new_disk_has_durable_names() {
    TemporaryFolder outer;
    std::string folder = outer.path + "/data";
    Replica replica;
    Disk disk(folder, 0);
    EXPECT(disk.open(replica).empty());
    EXPECT(std::filesystem::exists(folder + "/data.mdb"));
    EXPECT_SAID(was_synced(folder), "the folder that holds data.mdb is synced");
    EXPECT_SAID(was_synced(outer.path), "the folder that holds the new folder is synced");
}

void what_was_synced_is_loaded_again() {
    TemporaryFolder outer;
    std::string folder = outer.path + "/data";
    Replica written;
    written.identity = Identity{7};
    auto* disk = new Disk(folder, 0);  // its thread runs until the process ends
    EXPECT(disk->open(written).empty());
    EXPECT(disk->write_identity(written.identity));
    disk->start();
    put_and_wait(*disk, written.found("core", Register{Epoch{0}, Version{1}, {}, "members", {{3, "part"}}}));

    Replica loaded;
    Disk again(folder, 0);
    EXPECT(again.open(loaded).empty());
    EXPECT(loaded.identity == written.identity);
    EXPECT(loaded.registers == written.registers);
}

// A daemon whose start fails is destroyed with its disk: the writing thread is gone before what it works on.
// (Without that the thread sanitizer reports races on the queue and the condition variable.)
void a_disk_ends_with_its_thread() {
    for (int round = 0; round < 20; ++round) {
        TemporaryFolder outer;
        Replica replica;
        auto disk = std::make_unique<Disk>(outer.path + "/data", 0);
        EXPECT(disk->open(replica).empty());
        disk->start();
        std::atomic<int> synced{0};
        for (std::uint64_t number = 1; number <= 50; ++number) {
            const Register value{Epoch{1}, Version{number}, {}, "value", {}};
            disk->put(replica.found("job/1", value), [&synced] { ++synced; });
        }
        disk.reset();
        // What was told as synced is there, and nothing is told any more.
        Replica loaded;
        Disk again(outer.path + "/data", 0);
        EXPECT(again.open(loaded).empty());
        if (synced > 0) EXPECT(loaded.registers.contains("job/1"));
    }
}

void an_unusable_folder_is_an_error() {
    TemporaryFolder outer;
    Replica replica;
    Disk missing(outer.path + "/missing/data", 0);
    EXPECT(!missing.open(replica).empty());
}

}  // namespace
}  // namespace calicostall::tests

int main() {
    using namespace calicostall::tests;
    a_new_disk_has_durable_names();
    what_was_synced_is_loaded_again();
    a_disk_ends_with_its_thread();
    an_unusable_folder_is_an_error();
    return result();
}
