// A stand-in for a worker as the protocol's page describes it: heartbeats to the agent of its machine; starts, stops
// and holds under a fence; ends that are listed, 500 at once, until they are acknowledged. It answers at once.
//
// A task's `job_spec` says what it does: "cpu=N" (thousandths), "work_ms=N", or "lasts=1" until it is stopped.
#pragma once
#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <set>
#include <thread>
#include <vector>

#include "record.hpp"

namespace standins {

namespace json = boost::json;

struct WorkerSettings {
    std::string id, ip, service;
    int port = 8165, control_port = 8166;
    double beat_s = 1.5;
    std::int64_t cpu = 64000, memory_mb = 131072;
    std::int64_t hold_max_ms = 10000;
    bool logs_runs = true;  // a line for each start and end
};

// What a worker has seen of one run.
struct RunHistory {
    int run = 0;
    double started_at = -1, ended_at = -1, noted_at = -1;  // by the record's clock; -1: not yet
    std::string how;
    bool has_lapsed_since = false;  // the hold ran out between the end and its note
};

class Worker {
public:
    Worker(WorkerSettings settings, Record& record) : settings_(std::move(settings)), record_(record) {}
    ~Worker() { stop(); }

    bool start() {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = address_of(settings_.ip, settings_.port);
        if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return false;
        if (listen(listener_, 1024) != 0) return false;
        threads_.emplace_back([this] { accept_all(); });
        threads_.emplace_back([this] { advance_all(); });
        threads_.emplace_back([this] { send_heartbeats(); });
        return true;
    }
    // The worker's machine loses power: nobody is told.
    void stop() {
        if (is_over_.exchange(true)) return;
        has_news_.notify_all();
        for (std::thread& thread : threads_)
            thread.join();
        std::vector<std::thread> connections;
        {
            std::lock_guard guard(mutex_);
            connections.swap(connections_);
        }
        for (std::thread& thread : connections)
            thread.join();
        close(listener_);
    }

    const std::string& id() const { return settings_.id; }
    std::vector<std::string> active() {
        std::lock_guard guard(mutex_);
        advance();
        std::vector<std::string> tasks;
        for (const auto& [key, run] : active_)
            tasks.push_back(key.first);
        return tasks;
    }
    size_t active_count() { return active().size(); }
    // All runs of each task that were ever carried out here, in their order.
    std::map<std::string, std::vector<RunHistory>> history() {
        std::lock_guard guard(mutex_);
        advance();
        return history_;
    }
    void set_phase(const std::string& phase) {
        std::lock_guard guard(mutex_);
        phase_ = phase;
    }
    // From now on the answers to /hold reach their caller this much later, as where a packet of each is lost on the
    // link and sent again.
    void set_late_holds(int milliseconds) { late_hold_ms_ = milliseconds; }

private:
    struct Run {
        std::int64_t ends = 0, cpu = 0;
        std::string how = "done";
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
    };
    using Key = std::pair<std::string, int>;
    static constexpr std::int64_t never = std::int64_t(1) << 50;
    static constexpr int stop_ms = 50;
    static constexpr size_t max_listed_ends = 500;
    static constexpr std::int64_t max_wait_ms = 2000;

    std::int64_t clock() const { return 400000 + std::int64_t(record_.now() * 1000); }

    // --- what runs; with the mutex held ---

    void advance() {
        const std::int64_t now = clock();
        if (now < next_due_) return;
        std::vector<std::pair<Key, std::string>> over;
        for (const auto& [key, run] : active_)
            if (run.ends <= std::min(now, until_))
                over.emplace_back(key, run.how);
            else if (until_ <= now)
                over.emplace_back(key, "lapsed");
        for (const auto& [key, how] : over)
            end(key, how);
        next_due_ = now + 5;
        if (until_ > now) return;
        for (auto& [task, runs] : history_)
            for (RunHistory& run : runs)
                if (run.ended_at >= 0 && run.noted_at < 0) run.has_lapsed_since = true;
    }
    RunHistory* find_history(const std::string& task, int run) {
        for (RunHistory& each : history_[task])
            if (each.run == run) return &each;
        return nullptr;
    }
    void end(const Key& key, const std::string& how) {
        cpu_used_ -= active_.at(key).cpu;
        active_.erase(key);
        blocked_[key.first] = std::max(blocked_[key.first], key.second);
        finished_.push_back({++last_end_, key.first, key.second, how});
        if (RunHistory* run = find_history(key.first, key.second)) {
            run->ended_at = record_.now();
            run->how = how;
        }
        if (settings_.logs_runs)
            record_.add("run ended worker=" + settings_.id + " task=" + key.first + " run=" +
                        std::to_string(key.second) + " how=" + how);
        has_news_.notify_all();
    }

