// Carries the messages by which the first daemons form a membership, and keeps what they decide on the disk. Owns the
// state machine `Bootstrap`, which decides.
#pragma once
#include "common.hpp"
#include "control/daemon/iteration_scheduler.hpp"
#include "control/membership/bootstrap.hpp"
#include "control/store/disk.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

// All functions are to be called under the daemon's mutex.
// Example: BootstrapCoordinator bootstrap(loop, mutex, disk, replica, iterations, settings.machine);
//          bootstrap.start(own_address); ... bootstrap.send_messages(now);
class BootstrapCoordinator {
public:
    BootstrapCoordinator(EventLoop& loop, std::recursive_mutex& mutex, Disk& disk, Replica& replica,
                         IterationScheduler& iterations, const Settings& machine);

    // To be called once, when the replica was loaded from its disk; before that nothing else here does anything.
    void start(const std::string& own_address);
    // The settings' seeds have changed.
    void change_seeds(const std::vector<std::string>& seeds);
    // Whether this daemon collects votes and has no membership yet.
    bool is_collecting_votes() const;

    void send_messages(Micros now);
    // When `send_messages` has something to send by time alone.
    std::optional<Micros> next_message_at() const;
    // `respond` is called, on the disk's thread, once what the response says is durable.
    void on_request(const BootstrapRequest& request, std::function<void(BootstrapResponse)> respond);
    // A membership was heard of that this daemon may not be in.
    void on_active_membership_observed();

private:
    void send(const BootstrapMessage& message);
    // Writes the batch to the disk and the log lines to the log. `on_persisted` is called on the disk's thread;
    // `Bootstrap` learns it on the loop's.
    void persist(
        WriteBatch batch, std::function<void()> on_persisted = [] {});

    EventLoop& loop_;
    std::recursive_mutex& mutex_;
    Disk& disk_;
    Replica& replica_;
    IterationScheduler& iterations_;
    const Settings& machine_;
    std::optional<Bootstrap> bootstrap_;
};

}  // namespace calicostall
