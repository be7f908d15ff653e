// The role `front`: takes clients' calls and passes each to the owner of its job.
#pragma once
#include "common.hpp"
#include "shared/http/listener.hpp"
#include "shared/http/loop.hpp"
#include "shared/http/slab.hpp"
#include "shared/news/locator.hpp"
#include "shared/settings/config.hpp"
#include "shared/settings/settings.hpp"

namespace calicostall {

// Times of the role `front`, in microseconds.
struct FrontSettings {
    Settings machine;
    Micros send_patience = milliseconds(900);
    Micros patience_most = milliseconds(1800);  // for one call, all sends together
    Micros pause = milliseconds(60);
    size_t waiting_most = 2000;
};

// One process of the role `front`. A call that waits is sent to the owner until one answer is final, or its time is up.
class Front {
public:
    Front(FrontSettings settings, Loop& loop);

    Findings open();
    // Ready with a configuration and a path to control.
    bool ready() const { return !draining_ && locator_.revision() > 0 && locator_.in_touch(steady_now()); }

    // Drains: no new clients are sent here, those that are here are served to the end. When the time for that is up,
    // what still waits gets its final answer, and whatever comes after it is refused at once; then `then` is called.
    void leave(const std::function<void()>& then);
    void take_settings(const Settings& machine) { locator_.add_seeds(machine.seed_replicas()); }

private:
    struct Waiting {
        Reply reply;
        CallAsk ask;
        Micros until = 0;
        size_t sends = 0;
        size_t choice = 0;  // which daemon is asked: the owner first
        size_t in_flight = 0;
        bool doubtful = false;  // a send may have been done
    };
    using Handle = Slab<Waiting>::Handle;

    void watch_drain(const std::function<void()>& then);
    // Every call that waits gets its final answer now.
    void end_calls();
    void take_news();
    void take(Request request);
    void send(Handle handle);
    void settle(Handle handle, const Answer& answer);
    void give_up(Handle handle);

    FrontSettings settings_;
    Loop& loop_;
    std::recursive_mutex lock_;
    Config config_;
    std::uint64_t config_revision_ = 0;  // the newest text that was read
    Slab<Waiting> waiting_;
    Epoch epoch_;
    Locator locator_;
    std::unique_ptr<Listener> front_, readiness_;
    std::atomic<bool> draining_{false};
    Micros last_call_ = 0;
    std::optional<Micros> drain_until_;  // no call waits longer than this
    bool ending_ = false;                // calls are refused at once
};

}  // namespace calicostall
