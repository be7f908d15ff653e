// A worker as the worker protocol describes it, in virtual time: a stop takes its time, a status query waits for an
// end, and a limited number of ends is listed at once. It keeps what happened to each run, by which the rules are
// judged.
#pragma once
#include <boost/json.hpp>

#include "reconciliation/virtual_loop.hpp"

namespace calicostall::tests {

// What a worker has seen of one run; -1: not yet.
struct RunHistory {
    std::string worker_id, task, outcome;
    std::uint32_t run = 0;
    Micros started_at = 0, ended_at = -1, noted_at = -1;
    bool has_lapsed_since = false;  // the lease ran out between the end and its note
};

class ProtocolWorker {
public:
    struct Settings {
        size_t max_listed_ends = 3;
        Micros stop_duration = milliseconds(300);
        Micros max_wait = seconds(2);
    };
    using Respond = std::function<void(int status, const std::string& body)>;

    ProtocolWorker(VirtualClock& clock, std::string worker_id, Settings settings, std::vector<RunHistory>& history)
        : clock_(clock), worker_id_(std::move(worker_id)), settings_(settings), history_(history) {}

    const std::string& worker_id() const { return worker_id_; }
    std::int64_t clock_ms() const { return clock_.now() / 1000; }
    std::vector<std::string> active_tasks() {
        advance();
        std::vector<std::string> tasks;
        for (const auto& [key, run] : active_)
            tasks.push_back(key.first);
        return tasks;
    }
    size_t unacknowledged_ends() const { return finished_.size(); }
    std::uint64_t call_count() const { return call_count_; }

    // Handles a call; the response may come later.
    void handle(std::string_view path, const std::string& body, Respond respond) {
        ++call_count_;
        advance();
        const boost::json::object call = boost::json::parse(body).as_object();
        const std::int64_t fence = number(call, "fence");
        if (fence < fence_) return respond(409, refusal("fence"));
        fence_ = fence;
        if (path == "/run-start") return start(call, respond);
        if (path == "/run-stop") return stop(call, respond);
        hold(call, std::move(respond));
    }

private:
    using Key = std::pair<std::string, std::uint32_t>;
    struct Run {
        Micros ends_at = 0;
        std::string outcome = "done";
        size_t history_index = 0;
    };
    struct End {
        std::uint64_t number = 0;
        Key key;
        std::string outcome;
        size_t history_index = 0;
    };
    struct Waiter {
        std::uint64_t number = 0;
        Respond respond;
    };
    static constexpr Micros never = std::numeric_limits<Micros>::max() / 2;

    static std::int64_t number(const boost::json::object& call, std::string_view name) {
        const auto* value = call.if_contains(name);
        return value ? value->to_number<std::int64_t>() : 0;
    }
    std::string refusal(std::string_view reason) const {
        return fmt::format(R"({{"clock_ms":{},"reason":"{}"}})", clock_ms(), reason);
    }
    std::string acceptance() const { return fmt::format(R"({{"clock_ms":{}}})", clock_ms()); }

