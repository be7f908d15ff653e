/// The control daemons that the leader knows beside the members, and when it announces itself to them.
///
/// After a restart, a daemon without a disk knows nobody but the seeds of its settings. Those may all be outside the
/// membership, restarted as well, and know nobody either. So the ones who remember go to the ones who can't: the
/// directory is a register of the replicated record, on the disks of a majority, and whoever leads announces itself to
/// every address in it, again and again. A front or an agent then finds the leader through any seed that runs.
///
/// Owned by the daemon, at work during a leadership. Pure: time is passed in, the caller proposes and sends.
/// All times are microseconds of the monotonic clock.
#pragma once
#include "common.hpp"
#include "control/store/register.hpp"

namespace calicostall {

/// The key of the record under which the directory is stored.
inline constexpr const char* directory_key = "daemons";

/// The directory as it is stored. `describe` lists the fields in the order of the disk: it never changes.
struct DirectoryRecord {
    std::vector<std::string> addresses;  // of replicas
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(addresses);
    }
};

struct DaemonDirectorySettings {
    /// Between two rounds of announcements.
    Micros announcement_interval = seconds(1);
    /// An address where nobody was heard for so long is forgotten; longer than any network partition lasts.
    Micros retention = seconds(24 * 3600);
    /// Above this the address that was silent for longest is forgotten.
    size_t max_addresses = 128;
};

/// Example: directory.begin_term(found, now); directory.add("10.0.0.9:7720", now);
///          if (auto record = directory.next_proposal(now)) propose(directory_key, *record);
///          for (const std::string& address : directory.announcements_due(seeds, members, now)) send(address);
class DaemonDirectory {
public:
    explicit DaemonDirectory(DaemonDirectorySettings settings = {}) : settings_(settings) {}

    /// A leadership begins with the directory that the record holds, null when it holds none. The first round of
    /// announcements is due at once.
    void begin_term(const Register* record, Micros now);
    /// Forgets everything.
    void end_term();

    /// A daemon outside the membership was heard of: it registered, or it was removed from the membership.
    void add(const std::string& address, Micros now);
    /// An announcement was answered there.
    void on_answered(const std::string& address, Micros now);

    /// The record's next value, encoded; nothing while it is up to date or a proposal is under way.
    std::optional<std::string> next_proposal(Micros now);
    /// The proposal under way is committed.
    void on_committed() { is_proposal_under_way_ = false; }

    /// Whom to announce the leader to now: the directory and the leader's own seeds, but for `excluded`, the members.
    /// Each call that returns addresses begins a new interval.
    std::set<std::string> announcements_due(const std::vector<std::string>& seeds,
                                            const std::set<std::string>& excluded, Micros now);

    size_t size() const { return last_heard_at_.size(); }

private:
    void forget_silent(Micros now);

    DaemonDirectorySettings settings_;
    std::map<std::string, Micros> last_heard_at_;  // by address
    Micros next_round_at_ = 0;
    bool has_changed_ = false;
    bool is_proposal_under_way_ = false;
};

}  // namespace calicostall