    // --- calls ---

    json::object refusal(const char* reason) const { return {{"clock_ms", clock()}, {"reason", reason}}; }

    std::pair<int, json::object> respond(const Message& request, std::unique_lock<std::mutex>& guard) {
        advance();
        if (auto expected = request.headers.find("x-expected-worker");
            expected != request.headers.end() && expected->second != settings_.id)
            return {421, {}};
        if (request.second == "/health") return {200, {}};
        boost::system::error_code error;
        const json::value parsed = json::parse(request.body, error);
        if (error || !parsed.is_object()) return {400, {}};
        const json::object& body = parsed.as_object();
        const std::int64_t fence = number(body, "fence");
        if (fence < fence_) return {409, refusal("fence")};
        fence_ = fence;
        if (request.second == "/run-start") return start_run(body);
        if (request.second == "/run-stop") return stop_run(body);
        if (request.second == "/hold") return hold(body, guard);
        return {404, {}};
    }
    static std::int64_t number(const json::object& body, const char* name) {
        const json::value* value = body.if_contains(name);
        return value ? value->to_number<std::int64_t>() : 0;
    }
    static std::int64_t field(const std::string& spec, const std::string& name) {
        const size_t found = spec.find(name + "=");
        return found == std::string::npos ? 0 : std::atoll(spec.c_str() + found + name.size() + 1);
    }
    void extend(std::int64_t until) {
        until_ = std::max(until_, std::min(until, clock() + settings_.hold_max_ms));
    }

    std::pair<int, json::object> start_run(const json::object& body) {
        const Key key{std::string(body.at("task").as_string()), int(number(body, "run_id"))};
        const std::string spec(body.at("job_spec").as_string());
        if (number(body, "until_ms") <= clock()) return {409, refusal("late")};
        extend(number(body, "until_ms"));
        if (active_.contains(key)) return {200, {{"clock_ms", clock()}}};
        if (key.second <= blocked_[key.first]) return {409, refusal("old")};
        const std::int64_t cpu = field(spec, "cpu");
        if (cpu_used_ + cpu > settings_.cpu) return {409, refusal("room")};
        cpu_used_ += cpu;
        active_[key] = {field(spec, "lasts") ? never : clock() + field(spec, "work_ms"), cpu};
        RunHistory run;
        run.run = key.second;
        run.started_at = record_.now();
        history_[key.first].push_back(run);
        if (settings_.logs_runs)
            record_.add("run started worker=" + settings_.id + " task=" + key.first + " run=" +
                        std::to_string(key.second) + " fence=" + std::to_string(fence_));
        return {200, {{"clock_ms", clock()}}};
    }
    std::pair<int, json::object> stop_run(const json::object& body) {
        const Key key{std::string(body.at("task").as_string()), int(number(body, "run_id"))};
        if (settings_.logs_runs)
            record_.add("stop received worker=" + settings_.id + " task=" + key.first + " run=" +
                        std::to_string(key.second) + (active_.contains(key) ? " active" : " not active"));
        if (auto run = active_.find(key); run != active_.end()) {
            run->second.ends = std::min(run->second.ends, clock() + stop_ms);
            run->second.how = "stopped";
        } else {
            blocked_[key.first] = std::max(blocked_[key.first], key.second);
        }
        return {200, {{"clock_ms", clock()}}};
    }
    std::pair<int, json::object> hold(const json::object& body, std::unique_lock<std::mutex>& guard) {
        extend(number(body, "until_ms"));
        const std::int64_t seen_at = number(body, "seen_at");
        for (const End& each : finished_) {
            RunHistory* run = each.number <= seen_at ? find_history(each.task, each.run) : nullptr;
            if (run && run->noted_at < 0) run->noted_at = record_.now();
        }
        std::erase_if(finished_, [seen_at](const End& each) { return each.number <= seen_at; });
        if (finished_.empty()) {
            const auto wait = std::chrono::milliseconds(std::min(number(body, "wait_ms"), max_wait_ms));
            has_news_.wait_for(guard, wait, [this] { return !finished_.empty() || is_over_; });
        }
        json::array active;
        for (const auto& [key, run] : active_)
            active.push_back(json::array{key.first, key.second, "", 50});
        json::array finished;
        for (size_t index = 0; index < std::min(finished_.size(), max_listed_ends); ++index) {
            const End& each = finished_[index];
            finished.push_back(json::array{each.number, each.task, each.run, each.how, ""});
        }
        return {200, {{"clock_ms", clock()}, {"active", std::move(active)}, {"finished", std::move(finished)}}};
    }

