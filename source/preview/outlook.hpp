// What a preview says: plain data.
#pragma once
#include "common.hpp"

namespace calicostall {

// One task of one time of a job of the snapshot.
struct TaskKey {
    std::uint32_t job = 0;  // place in the snapshot's list
    std::uint64_t time = 0;
    std::uint32_t step = 0, index = 0;
    auto operator<=>(const TaskKey&) const = default;
};

// What becomes of a task that waits.
enum class Landing { lands, waits, nowhere };
constexpr const char* landing_text(Landing landing) {
    constexpr std::array<const char*, 3> texts{"lands", "waits", "nowhere"};
    return texts[size_t(landing)];
}

// Where a task that waits lands. All times count from the snapshot.
struct TaskOutlook {
    TaskKey key;
    Landing landing = Landing::waits;
    bool copy = false;   // one more run of a task that may be done twice
    std::string worker;  // its life
    Micros at = -1;      // when it starts
    Micros ends = -1;    // when it is expected to end; -1: not within the horizon, or never
    std::string why;     // why it does not start at once, or why it lands nowhere
};

// A run that takes room at the time of the snapshot.
struct RunOutlook {
    TaskKey key;
    std::string worker;
    Micros ends = -1;
    bool stopping = false, in_doubt = false;
};

// A run that gives way, and what that costs.
struct PushedAside {
    TaskKey key;
    std::string worker;
    Micros at = 0;
    bool was_running = false;  // it ran at the time of the snapshot
    std::string by;            // "ID.TIME.STEP" of the work it makes room for, or what else takes its worker away
    double lost = 0;           // core-seconds thrown away
};

// A task with more than one run.
struct Twice {
    TaskKey key;
    std::vector<std::string> workers;
    Micros at = 0;
    bool allowed = false;  // a copy of a duplicate_ok step
};

// All that a preview saw.
struct Outlook {
    std::vector<TaskOutlook> tasks;
    std::vector<RunOutlook> running;
    std::vector<PushedAside> pushed;
    std::vector<Twice> twice;
    Micros horizon = 0;  // how far it looked
    bool cut = false;    // it ended before the horizon since there was too much to plan
    size_t plans = 0;
    // Runs that could run beside another though they must not; anything but 0 is an alarm.
    size_t alarms() const;
};

}  // namespace calicostall
