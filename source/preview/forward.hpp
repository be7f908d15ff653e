// Runs the daemons' planner over a snapshot, forward in time by learnt durations. Pure: the same snapshot, the same
// outlook.
#pragma once
#include "control/plan/planner.hpp"
#include "preview/change.hpp"
#include "preview/outlook.hpp"

namespace calicostall {

// How far a preview looks ahead, and how often it plans.
struct ForwardSettings {
    Micros horizon = seconds(60);
    Micros plan_apart = milliseconds(2);    // the daemons' least time between plans
    Micros plan_again = milliseconds(250);  // and the longest, while something waits
    Micros idle_most = seconds(12);         // so long without any change: nothing more will start
    size_t plans_most = 50000;
};

// Decides what starts where; the daemons' own planner is `make_plan`.
using PlannerFunction = std::function<Plan(const PlanView&)>;

// Example: Outlook outlook = Forward(snapshot, change, {}).look();
class Forward {
public:
    Forward(const Snapshot& snapshot, const ProposedChange& change, const ForwardSettings& settings,
            PlannerFunction planner = make_plan);

    Outlook look();

private:
    static constexpr double trial_trust = 0.4;  // below it a worker gets one run at a time, as the daemons do
    static constexpr Micros report_soon = milliseconds(500);
    static constexpr Micros endless = std::numeric_limits<Micros>::max() / 4;

    struct TaskState {
        bool done = false;
        std::uint32_t failures = 0, live = 0;
        Micros kept = 0;           // work that a checkpoint keeps
        std::int64_t listed = -1;  // its place in the outlook while it has not landed
    };
    struct StepState {
        std::vector<TaskState> tasks;
        std::vector<std::uint32_t> waiting;  // as it was given to the planner: task 0 of the item is waiting[0]
        std::set<std::uint32_t> singles;     // tasks that are an item each: copies, and what failed before
        size_t open = 0;                     // tasks that are not done
    };
    struct JobState {
        const SnapshotJob* job = nullptr;
        Name service = 0;
        std::int64_t level = 0;
        std::uint32_t attempts_most = 1;
        Micros aim = 0;
        std::map<std::uint64_t, std::vector<StepState>> times;
        std::uint64_t next_time = 0;
    };
    struct RunState {
        TaskKey key;
        size_t worker = 0;
        Micros started = 0, ends = endless, kept = 0;
        std::uint64_t gang = 0;
        bool stopping = false, backfill = false, was_running = false, room_only = false, copy = false, pushed = false;
        std::int64_t listed = -1, running = -1;  // places in the outlook
        Resources room;
        Name service = 0;
        std::int64_t level = 0;
    };
    struct WorkerState {
        SnapshotWorker said;
        std::uint32_t place = 0;
        bool there = false, draining = false, usable = false, in_fleet = false;
        Micros avoided_until = 0;
    };
    enum class Kind {
        run_ends,
        run_over,
        worker_opens,
        worker_drains,
        worker_leaves,
        worker_joins,
        worker_lapses,
        time_due,
        time_check
    };
    struct Event {
        Micros at;
        Kind kind;
        std::uint64_t which;
        auto operator<=>(const Event&) const = default;
    };
    struct ItemOf {
        std::uint32_t job;
        std::uint64_t time;
        std::uint32_t step;
        std::int64_t single;  // the one task of the item; -1: all that wait and are alike
        auto operator<=>(const ItemOf&) const = default;
    };

    static PlannerSettings settings_of(const Snapshot& snapshot, const ProposedChange& change);

    // --- what is there ---

    void take_config();
    void take_jobs();
    void schedule_due(std::uint32_t place);
    void take_workers();
    size_t add_worker(const SnapshotWorker& said);
    void judge(size_t place);
    void take_run(size_t place, const SnapshotRun& said);
    void take_changes();

    // --- durations and standings ---

    Micros duration_on(const JobState& state, std::uint32_t step, size_t worker) const;
    // As the daemons see it: by the first time that is open, of the whole job.
    Standing standing_of(const JobState& state, std::uint32_t step) const;

    // --- runs ---

