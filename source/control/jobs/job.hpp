// The record of one job, and its changes as pure functions.
#pragma once
#include "common.hpp"
#include "control/jobs/spec.hpp"
#include "control/store/register.hpp"
#include "shared/wire/cbor.hpp"

namespace calicostall {

// The part that never changes after acceptance.
struct JobFixed {
    std::string id, host, prefix, service;
    std::int64_t priority = 0;
    std::uint32_t attempts_most = 1;
    double extension = 1.5;
    Micros target = 0;
    Micros accepted_wall = 0;
    JobSpec spec;
    std::uint64_t extension_thousandths = 1500;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(id), visit(host), visit(prefix), visit(service), visit(priority), visit(attempts_most),
            visit(extension_thousandths), visit(target), visit(accepted_wall), visit(spec);
    }
};

// One run of a task that may be on a worker: its intent is in the record before the order leaves.
struct Placement {
    std::uint32_t run = 0;
    std::uint32_t worker = 0;  // place in the job's list of worker lives
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(run), visit(worker);
    }
};

struct Task {
    bool done = false;
    std::uint32_t last_run = 0, failures = 0;
    std::string saved;
    std::vector<Placement> placements;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(done), visit(last_run), visit(failures), visit(saved), visit(placements);
    }
    bool waiting() const { return !done && placements.empty(); }
};

struct StepState {
    std::vector<Task> tasks;
    std::uint32_t failed_run = 0;  // the last run of a gang that counted as failed
    bool done() const {
        return std::all_of(tasks.begin(), tasks.end(), [](const Task& task) { return task.done; });
    }
};

// One time of a job; a job without times has only time 0.
struct Time {
    std::uint64_t number = 0;
    std::vector<StepState> steps;
    bool done() const {
        return std::all_of(steps.begin(), steps.end(), [](const StepState& step) { return step.done(); });
    }
};

enum class Ending { none, done, failed, cancelled };

// A life of a worker, and the machine it lives on.
struct LifeName {
    std::string life, node;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(life), visit(node);
    }
};

struct JobMoving {
    Ending ending = Ending::none;
    Micros ended_wall = 0;
    bool begun = false;
    std::uint64_t next_time = 0;
    std::vector<LifeName> workers;
    std::vector<Time> times;
};

// A job in the record: the head, one numbered part for each task that was ever touched, one for each life of a worker.
struct TimeHead {
    std::uint64_t number = 0;
    std::vector<std::uint32_t> failed_runs;  // of each step
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(number), visit(failed_runs);
    }
};
struct JobHead {
    Ending ending = Ending::none;
    Micros ended_wall = 0;
    bool begun = false;
    std::uint64_t next_time = 0;
    std::vector<TimeHead> times;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(ending), visit(ended_wall), visit(begun), visit(next_time), visit(times);
    }
};

// Names one run of one task anywhere.
struct RunName {
    std::string job;
    std::uint64_t time = 0;
    std::uint32_t step = 0, index = 0, run = 0;
    auto operator<=>(const RunName&) const = default;
    // Example: "5c0e7a21d94b36f8.0.1.17"
    std::string task() const { return fmt::format("{}.{}.{}.{}", job, time, step, index); }
    static std::optional<RunName> parse(std::string_view task, std::uint32_t run) {
        std::array<std::string_view, 4> parts;
        for (size_t place = 0; place < 4; ++place) {
            size_t dot = place == 3 ? task.size() : task.find('.');
            if (dot == std::string_view::npos) return std::nullopt;
            parts[place] = task.substr(0, dot);
            task.remove_prefix(std::min(task.size(), dot + 1));
        }
        auto whole = [](std::string_view text) -> std::optional<std::uint64_t> {
            if (text.empty() || text.size() > 18) return std::nullopt;
            std::uint64_t number = 0;
            for (char letter : text) {
                if (letter < '0' || letter > '9') return std::nullopt;
                number = number * 10 + std::uint64_t(letter - '0');
            }
            return number;
        };
        auto time = whole(parts[1]), step = whole(parts[2]), index = whole(parts[3]);
        if (!time || !step || !index) return std::nullopt;
        return RunName{std::string(parts[0]), *time, std::uint32_t(*step), std::uint32_t(*index), run};
    }
};

enum class End { done, failed, stopped, lapsed, broken, alone, lost };

inline std::optional<End> parse_end(std::string_view how) {
    static const std::map<std::string_view, End> table = {{"done", End::done},       {"failed", End::failed},
                                                          {"stopped", End::stopped}, {"lapsed", End::lapsed},
                                                          {"broken", End::broken},   {"alone", End::alone}};
    auto found = table.find(how);
    return found == table.end() ? std::nullopt : std::optional(found->second);
}

