#include "side/side.hpp"

#include "shared/record/log.hpp"
#include "shared/time/clock.hpp"

namespace calicostall {

namespace {

constexpr size_t beat_bytes_most = 4 << 20;
constexpr Micros first_tick = milliseconds(100);
constexpr Micros tick_idle = milliseconds(200), tick_busy = milliseconds(50);
constexpr Micros counters_every = seconds(5);

}  // namespace

Side::Side(SideSettings settings, Loop& loop)
    : settings_(std::move(settings)),
      loop_(loop),
      locator_({settings_.machine.node, settings_.machine.seed_replicas(), 2, seconds(5), false}, loop,
               [this] { take_news(); }),
      answer_timeout_(settings_.answer_timeout) {
    std::random_device device;
    incarnation_ = (std::uint64_t(device()) << 31 | device()) | 1;
}

Findings Side::open() {
    Findings findings;
    const std::string& address = settings_.machine.control;
    if (!address.empty()) try {
            control_ = std::make_unique<Listener>(address, Listener::Limits{.body_bytes = beat_bytes_most},
                                                  [this](Request request) { take(std::move(request)); });
            control_->open();
        } catch (const std::exception& error) {
            findings.add("bind_addrs.control", fmt::format("{}: {}", address, error.what()));
        }
    locator_.open();
    loop_.after(first_tick, [this] { tick(); });
    return findings;
}

void Side::leave(std::function<void()> then) {
    log_line("side", "leaving");
    loop_.after(milliseconds(200), std::move(then));
}

void Side::take_settings(const Settings& machine) {
    locator_.add_seeds(machine.seed_replicas());
}

void Side::tick() {
    std::lock_guard guard(lock_);
    Micros now = steady_now();
    if (asks_in_flight_ == 0 && ask_tries_ == 0) ask_owner(Haste::resting);
    work(now);
    log_counters(now);
    bool idle = starts_.empty() && stops_.empty() && active_ == 0;
    loop_.after(idle ? tick_idle : tick_busy, [this] { tick(); });
}

// Sends to the worker what is due.
void Side::work(Micros now) {
    if (!worker_) return;
    for (auto& [key, pending] : stops_)
        if (!pending.in_flight && now >= pending.next_at) send_stop(key, pending);
    // The worker learns the fence of a new owner before any of its starts.
    if (fence_shown_ < epoch_) {
        if (!polling_ && now >= next_poll_) poll(0);
        return;
    }
    send_orders(now);
    poll_if_due(now);
}

void Side::log_counters(Micros now) {
    if (now - counted_at_ <= counters_every) return;
    counted_at_ = now;
    std::string text = counters().changed_text();
    if (!text.empty()) log_line("counters", "{}", text);
}

}  // namespace calicostall