    // --- threads ---

    void accept_all() {
        while (!is_over_) {
            if (!wait_for(listener_, POLLIN, Clock::now() + std::chrono::milliseconds(50))) continue;
            const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) continue;
            std::lock_guard guard(mutex_);
            connections_.emplace_back([this, descriptor] { serve(descriptor); });
        }
    }
    void serve(int descriptor) {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string buffer;
        while (!is_over_) {
            if (buffer.empty() && !wait_for(descriptor, POLLIN, Clock::now() + std::chrono::milliseconds(50))) continue;
            const auto request = read_message(descriptor, buffer, Clock::now() + std::chrono::seconds(2));
            if (!request) break;
            std::pair<int, json::object> response;
            {
                std::unique_lock guard(mutex_);
                response = respond(*request, guard);
            }
            if (is_over_) break;
            const int late_ms = request->second == "/hold" ? late_hold_ms_.load() : 0;
            if (late_ms > 0) {
                record_.add("answer held up worker=" + settings_.id + " path=/hold ms=" + std::to_string(late_ms));
                std::this_thread::sleep_for(std::chrono::milliseconds(late_ms));
            }
            const std::string text = json::serialize(response.second);
            const std::string bytes = "HTTP/1.1 " + std::to_string(response.first) +
                                      " -\r\nContent-Type: application/json\r\nX-Worker-Id: " + settings_.id +
                                      "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
            if (!write_all(descriptor, bytes, Clock::now() + std::chrono::seconds(2))) break;
        }
        close(descriptor);
    }
    void advance_all() {
        while (!is_over_) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            std::lock_guard guard(mutex_);
            advance();
        }
    }
    void send_heartbeats() {
        double pause_s = 0;
        bool has_failed_before = false;
        while (!is_over_) {
            json::object beat;
            {
                std::lock_guard guard(mutex_);
                beat = {{"service", settings_.service},
                        {"address", settings_.ip + ":" + std::to_string(settings_.port)},
                        {"zone", "z"},
                        {"revision", "v1"},
                        {"slots", 8},
                        {"phase", phase_},
                        {"cold_left_ms", 0},
                        {"capacity", {{"cpu", settings_.cpu}, {"task_mem_mb", settings_.memory_mb}, {"gpu", 0}}},
                        {"labels", {"a", "r1-1"}},
                        {"clock_ms", clock()},
                        {"call_seq", ++calls_}};
            }
            const auto answer = call(settings_.ip, settings_.control_port, "PUT", "/workers/" + settings_.id,
                                     json::serialize(beat));
            // After a failure again, with a pause that grows.
            const bool is_acknowledged = answer && answer->status() / 100 == 2;
            pause_s = is_acknowledged ? settings_.beat_s : std::min(std::max(0.1, pause_s * 2), settings_.beat_s);
            if (!is_acknowledged && pause_s == settings_.beat_s && !has_failed_before) pause_s = 0.1;
            has_failed_before = !is_acknowledged;
            for (double waited = 0; waited < pause_s && !is_over_; waited += 0.02)
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    const WorkerSettings settings_;
    Record& record_;
    std::mutex mutex_;
    std::condition_variable has_news_;
    std::atomic<bool> is_over_{false};
    std::atomic<int> late_hold_ms_{0};
    int listener_ = -1;
    std::vector<std::thread> threads_, connections_;
    std::map<Key, Run> active_;
    std::map<std::string, int> blocked_;
    std::vector<End> finished_;
    std::map<std::string, std::vector<RunHistory>> history_;
    std::int64_t until_ = 0, fence_ = 0, last_end_ = 0, calls_ = 0;
    std::int64_t cpu_used_ = 0;
    std::int64_t next_due_ = 0;  // runs are looked at again from then on, some milliseconds at most
    std::string phase_ = "ready";
};

}  // namespace standins