constexpr const char* end_text(End how) {
    constexpr std::array<const char*, 7> texts{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"};
    return texts[size_t(how)];
}

// A job in memory; every change of state goes through `apply`-like functions below.
class Job {
public:
    JobFixed fixed;
    JobMoving moving;

    // Example: Job job = Job::accept(fixed);
    static Job accept(JobFixed fixed) {
        Job job;
        job.fixed = std::move(fixed);
        if (job.fixed.spec.repeats == 0) job.add_time();
        return job;
    }
    std::string packed_fixed() const { return pack(fixed); }
    // What changed since the last call, for the record. Once nothing of an ended job is placed, only its head is left.
    // Example: ledger.propose(key, std::nullopt, job.packed_changes(), told);
    Patch packed_changes() {
        JobHead head{moving.ending, moving.ended_wall, moving.begun, moving.next_time, {}};
        if (ended() && !has_placements()) {
            touched_.clear();
            return Patch(pack(head), {}, true);
        }
        for (const Time& time : moving.times) {
            TimeHead& each = head.times.emplace_back(TimeHead{time.number, {}});
            for (const StepState& step : time.steps)
                each.failed_runs.push_back(step.failed_run);
        }
        std::vector<Part> parts;
        for (std::uint64_t number : touched_) {
            const Task* task = task_of(number);
            parts.push_back({number, task ? pack(*task) : std::string()});
        }
        for (; workers_packed_ < moving.workers.size(); ++workers_packed_)
            parts.push_back({worker_bit | workers_packed_, pack(moving.workers[workers_packed_])});
        touched_.clear();
        return Patch(pack(head), std::move(parts));
    }
    // Example: std::optional<Job> job = Job::unpacked(value); if (!job) counters().add("jobs_unreadable");
    static std::optional<Job> unpacked(const Register& value) {
        auto fixed = unpack<JobFixed>(value.fixed);
        auto head = unpack<JobHead>(value.moving);
        if (!fixed || !head) return std::nullopt;
        Job job;
        job.fixed = std::move(*fixed);
        job.fixed.extension = double(job.fixed.extension_thousandths) / 1000;
        job.moving.ending = head->ending;
        job.moving.ended_wall = head->ended_wall;
        job.moving.begun = head->begun;
        job.moving.next_time = head->next_time;
        for (const TimeHead& each : head->times) {
            Time& time = job.moving.times.emplace_back(job.empty_time(each.number));
            if (each.failed_runs.size() != time.steps.size()) return std::nullopt;
            for (size_t step = 0; step < time.steps.size(); ++step)
                time.steps[step].failed_run = each.failed_runs[step];
        }
        for (const auto& [number, bytes] : value.parts) {
            if (number & worker_bit) {
                auto life = unpack<LifeName>(bytes);
                if (!life || (number & ~worker_bit) != job.moving.workers.size()) return std::nullopt;
                job.moving.workers.push_back(std::move(*life));
                continue;
            }
            Task* task = job.task_of(number);
            auto read = unpack<Task>(bytes);
            if (!task || !read) return std::nullopt;
            *task = std::move(*read);
            job.placed_ += task->placements.size();
        }
        job.workers_packed_ = job.moving.workers.size();
        for (const Time& time : job.moving.times)
            for (const StepState& step : time.steps)
                for (const Task& task : step.tasks)
                    for (const Placement& placement : task.placements)
                        if (placement.worker >= job.moving.workers.size()) return std::nullopt;
        return job;
    }

    bool ended() const { return moving.ending != Ending::none; }
    bool has_placements() const { return placed_ != 0; }
    const char* phase() const {
        switch (moving.ending) {
            case Ending::done:
                return "done";
            case Ending::failed:
                return "failed";
            case Ending::cancelled:
                return "cancelled";
            case Ending::none:
                break;
        }
        return moving.begun ? "running" : "queued";
    }
    std::uint64_t times_in_all() const { return std::max<std::uint64_t>(1, fixed.spec.repeats); }
    bool timed() const { return fixed.spec.repeats > 0; }
    // When the next time that has not begun falls due, by the wall clock.
    std::optional<Micros> next_due() const {
        if (!timed() || ended() || moving.next_time >= fixed.spec.repeats) return std::nullopt;
        return fixed.spec.first_at + Micros(moving.next_time) * fixed.spec.interval;
    }
    Time& add_time() {
        moving.times.push_back(empty_time(moving.next_time++));
        return moving.times.back();
    }
    Time* find_time(std::uint64_t number) {
        for (Time& time : moving.times)
            if (time.number == number) return &time;
        return nullptr;
    }
    // Whether every step that this one depends on is done.
    bool turn_has_come(const Time& time, size_t step) const {
        for (std::uint32_t earlier : fixed.spec.steps[step].depends)
            if (!time.steps[earlier].done()) return false;
        return true;
    }
    std::uint32_t worker_place(const LifeName& name) {
        for (size_t place = 0; place < moving.workers.size(); ++place)
            if (moving.workers[place].life == name.life) return std::uint32_t(place);
        moving.workers.push_back(name);
        return std::uint32_t(moving.workers.size() - 1);
    }
    Task* find_task(const RunName& name) {
        Time* time = find_time(name.time);
        if (!time || name.step >= time->steps.size() || name.index >= time->steps[name.step].tasks.size())
            return nullptr;
        return &time->steps[name.step].tasks[name.index];
    }
    Placement* find_placement(const RunName& name, const std::string& life) {
        Task* task = find_task(name);
        if (!task) return nullptr;
        for (Placement& placement : task->placements)
            if (placement.run == name.run && moving.workers[placement.worker].life == life) return &placement;
        return nullptr;
    }
    std::uint32_t place(Time& time, size_t step, size_t index, std::uint32_t run, const LifeName& life) {
        Task& task = time.steps[step].tasks[index];
        task.last_run = std::max(task.last_run, run);
        task.placements.push_back({run, worker_place(life)});
        ++placed_;
        touch(time.number, step, index);
        moving.begun = true;
        return run;
    }
    std::uint32_t next_run(const Time& time, size_t step, size_t index) const {
        if (!fixed.spec.steps[step].gang) return time.steps[step].tasks[index].last_run + 1;
        std::uint32_t last = 0;
        for (const Task& task : time.steps[step].tasks)
            last = std::max(last, task.last_run);
        return last + 1;
    }

    // The one function for the end of a run. Returns false when the run is not one of this job's.
    bool end(const RunName& name, const std::string& life, End how, const std::string& saved,
             std::uint32_t attempts_most, Micros wall) {
        Placement* placement = find_placement(name, life);
        if (!placement) return false;
        Time& time = *find_time(name.time);
        StepState& state = time.steps[name.step];
        Task& task = state.tasks[name.index];
        const Step& step = fixed.spec.steps[name.step];
        placed_ -= std::erase_if(task.placements, [&](const Placement& each) {
            return each.run == name.run && moving.workers[each.worker].life == life;
        });
        if (!step.gang)
            touch(name.time, name.step, name.index);
        else
            for (size_t index = 0; index < state.tasks.size(); ++index)
                touch(name.time, name.step, index);
        if (!saved.empty()) {
            task.saved = saved;
            if (step.gang)
                for (Task& member : state.tasks)
                    member.saved = saved;
        }
        if (ended()) return true;
        if (how == End::done && !step.long_running) {
            if (step.gang)
                for (Task& member : state.tasks)
                    member.done = true;
            task.done = true;
        } else if (how == End::failed && !step.long_running && !task.done) {
            if (step.gang) {
                if (state.failed_run < name.run) {
                    state.failed_run = name.run;
                    for (Task& member : state.tasks)
                        member.failures++;
                }
            } else {
                task.failures++;
            }
            if (task.failures >= attempts_most) finish(Ending::failed, wall);
        }
        if (!ended() && moving.next_time >= times_in_all() &&
            std::all_of(moving.times.begin(), moving.times.end(), [](const Time& each) { return each.done(); }))
            finish(Ending::done, wall);
        if (!ended() && time.done() && moving.times.size() > 1) {
            // A finished time is dropped once nothing of it may still run.
            bool empty = true;
            for (const StepState& each : time.steps)
                for (const Task& member : each.tasks)
                    empty = empty && member.placements.empty();
            if (empty) drop_time(name.time);
        }
        return true;
    }
    // Whether a run in the record is still wanted: not of an ended job, a done task, or a gang that is broken up.
    bool wanted(const Time& time, size_t step, size_t index, std::uint32_t run) const {
        const StepState& state = time.steps[step];
        if (ended() || state.tasks[index].done) return false;
        if (!fixed.spec.steps[step].gang) return true;
        if (state.failed_run >= run) return false;
        return std::all_of(state.tasks.begin(), state.tasks.end(), [&](const Task& member) {
            return std::any_of(member.placements.begin(), member.placements.end(),
                               [&](const Placement& each) { return each.run == run; });
        });
    }
    void cancel(Micros wall) {
        if (!ended()) finish(Ending::cancelled, wall);
    }

private:
    // Part numbers: a life of a worker by its place, a task by time (24 bits), step (15) and index (24).
    static constexpr std::uint64_t worker_bit = std::uint64_t(1) << 63;
    static std::uint64_t part_of(std::uint64_t time, size_t step, size_t index) {
        return time << 39 | std::uint64_t(step) << 24 | std::uint64_t(index);
    }
    void touch(std::uint64_t time, size_t step, size_t index) { touched_.insert(part_of(time, step, index)); }
    Task* task_of(std::uint64_t number) {
        return find_task({{}, number >> 39, std::uint32_t(number >> 24 & 0x7fff), std::uint32_t(number & 0xffffff), 0});
    }
    Time empty_time(std::uint64_t number) const {
        Time time;
        time.number = number;
        for (const Step& step : fixed.spec.steps)
            time.steps.emplace_back().tasks.resize(step.count);
        return time;
    }
    void drop_time(std::uint64_t number) {
        for (size_t step = 0; step < fixed.spec.steps.size(); ++step)
            for (size_t index = 0; index < fixed.spec.steps[step].count; ++index)
                touch(number, step, index);
        std::erase_if(moving.times, [&](const Time& each) { return each.number == number; });
    }
    void finish(Ending ending, Micros wall) {
        moving.ending = ending;
        moving.ended_wall = wall;
    }

    std::set<std::uint64_t> touched_;  // tasks whose part of the record is not up to date
    size_t workers_packed_ = 0, placed_ = 0;
};

}  // namespace calicostall