    void begin(std::uint64_t id, RunState run, const Standing& standing, const Step* wanted);
    void forget_end(std::uint64_t id);
    void set_end(std::uint64_t id, Micros at, bool stopping);
    // The members of a gang end together, when the slowest does.
    void same_end_of_gang(std::uint64_t gang);
    void remove(std::uint64_t id);
    void done(std::uint64_t id);
    // A stop was carried out, or nothing can run there any more: the task waits again.
    void over(std::uint64_t id);
    Micros stop_takes() const { return Micros(planner_settings_.stop_share * double(planner_settings_.stop_grace)); }
    void push_aside(std::uint64_t id, const std::string& by);
    void stop(std::uint64_t id, const std::string& by);
    // Runs that cannot end before their worker leaves are moved off, as the daemons do.
    void move_off(size_t worker, Micros leaves);

    // --- items ---

    JobState& job(const TaskKey& key) { return jobs_[key.job]; }
    StepState& step_of(const TaskKey& key) { return jobs_[key.job].times.at(key.time)[key.step]; }
    TaskState& task(const TaskKey& key) { return step_of(key).tasks[key.index]; }
    std::vector<std::string> lives_of(const std::set<std::uint64_t>& ids) const;
    std::uint64_t gang_of(const TaskKey& key, std::uint32_t run);
    std::uint64_t item_id(const ItemOf& of);
    bool turn_has_come(const JobState& state, const std::vector<StepState>& steps, std::uint32_t step) const;
    void refresh_job(std::uint32_t place);
    void refresh_time(std::uint32_t place, std::uint64_t number);
    // Tells the planner's list of items what of this step waits now.
    void refresh(std::uint32_t place, std::uint64_t number, std::uint32_t step);
    void put(std::uint32_t place, std::uint64_t number, std::uint32_t step, std::int64_t single, std::uint32_t count);
    std::vector<std::uint32_t> places_of(const TaskKey& key) const;

    // --- the outlook's list of tasks ---

    void list(const TaskKey& key, std::string why);
    void list_waiting();
    void list_time(std::uint32_t place, std::uint64_t number, const std::string& why);
    // Whether no worker there is, or that joins, could ever take it; empty when one could.
    std::string lands_nowhere(const JobState& state, std::uint32_t step) const;
    bool leaves(size_t place) const;

    // --- events ---

    bool take_events();
    void take(const Event& event);
    // Its runs are in doubt until its hold has surely lapsed.
    void leave(size_t place);
    void lapse(size_t place);
    void begin_time(std::uint32_t place);

    // --- plans ---

    bool plan(bool first, bool& unfinished);
    void note_reason(const Wait& wait);
    void start(const ItemOf& of, const Start& planned, size_t worker, std::uint64_t& gang);
    void finish();

    const Snapshot& snapshot_;
    const ProposedChange& change_;
    ForwardSettings settings_;
    PlannerFunction planner_;
    PlannerSettings planner_settings_;
    Config config_;
    std::int64_t urgent_level_ = 0;
    std::optional<Cursor> resume_;  // where the last plan stopped
    Names names_;
    Fleet fleet_;
    WaitingItems items_;
    UrgentDemand demand_;
    std::vector<JobState> jobs_;
    std::map<std::string, std::uint32_t> by_id_;
    std::vector<WorkerState> workers_;
    std::map<std::uint32_t, size_t> at_place_;
    std::map<std::uint64_t, RunState> runs_;
    std::map<TaskKey, std::set<std::uint64_t>> live_;
    std::map<std::uint64_t, std::set<std::uint64_t>> gangs_;
    std::map<std::tuple<std::uint32_t, std::uint64_t, std::uint32_t, std::uint64_t>, std::uint64_t> gang_ids_;
    std::set<TaskKey> doubled_;
    std::map<TaskKey, std::set<std::string>> failed_on_;
    std::map<ItemOf, std::uint64_t> item_ids_;
    std::unordered_map<std::uint64_t, ItemOf> items_of_;
    std::set<Event> events_;
    std::uint64_t next_run_ = 1;
    Micros start_ = 0, now_ = 0;
    Outlook outlook_;
};

}  // namespace calicostall