    // Ends what is over by now, in the order of the ends.
    void advance() {
        std::vector<std::pair<Micros, Key>> over;
        for (const auto& [key, run] : active_)
            if (const Micros end = std::min(run.ends_at, lease_expires_at_); end <= clock_.now())
                over.emplace_back(end, key);
        std::sort(over.begin(), over.end());
        for (const auto& [at, key] : over)
            end(key, active_.at(key).ends_at <= lease_expires_at_ ? active_.at(key).outcome : "lapsed", at);
        if (lease_expires_at_ <= clock_.now())
            for (const End& each : finished_)
                history_[each.history_index].has_lapsed_since = true;
        if (!finished_.empty()) answer_waiters();
    }
    void end(const Key& key, const std::string& outcome, Micros at) {
        const size_t index = active_.at(key).history_index;
        active_.erase(key);
        closed_[key.first] = std::max(closed_[key.first], key.second);
        finished_.push_back({++last_end_, key, outcome, index});
        history_[index].ended_at = at;
        history_[index].outcome = outcome;
    }
    void extend_lease(const boost::json::object& call) {
        const Micros until = number(call, "until_ms") * 1000;
        if (until > lease_expires_at_) lease_expires_at_ = until;
        clock_.schedule(lease_expires_at_ - clock_.now(), [this] { advance(); });
    }
    void start(const boost::json::object& call, const Respond& respond) {
        const Key key{std::string(call.at("task").as_string()), std::uint32_t(number(call, "run_id"))};
        if (number(call, "until_ms") <= clock_ms()) return respond(409, refusal("late"));
        extend_lease(call);
        if (active_.contains(key)) return respond(200, acceptance());
        if (const auto closed = closed_.find(key.first); closed != closed_.end() && key.second <= closed->second)
            return respond(409, refusal("old"));
        // The text of a job says how long its tasks take, in milliseconds; 0: until they are stopped.
        const Micros duration = milliseconds(std::atoll(call.at("job_spec").as_string().c_str()));
        history_.push_back({worker_id_, key.first, {}, key.second, clock_.now()});
        active_[key] = {duration == 0 ? never : clock_.now() + duration, "done", history_.size() - 1};
        clock_.schedule(duration, [this] { advance(); });
        respond(200, acceptance());
    }
    void stop(const boost::json::object& call, const Respond& respond) {
        const Key key{std::string(call.at("task").as_string()), std::uint32_t(number(call, "run_id"))};
        if (const auto run = active_.find(key); run == active_.end()) {
            closed_[key.first] = std::max(closed_[key.first], key.second);
        } else if (run->second.outcome != "stopped") {
            run->second.ends_at = std::min(run->second.ends_at, clock_.now() + settings_.stop_duration);
            run->second.outcome = "stopped";
            clock_.schedule(settings_.stop_duration, [this] { advance(); });
        }
        respond(200, acceptance());
    }
    void hold(const boost::json::object& call, Respond respond) {
        extend_lease(call);
        const auto seen_at = std::uint64_t(number(call, "seen_at"));
        while (!finished_.empty() && finished_.front().number <= seen_at) {
            history_[finished_.front().history_index].noted_at = clock_.now();
            finished_.pop_front();
        }
        const Micros wait = std::min(settings_.max_wait, Micros(number(call, "wait_ms")) * 1000);
        if (!finished_.empty() || wait == 0) return respond(200, status());
        const std::uint64_t waiter = ++last_waiter_;
        waiters_.push_back({waiter, std::move(respond)});
        clock_.schedule(wait, [this, waiter] {
            advance();
            const auto found = std::find_if(waiters_.begin(), waiters_.end(),
                                            [waiter](const Waiter& each) { return each.number == waiter; });
            if (found == waiters_.end()) return;
            const Respond answer = std::move(found->respond);
            waiters_.erase(found);
            answer(200, status());
        });
    }
    void answer_waiters() {
        for (const Waiter& waiter : std::exchange(waiters_, {}))
            waiter.respond(200, status());
    }
    std::string status() const {
        boost::json::array active;
        for (const auto& [key, run] : active_)
            active.push_back(boost::json::array{key.first, key.second, "", 50});
        boost::json::array finished;
        for (const End& each : finished_) {
            if (finished.size() == settings_.max_listed_ends) break;
            finished.push_back(boost::json::array{each.number, each.key.first, each.key.second, each.outcome, ""});
        }
        return boost::json::serialize(
            boost::json::object{{"clock_ms", clock_ms()}, {"active", active}, {"finished", finished}});
    }

    VirtualClock& clock_;
    const std::string worker_id_;
    const Settings settings_;
    std::vector<RunHistory>& history_;
    std::map<Key, Run> active_;
    std::map<std::string, std::uint32_t> closed_;  // task -> its highest run that ended or was stopped here
    std::deque<End> finished_;
    std::vector<Waiter> waiters_;
    std::uint64_t last_end_ = 0, last_waiter_ = 0, call_count_ = 0;
    std::int64_t fence_ = 0;
    Micros lease_expires_at_ = 0;
};

}  // namespace calicostall::tests
