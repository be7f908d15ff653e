// Virtual time: events in their order, and the event loop of a simulated process.
#pragma once
#include "common.hpp"
#include "shared/http/event_loop.hpp"

namespace calicostall::tests {

// Runs actions in the order of their times, and of their scheduling where these are equal.
class VirtualClock {
public:
    Micros now() const { return now_; }
    void schedule(Micros delay, std::function<void()> action) {
        events_.emplace(std::pair(now_ + std::max<Micros>(0, delay), ++scheduled_), std::move(action));
    }
    void run_until(Micros end) {
        while (!events_.empty() && events_.begin()->first.first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key().first;
            event.mapped()();
        }
        now_ = end;
    }

private:
    Micros now_ = seconds(1000);
    std::uint64_t scheduled_ = 0;
    std::map<std::pair<Micros, std::uint64_t>, std::function<void()>> events_;
};

// The loop of one process after another. What an ended process has sent or scheduled never comes back to its successor;
// what comes to a frozen one waits for its waking.
class VirtualLoop : public EventLoop {
public:
    using Network = std::function<void(const ClientRequest&, const ResponseHandler&)>;

    // A new world: its clock, and what takes the requests that the process sends.
    void join(VirtualClock& clock, Network network) {
        end_process();
        clock_ = &clock;
        network_ = std::move(network);
    }
    void end_process() {
        ++process_;
        is_frozen_ = false;
        held_.clear();
    }
    void freeze() { is_frozen_ = true; }
    void wake() {
        is_frozen_ = false;
        for (std::function<void()>& action : std::exchange(held_, {}))
            run_after(0, std::move(action));
    }

    Micros now() const override { return clock_->now(); }
    void run_after(Micros delay, std::function<void()> action) override {
        clock_->schedule(delay, [this, process = process_, action = std::move(action)] {
            if (process != process_) return;
            is_frozen_ ? held_.push_back(action) : action();
        });
    }
    void send(ClientRequest request, ResponseHandler on_response) override {
        // Whichever comes first, the response or the end of the time for it, is the outcome.
        auto is_over = std::make_shared<bool>(false);
        auto finish = [this, process = process_, is_over, on_response](ClientResponse response) {
            if (process != process_) return;
            run_after(0, [is_over, on_response, response = std::move(response)] {
                if (!std::exchange(*is_over, true)) on_response(response);
            });
        };
        clock_->schedule(request.timeout, [finish] { finish({ClientResponse::Outcome::unknown, 0, {}}); });
        network_(request, finish);
    }

private:
    VirtualClock* clock_ = nullptr;
    Network network_;
    std::uint64_t process_ = 0;
    bool is_frozen_ = false;
    std::vector<std::function<void()>> held_;
};

}  // namespace calicostall::tests
