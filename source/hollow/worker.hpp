// A hollow worker: it keeps the rules of a worker and does no work. Pure: the time is passed in.
#pragma once
#include <boost/json.hpp>

#include "common.hpp"
#include "shared/wire/frames.hpp"

namespace calicostall {

// What a job's text tells hollow workers: how long its tasks take, and how many make a gang.
// Example: HollowSpec::read("hollow ms=800 gang=8") -> {milliseconds(800), 8}
struct HollowSpec {
    Micros length = milliseconds(100);
    std::uint32_t gang = 1;

    static HollowSpec read(const std::string& text);
    std::string text(size_t bytes) const;
};

// Where the members of gangs meet; one for all hollow workers of a process.
class GangBoard {
public:
    void join(const std::string& gang, std::uint32_t size, Micros now);
    void leave(const std::string& gang, bool whole);
    // When it began; -1 while members are missing.
    Micros begun(const std::string& gang) const;
    bool broken(const std::string& gang) const;

private:
    struct Gang {
        std::uint32_t present = 0, members = 0;
        Micros begun = -1;
        bool broken = false;
    };
    mutable std::mutex lock_;
    std::map<std::string, Gang> gangs_;
};

// One worker: it answers /start, /stop and /hold as a real one would, and its tasks end by the time that passes.
class HollowWorker {
public:
    struct Said {
        int code = 200;
        std::string body;
    };
    using Started = std::function<void(const std::string& task, Micros now)>;

    explicit HollowWorker(GangBoard& board, Micros gang_wait = seconds(3)) : board_(board), gang_wait_(gang_wait) {}
    Started started;  // called at the first start of a run

    std::int64_t clock_ms(Micros now) const { return now / 1000; }
    size_t running() const { return tasks_.size(); }
    std::uint64_t starts() const { return starts_; }
    std::uint64_t ends(const std::string& how) const;
    // Ends that `seen_at` does not cover.
    bool has_ends(std::uint64_t seen_at) const { return !finished_.empty() && finished_.back().number > seen_at; }

    // Example: worker.take("/run-start", body, steady_now()).code == 200
    Said take(std::string_view path, const std::string& body, Micros now);
    // What runs and what ended, as a side reports it.
    HoldReport report(Micros now) const;
    Said listed(Micros now) const;
    void advance(Micros now);

private:
    struct Task {
        std::uint32_t run = 0;
        HollowSpec spec;
        std::string gang;
        Micros since = 0;
        Micros begun(const GangBoard& board) const { return gang.empty() ? since : board.begun(gang); }
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };

    static std::uint64_t number(const boost::json::object& object, std::string_view name);
    static std::string text(const boost::json::object& object, std::string_view name);
    void extend(const boost::json::object& object);
    Said refuse(const char* reason, Micros now) const;
    Said start(const boost::json::object& object, Micros now);
    Said stop(const boost::json::object& object, Micros now);
    void note_over(const std::string& name, std::uint32_t run);
    void end(std::map<std::string, Task>::iterator task, const char* how);

    GangBoard& board_;
    Micros gang_wait_;
    std::uint64_t fence_ = 0, last_end_ = 0, starts_ = 0;
    std::int64_t until_ms_ = 0;
    Micros next_ = 0;
    std::map<std::string, Task> tasks_;
    std::deque<End> finished_;
    std::map<std::string, std::uint32_t> over_;
    std::deque<std::string> over_order_;
    std::map<std::string, std::uint64_t> ends_;
};

}  // namespace calicostall
