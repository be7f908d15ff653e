#include "hollow/simulated_worker.hpp"

namespace calicostall {

namespace {

// A report lists so many ends at most; the others follow once these are acknowledged.
constexpr size_t max_reported_ends = 500;
// So many ended tasks are remembered, to refuse late starts of their runs.
constexpr size_t max_ended_tasks = 4000;
// How often a gang is looked at: while members are missing, and while it works.
constexpr Micros incomplete_gang_interval = milliseconds(2);
constexpr Micros gang_interval = milliseconds(20);

std::uint64_t number_field(const boost::json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value && value->is_number() ? std::uint64_t(std::max(0.0, value->to_number<double>())) : 0;
}

std::string text_field(const boost::json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

}  // namespace

std::uint64_t SimulatedWorker::ends(const std::string& outcome) const {
    auto found = ends_.find(outcome);
    return found == ends_.end() ? 0 : found->second;
}

std::uint64_t SimulatedWorker::ends_other_than_done() const {
    std::uint64_t sum = 0;
    for (const auto& [outcome, count] : ends_)
        if (outcome != "done") sum += count;
    return sum;
}

SimulatedWorker::Reply SimulatedWorker::handle(std::string_view path, const std::string& body, Micros now) {
    advance(now);
    boost::system::error_code error;
    const boost::json::value document = boost::json::parse(body, error);
    if (error || !document.is_object()) return {400, {}};
    const boost::json::object& object = document.as_object();
    std::uint64_t fence = number_field(object, "fence");
    if (fence < fence_) return refuse("fence", now);
    fence_ = fence;
    if (path == "/run-start") return start(object, now);
    if (path == "/run-stop") return stop(object, now);
    if (path != "/hold") return {404, {}};
    const std::uint64_t acknowledged_end = number_field(object, "seen_at");
    while (!finished_.empty() && finished_.front().number <= acknowledged_end)
        finished_.pop_front();
    extend_lease(object);
    return status_reply(now);
}

WorkerStatusReport SimulatedWorker::status_report(Micros now) const {
    WorkerStatusReport report;
    report.fence = Term{fence_};
    for (const auto& [name, task] : tasks_) {
        Micros started_at = task.work_started_at(gangs_);
        std::int64_t percent = started_at < 0 || task.spec.duration == 0
                                   ? 0
                                   : std::min<std::int64_t>(99, 100 * (now - started_at) / task.spec.duration);
        report.active.push_back({name, task.run, {}, percent});
    }
    for (const FinishedTask& end : finished_) {
        if (report.finished.size() == max_reported_ends) break;
        report.finished.push_back({end.number, end.task, end.run, end.outcome, {}});
    }
    return report;
}

SimulatedWorker::Reply SimulatedWorker::status_reply(Micros now) const {
    WorkerStatusReport all = status_report(now);
    std::string body = fmt::format("{{\"clock_ms\":{},\"active\":[", clock_ms(now));
    const char* comma = "";
    for (const ActiveRun& run : all.active)
        body +=
            fmt::format("{}[\"{}\",{},\"\",{}]", std::exchange(comma, ","), run.task, run.run, run.progress_percent);
    body += "],\"finished\":[";
    comma = "";
    for (const FinishedRun& run : all.finished)
        body += fmt::format("{}[{},\"{}\",{},\"{}\",\"\"]", std::exchange(comma, ","), run.sequence, run.task, run.run,
                            run.outcome);
    return {200, body + "]}"};
}

void SimulatedWorker::advance(Micros now) {
    if (!tasks_.empty() && lease_expires_ms_ > 0 && clock_ms(now) >= lease_expires_ms_) {
        while (!tasks_.empty())
            end(tasks_.begin(), "lapsed");
        return;
    }
    if (now < next_advance_at_) return;
    next_advance_at_ = std::numeric_limits<Micros>::max();
    for (auto task = tasks_.begin(); task != tasks_.end();) {
        auto next = std::next(task);
        const Micros work_started_at = task->second.work_started_at(gangs_);
        if (const char* outcome = outcome_of(task->second, work_started_at, now))
            end(task, outcome);
        else
            next_advance_at_ = std::min(next_advance_at_, next_check_of(task->second, work_started_at, now));
        task = next;
    }
}

const char* SimulatedWorker::outcome_of(const Task& task, Micros work_started_at, Micros now) const {
    if (!task.gang.empty() && gangs_.is_broken(task.gang)) return "broken";
    if (work_started_at < 0) return now - task.started_at >= gang_timeout_ ? "alone" : nullptr;
    return now - work_started_at >= task.spec.duration ? "done" : nullptr;
}

Micros SimulatedWorker::next_check_of(const Task& task, Micros work_started_at, Micros now) {
    if (work_started_at < 0) return now + incomplete_gang_interval;
    const Micros done_at = work_started_at + task.spec.duration;
    return task.gang.empty() ? done_at : std::min(done_at, now + gang_interval);
}

void SimulatedWorker::extend_lease(const boost::json::object& object) {
    lease_expires_ms_ = std::max(lease_expires_ms_, std::int64_t(number_field(object, "until_ms")));
}

SimulatedWorker::Reply SimulatedWorker::refuse(const char* reason, Micros now) const {
    return {409, fmt::format("{{\"clock_ms\":{},\"reason\":\"{}\"}}", clock_ms(now), reason)};
}

SimulatedWorker::Reply SimulatedWorker::start(const boost::json::object& object, Micros now) {
    std::string name = text_field(object, "task");
    std::uint32_t run = std::uint32_t(number_field(object, "run_id"));
    if (name.empty() || run == 0) return {400, {}};
    if (std::int64_t(number_field(object, "until_ms")) <= clock_ms(now)) return refuse("late", now);
    extend_lease(object);
    Reply good{200, fmt::format("{{\"clock_ms\":{}}}", clock_ms(now))};
    auto found = tasks_.find(name);
    if (found != tasks_.end()) return found->second.run == run ? good : refuse("old", now);
    if (auto over = last_ended_runs_.find(name); over != last_ended_runs_.end() && run <= over->second)
        return refuse("old", now);
    Task task{run, SimulatedJobSpec::read(text_field(object, "job_spec")), {}, now};
    if (task.spec.gang_size > 1) {
        task.gang = fmt::format("{} {}", name.substr(0, name.rfind('.')), run);
        gangs_.join(task.gang, task.spec.gang_size, now);
        next_advance_at_ = 0;
    } else {
        next_advance_at_ = std::min(next_advance_at_, now + task.spec.duration);
    }
    tasks_.emplace(name, std::move(task));
    ++starts_;
    if (on_start) on_start(name, now);
    return good;
}

SimulatedWorker::Reply SimulatedWorker::stop(const boost::json::object& object, Micros now) {
    std::string name = text_field(object, "task");
    std::uint32_t run = std::uint32_t(number_field(object, "run_id"));
    if (auto found = tasks_.find(name); found != tasks_.end() && found->second.run == run)
        end(found, "stopped");
    else
        mark_run_ended(name, run);
    return {200, fmt::format("{{\"clock_ms\":{}}}", clock_ms(now))};
}

void SimulatedWorker::mark_run_ended(const std::string& name, std::uint32_t run) {
    std::uint32_t& highest = last_ended_runs_[name];
    highest = std::max(highest, run);
    ended_tasks_.push_back(name);
    if (ended_tasks_.size() <= max_ended_tasks) return;
    last_ended_runs_.erase(ended_tasks_.front());
    ended_tasks_.pop_front();
}

void SimulatedWorker::end(std::map<std::string, Task>::iterator task, const char* outcome) {
    if (!task->second.gang.empty()) gangs_.leave(task->second.gang, std::string_view(outcome) == "done");
    finished_.push_back({++last_end_number_, task->first, task->second.run, outcome});
    mark_run_ended(task->first, task->second.run);
    ++ends_[outcome];
    tasks_.erase(task);
}

}  // namespace calicostall
