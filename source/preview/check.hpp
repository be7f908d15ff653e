// Compares a saved preview with what then ran, and names a cause for each miss. Pure.
#pragma once
#include "preview/check/said.hpp"
#include "shared/record/run_line.hpp"

namespace calicostall {

// How near is near enough for the check.
struct CheckSettings {
    Micros within = milliseconds(500);  // a start or a stop so far off its time counts as on time
    Micros until = 0;                   // wall time up to which the logs are whole; 0: their last line
};

// How many of the things said came true.
struct Tally {
    size_t said = 0, true_ones = 0;
    void add(bool good) { ++said, true_ones += good; }
    Tally& operator+=(const Tally& more) { return said += more.said, true_ones += more.true_ones, *this; }
    std::string text() const;
};

// What came true of one queue.
struct QueueCheck {
    std::int64_t priority = 0;
    Tally worker, worker_at_once, time, waited, pushed;
    Tally undisturbed;  // worker and time, of tasks said to start before anything happened that no preview can know
    size_t not_covered = 0;    // said for a time that the logs don't reach
    size_t pushed_unsaid = 0;  // runs of the snapshot that were stopped though the preview did not say so
    std::map<std::string, size_t> causes;
    QueueCheck& operator+=(const QueueCheck& more);
};

// A thing that did not come true.
struct Miss {
    std::string task, queue, what, cause;
};

// All that a check found.
struct CheckResult {
    std::map<std::string, QueueCheck> queues;
    std::vector<Miss> misses;
    bool compared = false;  // false: the logs hold nothing of the time after the preview
};

// Example: CheckResult result = Checker(said, lines, {}).check();
class Checker {
public:
    Checker(const Said& said, const std::vector<RunLine>& lines, const CheckSettings& settings);
    CheckResult check();

private:
    struct Began {
        std::string worker;
        Micros at = 0;
    };
    struct Ended {
        std::string worker, how;
        Micros at = 0;
    };

    void index();
    void index(const RunLine& line);
    // Whether it is something that no preview can know.
    bool is_surprise(const RunLine& line) const;
    // A run that takes longer or shorter than said gives its room back at another time.
    void note_off(const std::string& task, const Began& began, Micros length);
    void miss(const std::string& task, const std::string& queue, std::string what, std::string cause);
    void check_task(const std::string& task, const Said::Task& said);
    void check_pushed();
    static bool any_until(const std::map<std::string, std::vector<Micros>>& times, const std::string& key,
                          Micros until);
    // The first of these that holds; the more certain ones come first.
    std::string cause(const std::string& task, const std::vector<std::string>& workers, Micros until,
                      bool early = false) const;

    const Said& said_;
    CheckSettings settings_;
    std::vector<const RunLine*> after_;
    Micros last_ = 0, covered_ = 0, disturbed_ = std::numeric_limits<Micros>::max();
    std::map<std::string, Began> starts_;
    std::map<std::string, Ended> ends_;
    std::multimap<std::string, Micros> stops_;
    std::map<std::string, Micros> over_;
    std::map<std::string, std::pair<std::string, Micros>> jobs_ended_;
    std::map<std::string, std::vector<Micros>> strangers_, failed_, failed_jobs_, off_, strays_;
    std::map<std::string, std::vector<std::pair<Micros, std::string>>> off_jobs_;  // "JOB.TIME" -> when, and which task
    std::optional<Micros> owner_changed_;
    CheckResult result_;
};

// Example: fmt::print("{}", check_text(result, 20));
std::string check_text(const CheckResult& result, size_t misses_most);
boost::json::object check_json(const CheckResult& result);

}  // namespace calicostall
